#pragma once

#include "jobs/job_record.h"
#include "tenants/tenant_spec.h"

#include <optional>
#include <string>

namespace bramleystall {

/**
 * Returns why a job can never run within its tenant's cap, or nothing if it
 * can: a task, or a gang as a whole, needs more than the cap.
 */
std::optional<std::string>
FindCapExcess(const JobRecord& aRecord, const TenantSpec& aTenant);

}
