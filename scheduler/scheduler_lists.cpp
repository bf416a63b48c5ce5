// The part of the scheduler that applies the lists of tasks and ends that the
// workers return. See scheduler.h.

#include "scheduler/scheduler.h"

#include "core/log.h"
#include "core/metrics.h"
#include "net/event_loop.h"
#include "scheduler/scheduling_limits.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace bramleystall {

std::set<const Task*>
Scheduler::ApplyRunning(Worker& aWorker,
                        const LeaseOrderResult& aResult,
                        const Moment& aReadAt)
{
  std::set<const Task*> listed;
  for (const RunningTask& running : aResult.m_running) {
    Task* task = FindTask(running.m_task);
    const bool isWanted = task != nullptr && !task->m_job->IsFinal() &&
                          task->m_phase != TaskPhase::Done;
    const bool isHere = task != nullptr &&
                        task->m_worker == aWorker.m_report.m_id &&
                        task->m_attempt == running.m_attempt;
    if (isHere) {
      listed.insert(task);
      task->m_isLost = false;
      if (!task->m_isStartAnswered) {
        task->m_isStartAnswered = true;
        task->m_begunBy = aReadAt;
      }
      task->m_isListed = true;
    }
    if (isWanted && !isHere && task->m_phase == TaskPhase::Waiting &&
        running.m_attempt >= task->m_attempt) {
      // Started by a previous owner, or by an order that was carried out late.
      if (running.m_attempt == task->m_attempt) {
        ReportUnexpectedRun(aWorker, *task, running.m_attempt);
      }
      Assign(*task, aWorker);
      // Its lease is not one of this owner's orders.
      ExtendLeaseExpiry(aWorker, m_settings.m_maxWorkerLease);
      task->m_attempt = running.m_attempt;
      task->m_isStartAnswered = true;
      task->m_isListed = true;
      task->m_orderedAt = absl::Time();
      task->m_phase = TaskPhase::Running;
      task->m_begunBy = aReadAt;
      task->m_progressAt = m_env.m_loop.Now();
      task->m_percent = 0;
      task->m_job->MarkStarted();
      listed.insert(task);
    } else if (!isWanted || !isHere) {
      if (task != nullptr && !task->m_job->IsFinal()) {
        ReportUnexpectedRun(aWorker, *task, running.m_attempt);
      }
      SendStop(running.m_task, running.m_attempt, aWorker.m_report.m_id);
      continue;
    }
    const bool isStarted = task->m_phase == TaskPhase::Starting ||
                           task->m_phase == TaskPhase::Unresolved;
    if (isStarted) {
      task->m_phase = TaskPhase::Running;
      task->m_progressAt = m_env.m_loop.Now();
      task->m_job->MarkStarted();
    }
    if (task->m_phase == TaskPhase::Running) {
      CheckProgress(aWorker, *task, running);
    }
  }
  return listed;
}

void
Scheduler::ReleaseUnlisted(Worker& aWorker, const TaskList& aList)
{
  const std::set<Task*> tasks = aWorker.m_tasks;
  for (Task* task : tasks) {
    const auto proof = ReleaseProof::FromList(*task, aList);
    if (!proof) {
      continue;
    }
    if (task->m_phase != TaskPhase::Running) {
      Release(*task, *proof);
      continue;
    }
    LogWarning(LogPart::Jobs,
               absl::StrCat("task no longer runs on its worker; task=",
                            task->m_job->NameOf(*task),
                            " attempt=",
                            task->m_attempt,
                            " worker=",
                            aWorker.m_report.m_id,
                            " born_ms=",
                            aWorker.m_startTimeMs,
                            " list_sent_ms_ago=",
                            MillisSince(aList.m_sentAt.m_time),
                            " begun_by_ms_ago=",
                            MillisSince(task->m_begunBy.m_time),
                            " renewals_in_flight=",
                            aWorker.m_renewalsInFlight));
    m_env.m_metrics.Count("bramleystall_tasks_lost_total",
                          { { "reason", "not_listed" } });
    // It may have run on an earlier incarnation.
    ReleaseLost(*task, *proof);
  }
}

void
Scheduler::ReportUnexpectedRun(const Worker& aWorker,
                               const Task& aTask,
                               std::int64_t aAttempt)
{
  m_env.m_metrics.Count("bramleystall_unexpected_runs_total");
  LogWarning(LogPart::Jobs,
             absl::StrCat("worker runs an attempt that was given up; task=",
                          aTask.m_job->NameOf(aTask),
                          " attempt=",
                          aAttempt,
                          " worker=",
                          aWorker.m_report.m_id,
                          " born_ms=",
                          aWorker.m_startTimeMs,
                          " current_attempt=",
                          aTask.m_attempt,
                          " current_worker=",
                          aTask.m_worker,
                          " phase=",
                          std::string(NameOf(kTaskPhaseNames, aTask.m_phase))));
}

