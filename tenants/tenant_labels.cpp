#include "tenants/tenant_labels.h"

#include "tenants/tenant_label.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>

namespace bramleystall {

MetricLabels
WithTenant(Metrics& aMetrics, MetricLabels aLabels, const std::string& aTenant)
{
  if (!aTenant.empty()) {
    aLabels["tenant"] =
      aMetrics.BoundedLabelValue("tenant", aTenant, kMaxLabelledTenants);
  }
  return aLabels;
}

std::string
TenantField(const std::string& aTenant)
{
  return aTenant.empty()
           ? ""
           : absl::StrCat(" tenant=", absl::Utf8SafeCEscape(aTenant));
}

}
