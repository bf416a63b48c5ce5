#pragma once

#include "jobs/job_record.h"

#include <optional>
#include <string>

namespace bramleystall {

/** Encodes a job record as JSON for the store, without the job id. */
std::string
EncodeJobRecord(const JobRecord& aRecord);

/** JSON stored in place of a job record that is in another shard. */
std::string
EncodeJobReference(int aShard);

/** Shard named by a reference; empty when the text is not a reference. */
std::optional<int>
DecodeJobReference(const std::string& aJson);

/** Decodes a record from the store. Throws Error (InvalidInput). */
JobRecord
DecodeJobRecord(const std::string& aId, const std::string& aJson);

}
