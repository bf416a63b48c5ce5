// The part of the scheduler that starts and stops tasks. See scheduler.h.

#include "scheduler/scheduler.h"

#include "core/clock.h"
#include "core/error.h"
#include "core/log.h"
#include "core/metrics.h"
#include "jobs/job_codec.h"
#include "jobs/placement.h"
#include "net/event_loop.h"
#include "scheduler/scheduling_limits.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace bramleystall {

std::int64_t
Scheduler::NextAttempt(const Task& aTask) const
{
  return std::max(aTask.m_attempt, (m_grant.m_term - 1) * kAttemptsPerTerm) + 1;
}

void
Scheduler::Assign(Task& aTask, Worker& aWorker)
{
  aTask.m_worker = aWorker.m_report.m_id;
  if (aWorker.m_tasks.insert(&aTask).second) {
    const StepSpec& spec = aTask.m_job->Spec(aTask);
    aWorker.m_used.Add(OccupiedBy(spec));
    const std::string& tenant = aTask.m_job->Record().m_tenant;
    m_tenantUsage.Add(tenant, spec.m_need);
    m_poolUsage.Add(
      aWorker.m_report.m_pool, tenant, spec.m_isLongRunning, OccupiedBy(spec));
  }
}

void
Scheduler::MoveUsage(const Worker& aWorker, const std::string& aPool)
{
  for (const Task* task : aWorker.m_tasks) {
    const StepSpec& spec = task->m_job->Spec(*task);
    const std::string& tenant = task->m_job->Record().m_tenant;
    const Resources need = OccupiedBy(spec);
    m_poolUsage.Subtract(
      aWorker.m_report.m_pool, tenant, spec.m_isLongRunning, need);
    m_poolUsage.Add(aPool, tenant, spec.m_isLongRunning, need);
  }
}

void
Scheduler::Release(Task& aTask, const ReleaseProof& aProof)
{
  if (!aProof.IsAbout(aTask)) {
    throw Error(ErrorCode::Internal,
                absl::StrCat("release of task ",
                             aTask.m_job->NameOf(aTask),
                             " attempt ",
                             aTask.m_attempt,
                             ": the proof is about another attempt"));
  }
  const ReleaseReason reason = aProof.Reason();
  Worker* worker = FindWorker(aTask.m_worker);
  if (reason != ReleaseReason::EndListed &&
      reason != ReleaseReason::NotStarted) {
    const std::string name(NameOf(kReleaseReasonNames, reason));
    m_env.m_metrics.Count("bramleystall_task_releases_total",
                          { { "reason", name } });
    LogInfo(LogPart::Jobs,
            absl::StrCat("task released; task=",
                         aTask.m_job->NameOf(aTask),
                         " attempt=",
                         aTask.m_attempt,
                         " worker=",
                         aTask.m_worker,
                         " reason=",
                         name));
  }
  KeepLateStart(aTask, reason);
  if (worker != nullptr && worker->m_tasks.erase(&aTask) > 0) {
    const StepSpec& spec = aTask.m_job->Spec(aTask);
    worker->m_used.Subtract(OccupiedBy(spec));
    const std::string& tenant = aTask.m_job->Record().m_tenant;
    m_tenantUsage.Subtract(tenant, spec.m_need);
    m_poolUsage.Subtract(
      worker->m_report.m_pool, tenant, spec.m_isLongRunning, OccupiedBy(spec));
  }
  aTask.m_worker.clear();
  aTask.m_isStartUnsent = false;
  aTask.m_openStart.reset();
  aTask.m_isLost = false;
  if (aTask.m_phase != TaskPhase::Done) {
    aTask.m_phase = TaskPhase::Waiting;
  }
  if (reason == ReleaseReason::WorkerEnded ||
      reason == ReleaseReason::LeaseExpired ||
      reason == ReleaseReason::NotListed || reason == ReleaseReason::Stopped) {
    // The next owner may reach the worker and record how the task ended, and
    // the worker may have restarted since. A write after the release shows that
    // there was none; see StartTask.
    aTask.m_job->ForgetRecordedWorkers();
    Store(*aTask.m_job);
  } else if (aTask.m_job->IsFinal()) {
    // The job is archived once none of its tasks is placed.
    Store(*aTask.m_job);
  }
  RequestPlacement();
}

