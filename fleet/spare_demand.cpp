#include "fleet/spare_demand.h"

#include "fleet/fleet_view.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

namespace bramleystall {

namespace {

/** Window over which the failure rate is computed. */
constexpr absl::Duration kFailurePeriod = absl::Hours(24);

}

int
SparesForWorstDomainLoss(const FleetView& aView)
{
  std::map<std::string, int> needs;
  int lackingAlready = 0;
  for (const auto& [pool, budget] : aView.Budgets()) {
    const int shortage = std::max(0, budget.Promised() - budget.Ready());
    lackingAlready += shortage;
    for (const auto& [domain, count] : budget.ReadyByDomain()) {
      const int after = budget.Promised() - (budget.Ready() - count);
      needs[domain] += std::max(0, after) - shortage;
    }
  }
  int worst = 0;
  for (const auto& [domain, need] : needs) {
    worst = std::max(worst, need);
  }
  return lackingAlready + worst;
}

int
ExpectedFailuresDuringRepair(FleetView& aView)
{
  auto& failures = aView.Memory().m_failureTimes;
  while (!failures.empty() && aView.Now() - failures.front() > kFailurePeriod) {
    failures.pop_front();
  }
  const double rate = static_cast<double>(failures.size()) /
                      absl::ToDoubleSeconds(kFailurePeriod);
  const double repair = absl::ToDoubleSeconds(aView.Spec().m_rebootTimeout);
  return static_cast<int>(std::lround(rate * repair));
}

}
