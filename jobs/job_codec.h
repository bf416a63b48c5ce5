#pragma once

#include "jobs/job_record.h"

#include <string>

namespace bramleystall {

/** Encodes a job record as JSON for the store, without the job id. */
std::string
EncodeJobRecord(const JobRecord& aRecord);

/** Decodes a record from the store. Throws Error (InvalidInput). */
JobRecord
DecodeJobRecord(const std::string& aId, const std::string& aJson);

}