void
Scheduler::ReleaseUnsent(Task& aTask)
{
  if (const auto proof = ReleaseProof::FromUnsentStart(aTask)) {
    Release(aTask, *proof);
  }
}

void
Scheduler::ReleaseLost(Task& aTask, const ReleaseProof& aProof)
{
  if (m_env.m_holdsLease()) {
    Release(aTask, aProof);
  } else {
    aTask.m_isLost = true;
  }
}

void
Scheduler::StartTask(Task& aTask,
                     Worker& aWorker,
                     std::int64_t aAttempt,
                     const std::string& aTicket)
{
  Job& job = *aTask.m_job;
  const std::string& workerId = aWorker.m_report.m_id;
  Assign(aTask, aWorker);
  aTask.m_phase = TaskPhase::Starting;
  aTask.m_attempt = aAttempt;
  aTask.m_percent = 0;
  aTask.m_isStartAnswered = false;
  aTask.m_isListed = false;
  aTask.m_stopAckedAt.reset();
  aTask.m_orderedAt = m_env.m_loop.Now();
  aTask.m_openStart = m_startBudget.Open(
    job.Id(), job.Record().m_payload.size() + aTask.m_checkpoint.size());
  if (job.IsWorkerRecorded(workerId)) {
    SendStart(aTask, aWorker, aTicket);
    return;
  }
  aTask.m_isStartUnsent = true;
  job.AddWorker(workerId);
  Store(job);
  m_placedStarts.push_back(
    { job.NameOf(aTask), aAttempt, workerId, aTicket, job.ForgetCount() });
}

void
Scheduler::SendStart(Task& aTask, Worker& aWorker, const std::string& aTicket)
{
  const Job& job = *aTask.m_job;
  aTask.m_isStartUnsent = false;
  StartOrder order;
  order.m_task = job.NameOf(aTask);
  order.m_attempt = aTask.m_attempt;
  order.m_payload = job.Record().m_payload;
  order.m_leaseExpiryMs = NextLeaseExpiryMs(aWorker);
  order.m_fencingToken = aWorker.m_fence;
  aTask.m_startFence = order.m_fencingToken;
  order.m_checkpoint = aTask.m_checkpoint;
  order.m_ticket = aTicket;
  m_env.m_workers.Start(AddressOf(aWorker),
                        order,
                        [this,
                         order,
                         id = aWorker.m_report.m_id,
                         openStart = std::exchange(aTask.m_openStart, nullptr),
                         alive = m_alive](const OrderResult& aResult) {
                          if (*alive) {
                            OnStarted(id, order, aResult);
                          }
                        });
}

