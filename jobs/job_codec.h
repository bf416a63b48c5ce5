#pragma once

#include "jobs/job_record.h"

#include <optional>
#include <string>

namespace bramleystall {

/** JSON of a job record for the store, without the id. */
std::string
EncodeJobRecord(const JobRecord& aRecord);

/** JSON that stands in place of a job record that another shard has. */
std::string
EncodeJobReference(int aShard);

/** Shard that a reference names; nothing when the text is no reference. */
std::optional<int>
DecodeJobReference(const std::string& aJson);

/** Decodes a record of the store. Throws Error (InvalidInput). */
JobRecord
DecodeJobRecord(const std::string& aId, const std::string& aJson);

}
