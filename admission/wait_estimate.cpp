#include "admission/wait_estimate.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace bramleystall {

namespace {

/** Upper ends of the intervals of WaitingWork in ms. They are closest where
 * most objectives are, up to 4 s; the last one takes all others. */
constexpr std::array<std::int64_t, 16> kObjectiveBoundsMs = {
  250,  500,    1000,   1500,   2000,   3000,   4000,    6000,
  8000, 12'000, 16'000, 24'000, 32'000, 64'000, 128'000, 86'400'000,
};

/** A machine runs tasks of its new pool this long after it was ordered there
 * (docs/platform.md, "Pools"). */
constexpr double kMoveSeconds = 1.6;

/** The arrivals are assumed to last for this time: half of a turn of a pool's
 * demand or of a tenant's flood, which last some 6 s. They are placed before
 * jobs that can no longer be in time. */
constexpr double kArrivalSeconds = 3;

/** Machines that a pool has and that it may get after kMoveSeconds. */
struct PoolCapacity
{
  double m_present = 0;
  double m_movable = 0;

  PoolCapacity Part(double aShare) const
  {
    return { m_present * aShare, m_movable * aShare };
  }
};

double
WaitingWorkOf(const PublishedPool& aPool)
{
  return std::accumulate(
    aPool.m_waiting.begin(),
    aPool.m_waiting.end(),
    0.0,
    [](double aSum, const WaitingWork& aRow) { return aSum + aRow.m_work; });
}

/** Part of an interval of objectives that ends before aObjectiveMs. */
double
ShareBefore(std::int64_t aBoundMs, double aObjectiveMs)
{
  const auto* bound = std::ranges::lower_bound(kObjectiveBoundsMs, aBoundMs);
  const auto lower = static_cast<double>(
    bound == kObjectiveBoundsMs.begin() ? 0 : *std::prev(bound));
  const double width = static_cast<double>(aBoundMs) - lower;
  return width <= 0 ? 1.0
                    : std::clamp((aObjectiveMs - lower) / width, 0.0, 1.0);
}

/** Waiting work that is placed before the job while it can be in time, and the
 * late work of its priority. */
struct WorkAhead
{
  double m_inTime = 0;
  double m_late = 0;
};

WorkAhead
FindWorkAhead(const PublishedPool& aPool,
              const AdmissionJob& aJob,
              absl::Duration aAge)
{
  WorkAhead ahead;
  const double objectiveMs =
    absl::ToDoubleMilliseconds(aJob.m_objective + aAge);
  for (const WaitingWork& row : aPool.m_waiting) {
    if (row.m_priority < aJob.m_priority) {
      ahead.m_inTime += row.m_work;
    } else if (row.m_priority == aJob.m_priority) {
      if (row.m_boundMs == kLateBoundMs) {
        ahead.m_late += row.m_work;
      } else {
        ahead.m_inTime += row.m_work * ShareBefore(row.m_boundMs, objectiveMs);
      }
    }
  }
  return ahead;
}

/** Capacity of a pool until the job's late objective. The other pools keep as
 * many of their machines as their work occupies until then. */
PoolCapacity
CapacityOf(const PublishedLoad& aLoad,
           const PublishedPool& aPool,
           const AdmissionJob& aJob)
{
  const double horizon =
    std::max(absl::ToDoubleSeconds(aJob.m_lateObjective), kMoveSeconds);
  double kept = 0;
  for (const auto& [name, other] : aLoad.m_pools) {
    if (name != aJob.m_pool) {
      kept += std::min(other.m_machines,
                       other.m_permanent +
                         (other.m_running + WaitingWorkOf(other)) / horizon);
    }
  }
  return { std::max(0.0, aPool.m_machines - aPool.m_permanent),
           std::max(0.0, aLoad.m_machines - aPool.m_machines - kept) };
}

/** Machine-seconds that are served in aSeconds from the publication. */
double
ServedIn(const PoolCapacity& aCapacity, double aSeconds)
{
  return aCapacity.m_present * aSeconds +
         aCapacity.m_movable * std::max(0.0, aSeconds - kMoveSeconds);
}

/** Seconds from the publication in which the work is served. */
double
TimeToServe(const PoolCapacity& aCapacity, double aWork)
{
  const double beforeMove = aCapacity.m_present * kMoveSeconds;
  if (aWork <= beforeMove) {
    return aWork <= 0 ? 0 : aWork / aCapacity.m_present;
  }
  return kMoveSeconds +
         (aWork - beforeMove) / (aCapacity.m_present + aCapacity.m_movable);
}

/** Wait, from now, for work that is partly served since the publication. */
absl::Duration
WaitFor(const PoolCapacity& aCapacity, double aWork, double aAge)
{
  if (aWork <= ServedIn(aCapacity, aAge)) {
    return absl::ZeroDuration();
  }
  return absl::Seconds(std::max(0.0, TimeToServe(aCapacity, aWork) - aAge));
}

/** Share of the pool that the job's tenant has by its weight among the tenants
 * with work there; 0 if its weight is. A job without a tenant has the mean
 * weight of the others. */
double
ShareOf(const PublishedPool& aPool,
        const AdmissionJob& aJob,
        const TenantWeights& aWeights)
{
  double total = 0;
  int count = 0;
  for (const auto& [name, work] : aPool.m_tenants) {
    const auto weight = aWeights(name);
    if (name != aJob.m_tenant && weight) {
      total += *weight;
      ++count;
    }
  }
  const double mean = count == 0 ? 1.0 : total / count;
  const double own =
    aJob.m_tenant.empty() ? mean : aWeights(aJob.m_tenant).value_or(0.0);
  const bool hasOthersWithout =
    !aJob.m_tenant.empty() && aPool.m_tenants.contains("");
  const double sum = total + own + (hasOthersWithout ? mean : 0.0);
  return sum > 0 ? own / sum : 0.0;
}

}

