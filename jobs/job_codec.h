#pragma once

#include "jobs/job_record.h"

#include <string>

namespace bramleystall {

/** JSON of a job record for the store, without the id. */
std::string
EncodeJobRecord(const JobRecord& aRecord);

/** Decodes a record of the store. Throws Error (InvalidInput). */
JobRecord
DecodeJobRecord(const std::string& aId, const std::string& aJson);

}
