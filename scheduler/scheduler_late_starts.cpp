// The part of the scheduler that keeps tasks from running beside an earlier
// start that is carried out late. See scheduler.h and late_starts.h.

#include "scheduler/scheduler.h"

#include "core/log.h"
#include "core/metrics.h"
#include "net/event_loop.h"
#include "scheduler/scheduling_limits.h"

#include <absl/strings/str_cat.h>

namespace bramleystall {

void
Scheduler::WatchLateStarts(const std::string& aWorkerId)
{
  Worker* worker = FindWorker(aWorkerId);
  if (worker == nullptr) {
    return;
  }
  worker->m_isWatched = m_env.m_loop.Now() < worker->m_lateStartsUntil;
  if (!worker->m_isWatched) {
    return;
  }
  // A renewal that is in flight to an incarnation that has ended gets no
  // response, or late.
  worker->m_isRenewing = false;
  Renew(*worker);
  After(kLateStartWatchInterval,
        [this, aWorkerId] { WatchLateStarts(aWorkerId); });
}

void
Scheduler::KeepLateStart(const Task& aTask, ReleaseReason aReason)
{
  const bool mayRunLater = aReason == ReleaseReason::NotListed ||
                           aReason == ReleaseReason::LeaseExpired;
  const Job& job = *aTask.m_job;
  if (!mayRunLater || aTask.m_isStartAnswered ||
      job.Spec(aTask).m_isSpeculative) {
    return;
  }
  m_lateStarts.Add(job.NameOf(aTask),
                   aTask.m_worker,
                   aTask.m_attempt,
                   aTask.m_orderedAt + kLateOrderTime,
                   { job.Record().m_tenant, job.Spec(aTask).m_need });
  const Worker* worker = FindWorker(aTask.m_worker);
  if (worker != nullptr && HasUnansweredRestart(*worker)) {
    m_lateStarts.OnRestartReported(aTask.m_worker);
  }
}

bool
Scheduler::IsHeldBack(const Task& aTask) const
{
  return !m_lateStarts.IsEmpty() &&
         m_lateStarts.HoldsBack(aTask.m_job->NameOf(aTask), m_env.m_loop.Now());
}

void
Scheduler::StopBesideLateStarts()
{
  const absl::Time now = m_env.m_loop.Now();
  m_lateStarts.Prune(now);
  for (const LateStarts::PossibleRun& run : m_lateStarts.PossibleRuns(now)) {
    Task* task = FindTask(run.m_task);
    if (task == nullptr || task->m_job->IsFinal() ||
        task->m_worker == run.m_worker) {
      continue;
    }
    if (task->m_isStartUnsent) {
      ReleaseUnsent(*task);
      continue;
    }
    const bool mayStop =
      task->m_job->Spec(*task).m_maxDisrupted == 0 || MayDisrupt(*task);
    if (task->m_phase != TaskPhase::Running || !mayStop) {
      continue;
    }
    LogWarning(LogPart::Jobs,
               absl::StrCat("an earlier start may run on a worker that has "
                            "restarted, stopping the task; task=",
                            run.m_task,
                            " attempt=",
                            task->m_attempt,
                            " worker=",
                            task->m_worker,
                            " restarted_worker=",
                            run.m_worker));
    m_env.m_metrics.Count("bramleystall_tasks_lost_total",
                          { { "reason", "late_start" } });
    StopTask(*task);
  }
}

}