void
Scheduler::OnStarted(const std::string& aWorkerId,
                     const StartOrder& aOrder,
                     const OrderResult& aResult)
{
  if (m_startBudget.TakeRefusal()) {
    RequestPlacement();
  }
  const std::string& name = aOrder.m_task;
  const std::int64_t attempt = aOrder.m_attempt;
  Worker* worker = FindWorker(aWorkerId);
  const bool isFenceRaised =
    worker != nullptr && aOrder.m_fencingToken < worker->m_fence;
  if (worker != nullptr && aResult.m_workerClockMs > 0) {
    // On the clock of an incarnation that is not known yet, the deadline may
    // lie far ahead.
    ExtendLeaseExpiry(
      *worker,
      absl::Milliseconds(aOrder.m_leaseExpiryMs - aResult.m_workerClockMs));
    if (!isFenceRaised) {
      worker->m_clockMs = aResult.m_workerClockMs;
      worker->m_clockReadAt = m_env.m_loop.ReadClock();
    }
  }
  const std::string outcome(NameOf(kOrderOutcomeNames, aResult.m_outcome));
  m_env.m_metrics.Count("bramleystall_task_starts_total",
                        { { "outcome", outcome } });
  Task* task = FindTask(name);
  const bool isCurrent = task != nullptr && task->m_worker == aWorkerId &&
                         task->m_attempt == attempt;
  if (!isCurrent || worker == nullptr) {
    return;
  }
  if (aResult.m_outcome != OrderOutcome::Accepted) {
    LogInfo(LogPart::Jobs,
            absl::StrCat("task not started; task=",
                         name,
                         " attempt=",
                         attempt,
                         " worker=",
                         aWorkerId,
                         " outcome=",
                         outcome,
                         " error=",
                         aResult.m_error));
  }
  switch (aResult.m_outcome) {
    case OrderOutcome::Accepted:
      if (!task->m_isStartAnswered) {
        task->m_isStartAnswered = true;
        task->m_begunBy = NextMoment();
      }
      if (task->m_phase == TaskPhase::Starting) {
        task->m_phase = TaskPhase::Running;
        task->m_progressAt = m_env.m_loop.Now();
        task->m_job->MarkStarted();
      }
      EnsureRenewal(*worker);
      return;
    case OrderOutcome::Unknown:
      if (!isFenceRaised) {
        RaiseFence(*worker);
      }
      MarkUnresponsive(*worker);
      if (!worker->m_isWatched) {
        worker->m_isWatched = true;
        After(kLateStartWatchInterval,
              [this, aWorkerId] { WatchLateStarts(aWorkerId); });
      }
      worker->m_lateStartsUntil = m_env.m_loop.Now() + kLateOrderTime;
      if (task->m_phase == TaskPhase::Starting) {
        task->m_phase = TaskPhase::Unresolved;
      }
      return;
    case OrderOutcome::NoRoom:
      worker->m_avoidUntil = m_env.m_loop.Now() + kNoRoomAvoidTime;
      break;
    case OrderOutcome::TicketRejected:
      RejectTicket(*task);
      break;
    case OrderOutcome::NotSent:
      MarkUnresponsive(*worker);
      break;
    case OrderOutcome::Busy:
    case OrderOutcome::WrongIncarnation:
    case OrderOutcome::Invalid:
    case OrderOutcome::LeaseExpired:
      worker->m_avoidUntil = m_env.m_loop.Now() + kBusyAvoidTime;
      break;
    case OrderOutcome::StaleFencingToken:
      if (!isFenceRaised) {
        m_env.m_onSuperseded();
        return;
      }
      break;
    case OrderOutcome::StaleAttempt:
      break;
  }
  if (const auto proof = ReleaseProof::FromRefusal(*task, aResult.m_outcome)) {
    Release(*task, *proof);
  }
}

void
Scheduler::MarkUnresponsive(Worker& aWorker)
{
  // No task starts on the worker until it has responded to a renewal.
  aWorker.m_unansweredRenewals = std::max(aWorker.m_unansweredRenewals, 1);
  ScheduleRenewal(aWorker, absl::ZeroDuration());
}

void
Scheduler::StopTask(Task& aTask)
{
  aTask.m_phase = TaskPhase::Stopping;
  aTask.m_stopAckedAt.reset();
  SendStop(aTask.m_job->NameOf(aTask), aTask.m_attempt, aTask.m_worker);
}

void
Scheduler::SendStop(const std::string& aName,
                    std::int64_t aAttempt,
                    const std::string& aWorkerId)
{
  Worker* worker = FindWorker(aWorkerId);
  if (worker == nullptr) {
    return;
  }
  if (!m_env.m_mayOrder()) {
    RetryStop(aName, aAttempt, aWorkerId);
    return;
  }
  m_env.m_workers.Stop(AddressOf(*worker),
                       { .m_task = aName,
                         .m_attempt = aAttempt,
                         .m_fencingToken = worker->m_fence },
                       [this,
                        aName,
                        aAttempt,
                        aWorkerId,
                        fence = worker->m_fence,
                        alive = m_alive](const OrderResult& aResult) {
                         if (*alive) {
                           OnStopped(
                             aName, aAttempt, aWorkerId, fence, aResult);
                         }
                       });
}

