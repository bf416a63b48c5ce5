#include "scheduler/job_ranking.h"

#include "scheduler/scheduling_limits.h"
#include "tenants/share_order.h"
#include "tenants/tenant_shares.h"

#include <algorithm>
#include <span>
#include <tuple>

namespace bramleystall {

namespace {

auto
KeyOf(const RankedJob& aJob)
{
  return std::tuple(
    aJob.m_priority, aJob.m_tier, aJob.m_objectiveMs, aJob.m_order);
}

/** Visits jobs of one priority and tier. */
void
VisitGroup(std::span<const RankedJob> aGroup,
           const TenantShares& aShares,
           const std::function<void(const RankedJob&)>& aVisit)
{
  std::vector<const RankedJob*> sharing;
  std::vector<std::size_t> tenants;
  for (const RankedJob& job : aGroup) {
    if (job.m_tenant) {
      sharing.push_back(&job);
      tenants.push_back(*job.m_tenant);
    } else {
      aVisit(job);
    }
  }
  ShareOrder order(aShares, tenants);
  while (const auto next = order.Next()) {
    aVisit(*sharing[*next]);
  }
}

}

JobTier
ChooseTier(const JobTiming& aTiming, std::int64_t aNowMs)
{
  // Jobs that can no longer be in time yield to those that still can.
  const auto fits = [&](double aShare, std::int64_t aUntilMs) {
    const double timeMs = aShare * static_cast<double>(aTiming.m_expectedMs);
    return aNowMs + static_cast<std::int64_t>(timeMs) <= aUntilMs;
  };
  if (fits(kExpectedTimeShare, aTiming.m_objectiveMs)) {
    return JobTier::InTime;
  }
  if (fits(kLeastTimeShare, aTiming.m_objectiveMs)) {
    return JobTier::Doubtful;
  }
  const std::int64_t lateUntilMs =
    aTiming.m_acceptedAtMs +
    kLateFactor * (aTiming.m_objectiveMs - aTiming.m_acceptedAtMs);
  return fits(kLeastTimeShare, lateUntilMs) ? JobTier::Late : JobTier::Overdue;
}

void
VisitByRank(std::vector<RankedJob> aJobs,
            const TenantShares* aShares,
            const std::function<void(const RankedJob&)>& aVisit)
{
  std::ranges::sort(aJobs, {}, KeyOf);
  if (aShares == nullptr) {
    std::ranges::for_each(aJobs, aVisit);
    return;
  }
  std::span<const RankedJob> rest(aJobs);
  while (!rest.empty()) {
    const RankedJob& first = rest.front();
    const auto end = std::ranges::find_if_not(rest, [&](const RankedJob& aJob) {
      return aJob.m_priority == first.m_priority && aJob.m_tier == first.m_tier;
    });
    const auto size = static_cast<std::size_t>(end - rest.begin());
    VisitGroup(rest.first(size), *aShares, aVisit);
    rest = rest.subspan(size);
  }
}

}
