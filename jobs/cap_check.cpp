#include "jobs/cap_check.h"

#include "jobs/step_spec.h"
#include "tenants/tenant_spec.h"

#include <absl/strings/str_cat.h>

#include <array>
#include <cstdint>

namespace bramleystall {

namespace {

struct LimitedResource
{
  const char* m_name;
  std::int64_t Resources::*m_amount;
};

constexpr std::array<LimitedResource, 3> kLimitedResources = { {
  { "cpu", &Resources::m_cpu },
  { "memory", &Resources::m_memoryMb },
  { "accelerators", &Resources::m_accelerators },
} };

}

std::optional<std::string>
DescribeStepAboveCap(const std::vector<StepSpec>& aSteps,
                     const TenantSpec& aTenant)
{
  for (std::size_t i = 0; i < aSteps.size(); ++i) {
    const StepSpec& step = aSteps[i];
    const int together = step.m_isGang ? step.m_count : 1;
    for (const auto& [name, amount] : kLimitedResources) {
      const std::int64_t need = step.m_need.*amount;
      const std::int64_t cap = aTenant.m_cap.*amount;
      // Divides instead of multiplying, since the product may overflow.
      if (cap > 0 && need > cap / together) {
        return absl::StrCat("step ",
                            i,
                            ": ",
                            together,
                            step.m_isGang ? " tasks of a gang" : " task",
                            " with ",
                            name,
                            " ",
                            need,
                            " each; the tenant's cap is ",
                            cap);
      }
    }
  }
  return std::nullopt;
}

}
