#pragma once

#include "admission/published_load.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace bramleystall {

/** WaitingWork::m_boundMs of jobs that can no longer be in time. */
inline constexpr std::int64_t kLateBoundMs = 0;

/** Upper end of the interval of a job whose objective is aLeftMs away. */
std::int64_t
ObjectiveBoundMs(std::int64_t aLeftMs);

/** A job that asks for admission. Durations count from its acceptance. */
struct AdmissionJob
{
  std::string m_id;
  std::string m_pool;
  /** Empty for none. */
  std::string m_tenant;
  /** 0 is the highest priority. */
  int m_priority = 0;
  /** Time to the objective as the owner expects it, and the longest wait after
   * which the owner still expects the job in time. */
  absl::Duration m_objective;
  absl::Duration m_inTimeWait;
  /** Longest plausible time to its late objective. */
  absl::Duration m_lateObjective;
  /** Shortest plausible run time of its longest chain of steps. */
  absl::Duration m_leastRunTime;
  /** Expected machine-seconds of all its tasks. */
  double m_work = 0;
};

/** What has changed since the load was published. */
struct SincePublication
{
  absl::Duration m_age;
  /** Machine-seconds that this daemon has accepted since: of jobs that are
   * placed before the asking one, and of all jobs of its tenant. */
  double m_acceptedAhead = 0;
  double m_acceptedOfTenant = 0;
};

/** Weight of a tenant; unset for none and for one that is not configured. */
using TenantWeights =
  std::function<std::optional<double>(const std::string& aTenant)>;

/** Estimated time until the first task of a job starts. */
struct WaitEstimate
{
  /** If the job is placed before those that can no longer be in time. */
  absl::Duration m_wait;
  /** If it is placed after these, and after further arrivals. */
  absl::Duration m_lateWait;
};

/**
 * Estimates how long a job would wait in a shard. The estimate is optimistic,
 * since a wrong refusal costs a caller its job: the pool gets every machine
 * that other pools do not keep busy, a tenant gets at least its share of the
 * pool, and the job's own size is not counted, so that a large job is not
 * refused for ever while small ones pass. Unset if the shard's machines for the
 * pool are not known.
 */
std::optional<WaitEstimate>
EstimateWait(const PublishedLoad& aLoad,
             const AdmissionJob& aJob,
             const SincePublication& aSince,
             const TenantWeights& aWeights);

}
