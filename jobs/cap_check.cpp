#include "jobs/cap_check.h"

#include <absl/strings/str_cat.h>

#include <array>

namespace bramleystall {

namespace {

struct CappedResource
{
  const char* m_name;
  std::int64_t Resources::*m_amount;
};

/** By their names in the operator's configuration. */
constexpr std::array<CappedResource, 3> kCappedResources = { {
  { "cpu", &Resources::m_cpu },
  { "mem_mb", &Resources::m_memoryMb },
  { "gpu", &Resources::m_accelerators },
} };

}

std::optional<std::string>
FindCapExcess(const JobRecord& aRecord, const TenantSpec& aTenant)
{
  for (std::size_t i = 0; i < aRecord.m_steps.size(); ++i) {
    const StepSpec& step = aRecord.m_steps[i];
    for (const CappedResource& resource : kCappedResources) {
      const std::int64_t cap = aTenant.m_cap.*resource.m_amount;
      const std::int64_t perTask = step.m_need.*resource.m_amount;
      // Divided instead of multiplied, since the product could overflow.
      const bool isOver =
        step.m_isGang ? perTask > cap / step.m_count : perTask > cap;
      if (cap > 0 && isOver) {
        return absl::StrCat("steps[",
                            i,
                            "]: a ",
                            step.m_isGang ? "gang" : "task",
                            " needs ",
                            resource.m_name,
                            "=",
                            perTask,
                            step.m_isGang ? absl::StrCat(" x ", step.m_count)
                                          : "",
                            ", expected at most the cap of ",
                            cap,
                            " of tenant ",
                            aTenant.m_name);
      }
    }
  }
  return std::nullopt;
}

}
