#include "tenants/tenant_label.h"

#include "tenants/tenant_directory.h"

#include <algorithm>
#include <span>

namespace bramleystall {

std::string
TenantLabel(const TenantDirectory& aDirectory, const std::string& aTenant)
{
  if (aTenant.empty()) {
    return "none";
  }
  std::span<const TenantSpec> labelled(aDirectory.Tenants());
  labelled = labelled.first(std::min(labelled.size(), kMaxLabelledTenants));
  const bool isLabelled =
    std::ranges::any_of(labelled, [&aTenant](const TenantSpec& aSpec) {
      return aSpec.m_name == aTenant;
    });
  return isLabelled ? aTenant : "other";
}

}
