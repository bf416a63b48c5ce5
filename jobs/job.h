#pragma once

#include "core/enum_names.h"
#include "jobs/job_record.h"
#include "jobs/task.h"

#include <nlohmann/json_fwd.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace bramleystall {

enum class JobState
{
  Queued,
  Running,
  Completed,
  Failed,
  Cancelled,
};

inline constexpr EnumNames<JobState, 5> kJobStateNames = { {
  { JobState::Queued, "queued" },
  { JobState::Running, "running" },
  { JobState::Completed, "completed" },
  { JobState::Failed, "failed" },
  { JobState::Cancelled, "cancelled" },
} };

/** Components of a task's name, JOB.OCCURRENCE.STEP.INDEX. */
struct TaskName
{
  std::string m_job;
  int m_occurrence = 0;
  int m_step = 0;
  int m_index = 0;

  /** Parses a name; returns false when the name is malformed. */
  static bool Parse(const std::string& aText, TaskName& aName);
};

/** Approximate memory in bytes that a job takes at most, with its tasks. */
std::size_t
LargestMemory(const JobRecord& aRecord);

/**
 * A job with the state of its tasks. It reads no clock and does no I/O.
 *
 * Only the tasks of open occurrences are in memory: of those that were opened
 * in their order, or that a worker runs, and have not been dropped as finished.
 */
class Job
{
public:
  /** Further occurrences are opened only up to this number of tasks. */
  static constexpr int kMaxOpenTasks = 2000;

  explicit Job(JobRecord aRecord);
  Job(const Job&) = delete;
  Job& operator=(const Job&) = delete;

  const JobRecord& Record() const { return m_record; }
  const std::string& Id() const { return m_record.m_id; }
  JobState State() const { return m_state; }
  bool IsFinal() const { return m_state >= JobState::Completed; }
  bool HasStarted() const { return m_state != JobState::Queued; }

  int OccurrenceCount() const { return std::max(1, m_record.m_repeats); }
  /** Number of tasks in one occurrence. */
  int TasksPerOccurrence() const { return m_tasksPerOccurrence; }
  /** Number of tasks in memory. */
  int OpenTaskCount() const
  {
    return m_tasksPerOccurrence * static_cast<int>(m_occurrences.size());
  }
  std::vector<int> OpenOccurrences() const;
  /** Whether there is a next occurrence that is due at aNowMs, in ms since the
   * Unix epoch, and the open ones leave room for it. */
  bool MayOpenNext(std::int64_t aNowMs) const;
  /** Opens the next occurrence. */
  void OpenNext();
  /**
   * Removes the occurrences from memory that are done and have no placed task.
   * Their tasks become invalid. Returns the removed occurrences.
   */
  std::vector<int> DropFinished();
  /** Due time of an occurrence in ms since the Unix epoch; 0 if immediate. */
  std::int64_t DueMs(int aOccurrence) const;

  const StepSpec& Spec(const Task& aTask) const
  {
    return m_record.m_steps[static_cast<std::size_t>(aTask.m_step)];
  }
  /** Opens the occurrence if it is still to come. Throws std::out_of_range for
   * one that was dropped. */
  std::vector<Task>& Tasks(int aOccurrence, int aStep);
  const std::vector<Task>& Tasks(int aOccurrence, int aStep) const
  {
    return StepAt(aOccurrence, aStep).m_tasks;
  }
  /** Returns the named task, or null when the job has no such task or its
   * occurrence was dropped. Opens an occurrence that is still to come. */
  Task* Find(const TaskName& aName);
  std::string NameOf(const Task& aTask) const;

  /** True when all steps that this step depends on are done. */
  bool IsStepReady(int aOccurrence, int aStep) const;
  bool IsStepDone(int aOccurrence, int aStep) const;

  /** True while a task runs or may run on a worker. */
  bool HasPlacedTask() const;

  void MarkStarted();
  /** Marks a task done; the job completes with its last task. */
  void MarkDone(Task& aTask);
  /**
   * Records a failed attempt; repeated reports of an attempt count once. The
   * job fails when a task reaches the queue's maximum number of failed
   * attempts. Long-running tasks have no limit.
   */
  void MarkFailed(Task& aTask, std::int64_t aAttempt);
  void MarkCancelled();

  /**
   * False if the stored progress cannot be decoded. It is unknown then which
   * tasks are done, so none may start, and the stored progress has to stay.
   */
  bool IsProgressKnown() const { return m_isProgressKnown; }
  void MarkProgressUnknown() { m_isProgressKnown = false; }

  /**
   * Workers on which a task of the job may have been started. A worker is
   * stored before the first start there, so that the shard's next owner knows
   * which workers to query.
   */
  const std::set<std::string>& Workers() const { return m_workers; }
  void AddWorker(const std::string& aWorkerId) { m_workers.insert(aWorkerId); }
  /** True when the store already lists the worker for this job. */
  bool IsWorkerRecorded(const std::string& aWorkerId) const
  {
    return m_recordedWorkers.contains(aWorkerId);
  }
  void MarkWorkerRecorded(const std::string& aWorkerId)
  {
    m_recordedWorkers.insert(aWorkerId);
  }
  /** Lets each next start wait for a further write of the job. */
  void ForgetRecordedWorkers()
  {
    m_recordedWorkers.clear();
    ++m_forgetCount;
  }
  /** Number of calls of ForgetRecordedWorkers; writes from before the last one
   * record nothing. */
  int ForgetCount() const { return m_forgetCount; }

  /** Approximate number of unfinished steps in the current occurrence. */
  int RemainingStepCount() const;

  /** Position in the order in which this process read the jobs. */
  std::uint64_t Order() const { return m_order; }
  void SetOrder(std::uint64_t aOrder) { m_order = aOrder; }

  /** JSON of the state to restore after a restart; see ApplyProgress. */
  std::string EncodeProgress() const;
  /**
   * Restores the state from EncodeProgress. Throws Error (InvalidInput); the
   * state is undefined then.
   */
  void ApplyProgress(const std::string& aJson);

private:
  struct Step
  {
    std::vector<Task> m_tasks;
    int m_done = 0;
  };
  struct Occurrence
  {
    std::vector<Step> m_steps;
  };

  const Step& StepAt(int aOccurrence, int aStep) const
  {
    return m_occurrences.at(aOccurrence)
      .m_steps[static_cast<std::size_t>(aStep)];
  }
  bool IsOpen(int aOccurrence) const
  {
    return m_occurrences.contains(aOccurrence);
  }
  /** Opens an occurrence that is neither open nor dropped. */
  void Open(int aOccurrence);
  bool IsDone(const Occurrence& aOccurrence) const;
  /** Restores which occurrences are open and which are done. */
  void RestoreOccurrences(const nlohmann::json& aProgress);

  JobRecord m_record;
  JobState m_state = JobState::Queued;
  bool m_isProgressKnown = true;
  std::uint64_t m_order = 0;
  std::set<std::string> m_workers;
  std::set<std::string> m_recordedWorkers;
  int m_forgetCount = 0;
  /** The open occurrences. */
  std::map<int, Occurrence> m_occurrences;
  /** All earlier occurrences have been opened; those that are not open any more
   * are done. */
  int m_nextOccurrence = 0;
  int m_tasksPerOccurrence = 0;
  /** Number of unfinished steps in all occurrences. */
  std::int64_t m_openSteps = 0;
};

}