void
Scheduler::CheckProgress(Worker& aWorker,
                         Task& aTask,
                         const RunningTask& aRunning)
{
  if (!aRunning.m_checkpoint.empty()) {
    aTask.m_checkpoint = aRunning.m_checkpoint;
  }
  const absl::Time now = m_env.m_loop.Now();
  const bool hasAdvanced = aRunning.m_percent != aTask.m_percent;
  aTask.m_percent = aRunning.m_percent;
  if (hasAdvanced || aTask.m_job->Spec(aTask).m_isLongRunning ||
      aTask.m_job->Spec(aTask).m_isGang) {
    aTask.m_progressAt = now;
    return;
  }
  if (now < aTask.m_progressAt + kStallTimeout) {
    return;
  }
  LogWarning(LogPart::Jobs,
             absl::StrCat("task makes no progress, stopping it; task=",
                          aTask.m_job->NameOf(aTask),
                          " worker=",
                          aWorker.m_report.m_id,
                          " percent=",
                          aTask.m_percent));
  m_env.m_metrics.Count("bramleystall_tasks_lost_total",
                        { { "reason", "stalled" } });
  aTask.m_failedOn = aWorker.m_report.m_id;
  aWorker.m_avoidUntil = now + kSuspectAvoidTime;
  StopTask(aTask);
}

void
Scheduler::ApplyEnd(Worker& aWorker, const TaskEnd& aEnd)
{
  const std::string kind(NameOf(kTaskEndKindNames, aEnd.m_kind));
  m_env.m_metrics.Count("bramleystall_task_ends_total", { { "kind", kind } });
  Task* task = FindTask(aEnd.m_task);
  if (task == nullptr) {
    return;
  }
  Job& job = *task->m_job;
  if (!job.IsProgressKnown()) {
    LogWarning(
      LogPart::Jobs,
      absl::StrCat("end of a task of a job with unreadable progress is "
                   "not stored; task=",
                   aEnd.m_task,
                   " attempt=",
                   aEnd.m_attempt,
                   " kind=",
                   kind));
  }
  const bool wasFinal = job.IsFinal();
  const bool wasStopped = task->m_phase == TaskPhase::Stopping;
  if (const auto proof =
        ReleaseProof::FromEnd(*task, aWorker.m_report.m_id, aEnd)) {
    // The run time is counted from the order, since a short task may end before
    // its start is acknowledged. The order time of a task that was found
    // running on the worker is unknown.
    if (aEnd.m_kind == TaskEndKind::Done && task->m_checkpoint.empty() &&
        task->m_orderedAt != absl::Time()) {
      m_demandEstimator.AddRunTime(job.Record().m_queue,
                                   m_env.m_loop.Now() - task->m_orderedAt);
    }
    Release(*task, *proof);
  }
  if (wasFinal || task->m_phase == TaskPhase::Done) {
    return;
  }
  if (!aEnd.m_checkpoint.empty() && task->m_phase == TaskPhase::Waiting) {
    task->m_checkpoint = aEnd.m_checkpoint;
  }
  if (aEnd.m_kind == TaskEndKind::Done) {
    aWorker.m_failuresInARow = 0;
    if (job.Spec(*task).m_isLongRunning) {
      return;
    }
    if (job.Spec(*task).m_isGang) {
      // The whole gang is done when one of its members is.
      for (Task& member : job.Tasks(task->m_occurrence, task->m_step)) {
        job.MarkDone(member);
      }
    } else {
      job.MarkDone(*task);
    }
  } else if (aEnd.m_kind == TaskEndKind::Failed) {
    task->m_failedOn = aWorker.m_report.m_id;
    job.MarkFailed(*task, aEnd.m_attempt);
    RecordTaskFailure(aWorker);
  }
  if (aEnd.m_kind != TaskEndKind::Done && !wasStopped) {
    LogInfo(LogPart::Jobs,
            absl::StrCat("task ended without completion; task=",
                         aEnd.m_task,
                         " attempt=",
                         aEnd.m_attempt,
                         " worker=",
                         aWorker.m_report.m_id,
                         " kind=",
                         kind,
                         " failures=",
                         task->Failures()));
  }
  if (job.IsFinal()) {
    FinishJob(job);
  } else if (aEnd.m_kind == TaskEndKind::Done ||
             aEnd.m_kind == TaskEndKind::Failed || !aEnd.m_checkpoint.empty()) {
    Store(job);
  }
  RequestPlacement();
}

}
