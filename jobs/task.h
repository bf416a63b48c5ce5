#pragma once

#include "core/enum_names.h"
#include "jobs/moment.h"

#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace bramleystall {

class Job;

/** Phase of a task between its submission and its end. */
enum class TaskPhase
{
  Waiting,
  /** A start order is being sent or awaits its response. */
  Starting,
  Running,
  /** A stop order was sent; the worker has not yet listed the task's end. */
  Stopping,
  /**
   * A start order got no response, so the task may run on its worker. It goes
   * on if the worker lists it; else it waits until the order can no longer be
   * carried out there.
   */
  Unresolved,
  Done,
};

inline constexpr EnumNames<TaskPhase, 6> kTaskPhaseNames = { {
  { TaskPhase::Waiting, "waiting" },
  { TaskPhase::Starting, "starting" },
  { TaskPhase::Running, "running" },
  { TaskPhase::Stopping, "stopping" },
  { TaskPhase::Unresolved, "unresolved" },
  { TaskPhase::Done, "done" },
} };

/** A task of a step, in one occurrence of a job. */
struct Task
{
  Job* m_job = nullptr;
  int m_occurrence = 0;
  int m_step = 0;
  int m_index = 0;
  TaskPhase m_phase = TaskPhase::Waiting;
  /** Worker that runs or may run the task; empty while it is waiting. */
  std::string m_worker;
  /** Number of the latest attempt; 0 before the first one. */
  std::int64_t m_attempt = 0;
  /** Failed attempts; a set, since workers may list them in any order. */
  std::set<std::int64_t> m_failedAttempts;
  std::string m_checkpoint;
  /** Worker where the task last failed or stalled; placement prefers others. */
  std::string m_failedOn;
  /**
   * The worker has ended. The task is released only while the owner holds the
   * store's lease, since the next owner may have recorded how it ended.
   */
  bool m_isLost = false;
  /** The start order is held back until the worker is stored in the job. */
  bool m_isStartUnsent = false;
  /**
   * Monotonic time of placement; absl::Time() for a task that was found running
   * on the worker.
   */
  absl::Time m_orderedAt;
  /**
   * Moment by which the run had begun: the start's acknowledgement or the list
   * that first showed the run was read then.
   */
  Moment m_begunBy;
  /** StartBudget::OpenStart of a start that is placed but not sent; the order
   * holds it from then on. */
  std::shared_ptr<const void> m_openStart;
  /** Fencing token of the start order. */
  std::int64_t m_startFence = 0;
  /** The worker has responded to the start or listed the task. Before that the
   * start may still be carried out, by any incarnation of the worker. */
  bool m_isStartAnswered = false;
  /** The worker has listed the attempt, so the incarnation that runs it is
   * known. */
  bool m_isListed = false;
  /** Moment at which the stop's acknowledgement was read. */
  std::optional<Moment> m_stopAckedAt;
  /** Progress in percent. */
  int m_percent = 0;
  /** Time of the last change of m_percent; before it, the time of the start. */
  absl::Time m_progressAt;

  int Failures() const { return static_cast<int>(m_failedAttempts.size()); }
  bool IsPlaced() const { return !m_worker.empty(); }
};

}
