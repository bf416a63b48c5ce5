// The part of the scheduler that renews the leases of the workers and applies
// the task lists that they return. See scheduler.h.

#include "scheduler/scheduler.h"

#include "core/log.h"
#include "core/metrics.h"
#include "jobs/placement.h"
#include "net/event_loop.h"
#include "scheduler/scheduling_limits.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace bramleystall {

std::int64_t
Scheduler::NextLeaseExpiryMs(Worker& aWorker)
{
  const absl::Duration lease =
    std::min(kWorkerLease, m_settings.m_maxWorkerLease);
  // The daemon may have been frozen since it found that it may send orders. The
  // next owner waits only for leases that were given before OrdersEndAt.
  const absl::Time givenAt =
    std::min(m_env.m_loop.ReadClock(), m_env.m_ordersEndAt());
  // A slow clock has advanced by less than this since it was read. The lease
  // must end within PadForClockDrift(lease) nevertheless.
  const absl::Duration sinceReading = givenAt - aWorker.m_clockReadAt;
  const absl::Duration expiry = sinceReading * (1.0 - kClockDrift) + lease;
  aWorker.m_leaseExpiry =
    std::max(aWorker.m_leaseExpiry,
             aWorker.m_clockReadAt + PadForClockDrift(expiry) + kLeaseMargin);
  return aWorker.m_clockMs + absl::ToInt64Milliseconds(expiry);
}

void
Scheduler::ExtendLeaseExpiry(Worker& aWorker, absl::Duration aLease)
{
  aWorker.m_leaseExpiry =
    std::max(aWorker.m_leaseExpiry,
             m_env.m_loop.ReadClock() +
               PadForClockDrift(std::min(aLease, m_settings.m_maxWorkerLease)) +
               kLeaseMargin);
}

void
Scheduler::SetRespondedAfter(Worker& aWorker, absl::Time aSentAt)
{
  // The response may have been read long after the worker sent it, and the
  // worker may have held it. Its clock does not run fast; the millisecond is
  // the rounding of its readings.
  const absl::Duration clock = absl::Milliseconds(aWorker.m_clockMs);
  aWorker.m_clockZeroAfter =
    std::max(aWorker.m_clockZeroAfter, aSentAt - clock - absl::Milliseconds(1));
  aWorker.m_respondedAfter = aWorker.m_clockZeroAfter + clock;
}

bool
Scheduler::IsIncarnationKnown(const Worker& aWorker) const
{
  return m_env.m_loop.ReadClock() <
         aWorker.m_respondedAfter + kIncarnationKnownTime;
}

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
Scheduler::EnsureRenewal(Worker& aWorker)
{
  if (!aWorker.m_isRenewing) {
    ScheduleRenewal(aWorker, kRenewalDelay);
  }
}

void
Scheduler::ScheduleRenewal(Worker& aWorker, absl::Duration aDelay)
{
  const int number = ++aWorker.m_renewalNumber;
  After(aDelay, [this, number, id = aWorker.m_report.m_id] {
    Worker* worker = FindWorker(id);
    if (worker != nullptr && worker->m_renewalNumber == number) {
      Renew(*worker);
    }
  });
}

