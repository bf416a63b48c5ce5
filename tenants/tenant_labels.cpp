#include "tenants/tenant_labels.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>

namespace bramleystall {

namespace {

/** Names of tenants in metrics; the largest known deployment has 20, and
 * configurations may replace tenants while a process runs. */
constexpr std::size_t kMaxTenantLabels = 64;

}

MetricLabels
WithTenant(Metrics& aMetrics, MetricLabels aLabels, const std::string& aTenant)
{
  if (!aTenant.empty()) {
    aLabels["tenant"] =
      aMetrics.BoundedLabelValue("tenant", aTenant, kMaxTenantLabels);
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
