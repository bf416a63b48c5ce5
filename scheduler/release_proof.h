#pragma once

#include "core/worker_gateway.h"
#include "jobs/moment.h"
#include "scheduler/release_reason.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace bramleystall {

struct Task;
struct Worker;

/** The lists of a worker's tasks and of their ends in one response. */
struct TaskList
{
  std::string m_worker;
  /** Moment at which the renewal was sent, before the list was made. */
  Moment m_sentAt;
  /** Fencing token of the renewal. */
  std::int64_t m_fence = 0;
  /** All ends that the worker has not dropped are listed. */
  bool m_hasAllEnds = false;
  /** Tasks of the worker whose current attempts run there. */
  std::set<const Task*> m_tasks;
};

/**
 * Proof that an attempt of a task neither runs on its worker nor will. Each
 * function returns the proof that its arguments give, if any.
 */
class ReleaseProof
{
public:
  /** The start order was never sent. */
  static std::optional<ReleaseProof> FromUnsentStart(const Task& aTask);
  /** The worker has refused the start order. */
  static std::optional<ReleaseProof> FromRefusal(const Task& aTask,
                                                 OrderOutcome aOutcome);
  /** The worker has listed an end. */
  static std::optional<ReleaseProof> FromEnd(const Task& aTask,
                                             const std::string& aWorkerId,
                                             const TaskEnd& aEnd);
  /**
   * The worker does not list the task. Requires that the listed ends have been
   * applied.
   */
  static std::optional<ReleaseProof> FromList(const Task& aTask,
                                              const TaskList& aList);
  /** The worker has responded with a later incarnation. */
  static std::optional<ReleaseProof> FromRestart(const Task& aTask);
  /** The worker has ended, e.g. by an order for its machine. */
  static ReleaseProof FromEndOfWorker(const Task& aTask);
  /** The task was found to be lost by one of the proofs above. */
  static std::optional<ReleaseProof> FromLoss(const Task& aTask);
  /** The lease of the worker's tasks has expired at a monotonic time. */
  static std::optional<ReleaseProof> FromLease(const Task& aTask,
                                               const Worker& aWorker,
                                               absl::Time aNow);
  /** The job's record was removed, so that the task starts nowhere. */
  static ReleaseProof FromRemovedJob(const Task& aTask);

  ReleaseReason Reason() const { return m_reason; }
  /** Whether the proof is about the current attempt of the task. */
  bool IsAbout(const Task& aTask) const;

private:
  ReleaseProof(const Task& aTask, ReleaseReason aReason);

  const Task* m_task;
  std::string m_worker;
  std::int64_t m_attempt;
  ReleaseReason m_reason;
};

}
