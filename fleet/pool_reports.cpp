#include "fleet/pool_reports.h"

#include "fleet/fleet_view.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace bramleystall {

namespace {

std::string
Explain(const FleetView& aView, const CapacityBudget& aBudget, int aSpare)
{
  const std::string numbers = absl::StrCat(
    aBudget.Ready(), " ready of ", aBudget.Promised(), " promised");
  const int shortage = aBudget.Promised() - aBudget.Ready();
  const std::string unread =
    aView.HasUnreadDocuments() ? " and the unread documents" : "";
  if (shortage <= 0) {
    return aBudget.IsProtected()
             ? absl::StrCat(
                 numbers,
                 "; the loss of any failure domain leaves the promise kept")
             : absl::StrCat(
                 numbers,
                 "; the loss of the largest failure domain would need ",
                 aBudget.Promised() + aBudget.Margin() - aBudget.Ready(),
                 " spare VMs");
  }
  if (aBudget.m_incoming >= shortage) {
    return absl::StrCat(
      numbers, "; ", aBudget.m_incoming, " VMs are moving in");
  }
  const int missing = shortage - aBudget.m_incoming - aSpare;
  if (missing <= 0) {
    return absl::StrCat(numbers,
                        "; ",
                        shortage - aBudget.m_incoming,
                        " spare VMs are free for it");
  }
  return absl::StrCat(numbers,
                      "; ",
                      missing,
                      " more ready VMs would restore it: return VMs that are "
                      "set aside, add VMs to pool '",
                      aView.Spec().m_sparePool,
                      "', or restore the failed VMs",
                      unread);
}

}

std::vector<PoolReport>
ReportPools(const FleetView& aView)
{
  std::vector<PoolReport> reports;
  const int spare = aView.Budget(aView.Spec().m_sparePool).Ready();
  for (const auto& [pool, budget] : aView.Budgets()) {
    if (!aView.IsConfigured(pool)) {
      continue;
    }
    PoolReport report;
    report.m_pool = pool;
    report.m_promised = budget.Promised();
    report.m_ready = budget.Ready();
    report.m_margin = budget.Margin();
    report.m_spare = spare;
    report.m_shortage = std::max(0, budget.Promised() - budget.Ready());
    report.m_isKept = report.m_shortage == 0;
    report.m_explanation = Explain(aView, budget, spare);
    reports.push_back(std::move(report));
  }
  return reports;
}

}
