// The part of the scheduler that renews the leases of the workers. See
// scheduler.h.

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
  aWorker.m_hasOwnLease = true;
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
  // worker may have held it. The worker sent an earlier response, at a reading
  // c of its clock, after the time s of that order. Its clock does not run
  // fast, so it sent this one after s - c + clock. The millisecond is the
  // rounding of the readings.
  const absl::Duration clock = absl::Milliseconds(aWorker.m_clockMs);
  const absl::Time offset = aSentAt - clock - absl::Milliseconds(1);
  if (offset >= aWorker.m_clockOffset ||
      aSentAt >= aWorker.m_clockOffsetSetAt + kClockOffsetAge) {
    aWorker.m_clockOffset = offset;
    aWorker.m_clockOffsetSetAt = aSentAt;
  }
  aWorker.m_respondedAfter =
    std::min(aWorker.m_clockOffset + clock, m_env.m_loop.ReadClock());
}

bool
Scheduler::IsIncarnationKnown(const Worker& aWorker) const
{
  return m_env.m_loop.ReadClock() <
         aWorker.m_respondedAfter + kIncarnationKnownTime;
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
                         !aWorker.m_tasks.empty() && !aWorker.m_isLeaseDenied;
  if (mayExtend) {
    order.m_leaseExpiryMs = NextLeaseExpiryMs(aWorker);
    // A held response tells less about the time at which it was sent.
    const bool acknowledgesAll =
      order.m_lastRecordedEnd == aWorker.m_recordedEnd;
    if (!aWorker.HasUnrecordedEnd() && acknowledgesAll) {
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
  m_lateStarts.OnList(aWorkerId, aResult.m_running);
  ReleaseUnlisted(worker, list);
  if (aResult.m_hasAllEnds) {
    ResolveEarlierLease(aWorkerId);
  }
  if (isFirstResponse || !m_env.m_holdsLease()) {
    RequestPlacement();
  }
  if (worker.m_isLeaseDenied) {
    StoreLeasedWorkers();
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
             m_unresolvedWorkers.contains(aWorkerId) ||
             m_lateStarts.NeedsList(aWorkerId)) {
    // The incarnation is known for a short time only.
    const bool mayAcknowledge =
      aSent.m_order.m_lastRecordedEnd == 0 && worker.m_recordedEnd > 0;
    ScheduleRenewal(worker,
                    worker.HasUnrecordedEnd() ? kRenewalRetryDelay
                    : mayAcknowledge          ? absl::ZeroDuration()
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
  // The worker has responded since.
  const bool isOvertaken = aSent.m_at < aWorker.m_listReadAt;
  if (aResult.m_outcome == OrderOutcome::WrongIncarnation && isAtItsAddress &&
      !isOvertaken) {
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
    aResult.m_outcome == OrderOutcome::Unknown &&
    (aSent.m_order.m_lastRecordedEnd > 0 || aSent.m_order.m_leaseExpiryMs > 0);
  if (isOvertaken) {
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

}