void
Scheduler::OnStopped(const std::string& aName,
                     std::int64_t aAttempt,
                     const std::string& aWorkerId,
                     std::int64_t aFence,
                     const OrderResult& aResult)
{
  Task* task = FindTask(aName);
  const bool isCurrent = task != nullptr && task->m_worker == aWorkerId &&
                         task->m_attempt == aAttempt;
  if (!isCurrent || task->m_phase != TaskPhase::Stopping) {
    return;
  }
  Worker* worker = FindWorker(aWorkerId);
  if (aResult.m_outcome == OrderOutcome::StaleFencingToken &&
      (worker == nullptr || aFence == worker->m_fence)) {
    m_env.m_onSuperseded();
    return;
  }
  if (aResult.m_outcome == OrderOutcome::Accepted) {
    // The worker lists the end of a running task within the stop time. If the
    // start has not arrived yet, the worker will refuse it and list no end.
    task->m_stopAckedAt = NextMoment();
    if (worker != nullptr) {
      ScheduleRenewal(*worker, m_settings.m_stopTime / 2);
    }
    return;
  }
  m_env.m_metrics.Count(
    "bramleystall_job_retries_total",
    { { "reason",
        absl::StrCat(
          "stop_",
          std::string(NameOf(kOrderOutcomeNames, aResult.m_outcome))) } });
  RetryStop(aName, aAttempt, aWorkerId);
}

void
Scheduler::RetryStop(const std::string& aName,
                     std::int64_t aAttempt,
                     const std::string& aWorkerId)
{
  After(kStopRetryDelay, [this, aName, aAttempt, aWorkerId] {
    const Task* stopping = FindTask(aName);
    if (stopping != nullptr && stopping->m_worker == aWorkerId &&
        stopping->m_attempt == aAttempt &&
        stopping->m_phase == TaskPhase::Stopping) {
      SendStop(aName, aAttempt, aWorkerId);
    }
  });
}

void
Scheduler::Relocate(Task& aTask)
{
  if (aTask.m_phase == TaskPhase::Running) {
    StopTask(aTask);
  }
}

bool
Scheduler::MayDisrupt(const Task& aTask) const
{
  const StepSpec& spec = aTask.m_job->Spec(aTask);
  const std::vector<Task>& tasks =
    aTask.m_job->Tasks(aTask.m_occurrence, aTask.m_step);
  const auto disrupted =
    std::ranges::count_if(tasks, [this, &aTask](const Task& aOther) {
      // The last report of an unresponsive worker may be outdated.
      const auto worker = m_workers.find(aOther.m_worker);
      const bool isServing =
        aOther.m_phase == TaskPhase::Running && aOther.m_percent >= 100 &&
        worker != m_workers.end() && worker->second.m_unansweredRenewals == 0;
      return &aOther != &aTask && !isServing;
    });
  return disrupted < std::max(1, spec.m_maxDisrupted);
}

void
Scheduler::EvacuateLongRunning(Worker& aWorker)
{
  std::vector<Worker*> pool;
  for (auto& [id, worker] : m_workers) {
    if (worker.m_report.m_pool == aWorker.m_report.m_pool) {
      pool.push_back(&worker);
    }
  }
  const Placement placement(pool, m_env.m_loop.Now());
  const std::set<Task*> tasks = aWorker.m_tasks;
  for (Task* task : tasks) {
    const bool hasPlace =
      placement.Choose(*task, [](const Worker&) { return true; }) != nullptr;
    if (task->m_job->Spec(*task).m_isLongRunning && hasPlace &&
        MayDisrupt(*task)) {
      Relocate(*task);
    }
  }
}

void
Scheduler::SetEvacuating(const std::string& aWorkerId, bool aIsEvacuating)
{
  Worker* worker = FindWorker(aWorkerId);
  if (worker == nullptr) {
    return;
  }
  worker->m_isEvacuating = aIsEvacuating;
  if (!aIsEvacuating && worker->m_isListed) {
    // The order for its machine may have ended it.
    MarkUnresponsive(*worker);
  }
}

}