void
Scheduler::Renew(Worker& aWorker)
{
  if (aWorker.m_isRenewing) {
    return;
  }
  if (!m_env.m_mayOrder()) {
    ScheduleRenewal(aWorker, kRenewalRetryDelay);
    return;
  }
  aWorker.m_isRenewing = true;
  LeaseOrder order;
  order.m_fencingToken = aWorker.m_fence;
  // A restarted worker numbers its task ends from the start, so it may drop
  // recorded ones only while its incarnation is known.
  const bool isIncarnationKnown =
    aWorker.m_unansweredRenewals == 0 && IsIncarnationKnown(aWorker);
  order.m_lastRecordedEnd = isIncarnationKnown ? aWorker.m_recordedEnd : 0;
  // An unresponsive worker may still receive the renewal, so its lease is left
  // to expire. The clock of one that has not responded yet is unknown.
  const bool mayExtend = aWorker.m_unansweredRenewals == 0 &&
                         aWorker.m_clockReadAt != absl::InfinitePast() &&
                         !aWorker.m_tasks.empty();
  if (mayExtend) {
    order.m_leaseExpiryMs = NextLeaseExpiryMs(aWorker);
    // A response that is not held tells the incarnation again.
    const bool isAcknowledged =
      order.m_lastRecordedEnd == aWorker.m_recordedEnd;
    if (!aWorker.HasUnrecordedEnd() && isAcknowledged) {
      const bool mayWait = m_env.m_holdsLease() && !aWorker.m_isWatched;
      order.m_wait = mayWait ? kRenewalLongPollTime : kCutOffLongPollTime;
    }
  }
  m_env.m_metrics.Count("bramleystall_worker_looks_total");
  ++aWorker.m_renewalsInFlight;
  m_env.m_workers.RenewLease(
    AddressOf(aWorker),
    order,
    [this,
     id = aWorker.m_report.m_id,
     sent = SentRenewal{ .m_at = NextMoment(),
                         .m_address = aWorker.m_report.m_address,
                         .m_order = order },
     alive = m_alive](const LeaseOrderResult& aResult) {
      if (*alive) {
        OnRenewed(id, sent, aResult);
      }
    });
}

void
Scheduler::OnRenewed(const std::string& aWorkerId,
                     const SentRenewal& aSent,
                     const LeaseOrderResult& aResult)
{
  Worker* found = FindWorker(aWorkerId);
  if (found == nullptr) {
    return;
  }
  Worker& worker = *found;
  --worker.m_renewalsInFlight;
  const std::int64_t fence = aSent.m_order.m_fencingToken;
  if (fence != worker.m_fence) {
    return;
  }
  if (aResult.m_outcome != OrderOutcome::Accepted) {
    OnRenewalFailed(worker, aSent, aResult);
    return;
  }
  // The list may be older than the one that was applied last.
  if (aSent.m_at < worker.m_listReadAt) {
    return;
  }
  worker.m_isRenewing = false;
  const Moment readAt = NextMoment();
  if (worker.m_unansweredRenewals > 0) {
    worker.m_unansweredRenewals = 0;
    RequestPlacement();
  }
  const bool isFirstResponse = worker.m_clockReadAt == absl::InfinitePast();
  if (worker.m_startTimeMs != 0 &&
      aResult.m_startTimeMs != worker.m_startTimeMs) {
    StartNewIncarnation(worker, aResult.m_startTimeMs);
  }
  if (worker.m_clockReadAt == absl::InfinitePast()) {
    // Orders with a deadline of another clock may have extended its lease. The
    // fence keeps them from doing so again.
    ExtendLeaseExpiry(worker, m_settings.m_maxWorkerLease);
    worker.m_startTimeMs = aResult.m_startTimeMs;
    EndEarlierIncarnations(worker);
  }
  worker.m_startTimeMs = aResult.m_startTimeMs;
  worker.m_respondedAddress = aSent.m_address;
  worker.m_clockMs = aResult.m_workerClockMs;
  // Now() is the start of the loop's iteration and would be too early when
  // other callbacks have delayed this one.
  worker.m_clockReadAt = m_env.m_loop.ReadClock();
  SetRespondedAfter(worker, aSent.m_at.m_time);
  worker.m_listReadAt = readAt;
  const std::int64_t before = worker.m_appliedEnd;
  for (const TaskEnd& end : aResult.m_ends) {
    if (end.m_number > worker.m_appliedEnd) {
      ApplyEnd(worker, end);
      worker.m_appliedEnd = end.m_number;
    }
  }
  const TaskList list{ .m_worker = aWorkerId,
                       .m_sentAt = aSent.m_at,
                       .m_fence = fence,
                       .m_hasAllEnds = aResult.m_hasAllEnds,
                       .m_tasks = ApplyRunning(worker, aResult, readAt) };
  ReleaseUnlisted(worker, list);
  if (aResult.m_hasAllEnds) {
    ResolveEarlierLease(aWorkerId);
  }
  if (isFirstResponse || !m_env.m_holdsLease()) {
    RequestPlacement();
  }
  if (worker.m_appliedEnd > before) {
    AfterStored([this,
                 aWorkerId,
                 startTimeMs = worker.m_startTimeMs,
                 number = worker.m_appliedEnd,
                 alive = m_alive] {
      Worker* stored = *alive ? FindWorker(aWorkerId) : nullptr;
      if (stored != nullptr && stored->m_startTimeMs == startTimeMs) {
        stored->m_recordedEnd = std::max(stored->m_recordedEnd, number);
        EnsureRenewal(*stored);
      }
    });
  }
  if (fence != worker.m_fence) {
    ScheduleRenewal(worker, absl::ZeroDuration());
  } else if (!worker.m_tasks.empty() || !aResult.m_hasAllEnds ||
             worker.m_appliedEnd > worker.m_recordedEnd ||
             m_unresolvedWorkers.contains(aWorkerId)) {
    ScheduleRenewal(worker,
                    worker.m_appliedEnd > worker.m_recordedEnd
                      ? kRenewalRetryDelay
                      : kRenewalDelay);
  }
}

