#pragma once

#include "core/enum_names.h"

#include <absl/time/time.h>

#include <cstdint>
#include <set>
#include <string>

namespace bramleystall {

class Job;

/** Where a task is between its submission and its end. */
enum class TaskPhase
{
  Waiting,
  /** A start order is on its way. */
  Starting,
  Running,
  /** A stop order is on its way, or the task's end is not listed yet. */
  Stopping,
  /** A start order got no response: the task may run on its worker. */
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

/** One task of a step, of one occurrence of a job. */
struct Task
{
  Job* m_job = nullptr;
  int m_occurrence = 0;
  int m_step = 0;
  int m_index = 0;
  TaskPhase m_phase = TaskPhase::Waiting;
  /** Worker that runs it or may run it; empty while it waits. */
  std::string m_worker;
  /** Number of the newest start; 0 before the first. */
  std::int64_t m_attempt = 0;
  /** Attempts that failed; workers may list their ends in any order. */
  std::set<std::int64_t> m_failedAttempts;
  std::string m_checkpoint;
  /** Worker on which the task failed last; another one is preferred. */
  std::string m_failedOn;
  /** The start order waits until the job's workers are stored. */
  bool m_isStartUnsent = false;
  /** Monotonic times of the start order and of its acknowledgement. */
  absl::Time m_orderedAt;
  absl::Time m_startedAt;
  /** When the worker acknowledged a stop; infinite before. */
  absl::Time m_stopAckedAt = absl::InfiniteFuture();
  int m_percent = 0;
  /** When m_percent last rose. */
  absl::Time m_progressAt;

  int Failures() const { return static_cast<int>(m_failedAttempts.size()); }
  bool IsPlaced() const { return !m_worker.empty(); }
};

}