std::int64_t
ObjectiveBoundMs(std::int64_t aLeftMs)
{
  const auto* bound = std::ranges::lower_bound(kObjectiveBoundsMs, aLeftMs);
  return bound == kObjectiveBoundsMs.end() ? kObjectiveBoundsMs.back() : *bound;
}

std::optional<WaitEstimate>
EstimateWait(const PublishedLoad& aLoad,
             const AdmissionJob& aJob,
             const SincePublication& aSince,
             const TenantWeights& aWeights)
{
  const auto found = aLoad.m_pools.find(aJob.m_pool);
  if (found == aLoad.m_pools.end()) {
    return std::nullopt;
  }
  const PublishedPool& pool = found->second;
  const PoolCapacity capacity = CapacityOf(aLoad, pool, aJob);
  if (capacity.m_present + capacity.m_movable <= 0) {
    return std::nullopt;
  }
  const double age = absl::ToDoubleSeconds(aSince.m_age);
  const WorkAhead ahead = FindWorkAhead(pool, aJob, aSince.m_age);
  // Other daemons accept jobs as well; this one's are among the arrivals.
  const double waiting = WaitingWorkOf(pool);
  const double arrivedAhead =
    waiting <= 0 ? 0.0 : pool.m_arriving * age * ahead.m_inTime / waiting;
  const double inTime =
    ahead.m_inTime + std::max(arrivedAhead, aSince.m_acceptedAhead);
  const double late = inTime + ahead.m_late + pool.m_arriving * kArrivalSeconds;
  WaitEstimate estimate{ WaitFor(capacity, inTime, age),
                         WaitFor(capacity, late, age) };
  const double share = ShareOf(pool, aJob, aWeights);
  if (share > 0) {
    const auto tenant = pool.m_tenants.find(aJob.m_tenant);
    const double own =
      (tenant == pool.m_tenants.end() ? 0.0 : tenant->second.m_waiting) +
      aSince.m_acceptedOfTenant;
    const absl::Duration wait = WaitFor(capacity.Part(share), own, age);
    estimate.m_wait = std::min(estimate.m_wait, wait);
    estimate.m_lateWait = std::min(estimate.m_lateWait, wait);
  }
  return estimate;
}

}