void
Scheduler::OnRenewalFailed(Worker& aWorker,
                           const SentRenewal& aSent,
                           const LeaseOrderResult& aResult)
{
  const std::string& id = aWorker.m_report.m_id;
  const bool isAtItsAddress = aSent.m_address == aWorker.m_report.m_address &&
                              (aWorker.m_respondedAddress.empty() ||
                               aSent.m_address == aWorker.m_respondedAddress);
  if (aResult.m_outcome == OrderOutcome::WrongIncarnation && isAtItsAddress) {
    // Another worker uses the address, so this one has ended.
    LogInfo(
      LogPart::Workers,
      absl::StrCat("worker replaced by another one at its address; worker=",
                   id,
                   " tasks=",
                   aWorker.m_tasks.size()));
    OnWorkerEnded(id);
    return;
  }
  if (aResult.m_outcome == OrderOutcome::StaleFencingToken) {
    m_env.m_onSuperseded();
    return;
  }
  // A later incarnation that carries it out drops ends or extends its lease.
  const bool mayHarmRestarted =
    aSent.m_order.m_lastRecordedEnd > 0 || aSent.m_order.m_leaseExpiryMs > 0;
  if (aSent.m_at < aWorker.m_listReadAt) {
    // The worker has responded since.
    if (mayHarmRestarted) {
      RaiseFence(aWorker);
      ScheduleRenewal(aWorker, absl::ZeroDuration());
    }
    return;
  }
  aWorker.m_isRenewing = false;
  ++aWorker.m_unansweredRenewals;
  if (aWorker.m_unansweredRenewals == 1) {
    const std::string outcome(NameOf(kOrderOutcomeNames, aResult.m_outcome));
    LogWarning(LogPart::Workers,
               absl::StrCat("worker lease not renewed; worker=",
                            id,
                            " outcome=",
                            outcome,
                            " tasks=",
                            aWorker.m_tasks.size(),
                            " error=",
                            aResult.m_error));
  }
  if (mayHarmRestarted) {
    RaiseFence(aWorker);
  }
  if (aWorker.m_isListed || !aWorker.m_tasks.empty() ||
      m_unresolvedWorkers.contains(id)) {
    ScheduleRenewal(aWorker, kRenewalRetryDelay);
  }
}

std::int64_t
Scheduler::MillisSince(absl::Time aTime) const
{
  return absl::ToInt64Milliseconds(m_env.m_loop.ReadClock() - aTime);
}

Moment
Scheduler::NextMoment()
{
  return { .m_number = ++m_lastMoment, .m_time = m_env.m_loop.ReadClock() };
}

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
                            " started_ms_ago=",
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
