#pragma once

#include "core/worker_gateway.h"
#include "tenants/tenant_usage.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bramleystall {

/**
 * Starts without a response that were given up, because their worker has seen a
 * higher fencing token since. The next incarnation of the worker knows no token
 * and may carry them out nevertheless, until they can be late no longer. Times
 * are monotonic.
 */
class LateStarts
{
public:
  /** aMaxWorkerLease is the longest lease that a worker grants, in local time.
   */
  explicit LateStarts(absl::Duration aMaxWorkerLease)
    : m_maxWorkerLease(aMaxWorkerLease)
  {
  }

  /** What a start takes if it is carried out. */
  struct Need
  {
    std::string m_tenant;
    Resources m_resources;
  };
  /** Adds a start that is carried out at aLatest at the latest. */
  void Add(const std::string& aTask,
           const std::string& aWorkerId,
           std::int64_t aAttempt,
           absl::Time aLatest,
           Need aNeed = {});
  /** The worker may have restarted, and the new incarnation has not responded.
   */
  void OnRestartReported(const std::string& aWorkerId);
  /** The worker has listed all that it runs, under a fencing token that is
   * higher than those of the starts. */
  void OnList(const std::string& aWorkerId,
              const std::vector<RunningTask>& aRunning);

  /** Whether the task may not start now, since an earlier start of it runs or
   * may run on another incarnation of its worker. */
  bool HoldsBack(const std::string& aTask, absl::Time aNow) const;
  /** A task that may run on a worker. */
  struct PossibleRun
  {
    std::string m_task;
    std::string m_worker;

    bool operator==(const PossibleRun&) const = default;
  };
  /** Tasks that may run on a worker that has not responded since its restart.
   * Their later attempts on other workers have to be stopped. */
  std::vector<PossibleRun> PossibleRuns(absl::Time aNow) const;
  /** Whether the worker's next incarnation may carry out a start. */
  bool MayRunOn(const std::string& aWorkerId) const;
  /** Whether a further list of the worker tells what it runs. */
  bool NeedsList(const std::string& aWorkerId) const;
  /** Drops the starts that can no longer run. */
  void Prune(absl::Time aNow);

  bool IsEmpty() const { return m_starts.empty(); }

  /** Adds what all starts take that may still be carried out. */
  void AddUsage(TenantUsage& aUsage, absl::Time aNow) const;

private:
  enum class Risk
  {
    /** The current incarnation of the worker refuses the start. */
    Refused,
    /** A new incarnation has not responded yet. */
    Unknown,
    /** The worker runs it, and is told to stop it. */
    Runs,
  };
  struct Start
  {
    std::string m_worker;
    std::int64_t m_attempt = 0;
    absl::Time m_latest;
    Risk m_risk = Risk::Refused;
    Need m_need;
  };

  bool IsOver(const Start& aStart, absl::Time aNow) const;

  absl::Duration m_maxWorkerLease;
  /** By the names of the tasks. */
  std::multimap<std::string, Start> m_starts;
};

}
