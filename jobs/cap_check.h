#pragma once

#include <optional>
#include <string>
#include <vector>

namespace bramleystall {

struct StepSpec;
struct TenantSpec;

/**
 * Describes the first step that can never run, since one of its tasks, or its
 * gang as a whole, requires more than the tenant's cap. Unset if there is none.
 */
std::optional<std::string>
DescribeStepAboveCap(const std::vector<StepSpec>& aSteps,
                     const TenantSpec& aTenant);

}
