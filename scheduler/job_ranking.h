#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace bramleystall {

class TenantShares;

/** Order in which jobs of one priority are placed. */
enum class JobTier
{
  LongRunning,
  InTime,
  /** In time only if it takes much less than its expected time. */
  Doubtful,
  Late,
  /** Can no longer be completed early enough to be paid for. */
  Overdue,
};

/** Times of a job that ends. */
struct JobTiming
{
  /** Expected time in ms of the steps that remain. */
  std::int64_t m_expectedMs = 0;
  /** Wall-clock times in ms. */
  std::int64_t m_acceptedAtMs = 0;
  std::int64_t m_objectiveMs = 0;
};

/** Tier of a job that ends, at a wall-clock time in ms. */
JobTier
ChooseTier(const JobTiming& aTiming, std::int64_t aNowMs);

/** What decides when a job of a pool is placed. */
struct RankedJob
{
  /** 0 is the highest. */
  int m_priority = 0;
  JobTier m_tier = JobTier::InTime;
  std::int64_t m_objectiveMs = 0;
  /** Order of arrival. */
  std::uint64_t m_order = 0;
  /** Index of the job's tenant in the shares; unset for a job without due work
   * or with long-running tasks, which takes part in no share. */
  std::optional<std::size_t> m_tenant;
  /** Position of the job in the caller's list. */
  std::size_t m_index = 0;
};

/**
 * Visits the jobs of a pool: by priority, tier, objective and arrival. If there
 * are shares, those of jobs of one priority and tier decide before the
 * objective; aVisit then updates the usage of the visited job's tenant. Jobs
 * that take part in no share come first in their tier. aShares may be null.
 */
void
VisitByRank(std::vector<RankedJob> aJobs,
            const TenantShares* aShares,
            const std::function<void(const RankedJob&)>& aVisit);

}
