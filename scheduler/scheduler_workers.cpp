// The part of the scheduler that follows the workers as they come, restart and
// go. See scheduler.h.

#include "scheduler/scheduler.h"

#include "core/log.h"
#include "core/metrics.h"
#include "net/event_loop.h"
#include "scheduler/scheduling_limits.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace bramleystall {

using nlohmann::json;

namespace {

/** Renewals without a response after which a new owner waits no longer than the
 * leases of earlier owners for a worker that the store does not list: its ends
 * may be unknown. */
constexpr int kMinUnansweredRenewals = 3;

}

void
Scheduler::OnWorkerReport(const WorkerReport& aReport)
{
  Worker& worker = m_workers[aReport.m_id];
  const bool isNew = !worker.m_isListed;
  if (worker.m_fence == 0) {
    RaiseFence(worker);
  }
  if (worker.m_report.m_pool != aReport.m_pool) {
    MoveUsage(worker, aReport.m_pool);
  }
  worker.m_report = aReport;
  worker.m_isListed = true;
  m_typicalWorker = aReport.m_capacity;
  if (isNew && !aReport.m_machine.empty()) {
    // The entry of an ended worker may be read after that of the next one.
    const Worker* other = WorkerOnMachine(aReport.m_machine);
    if (other == nullptr ||
        other->m_report.m_startTimeMs <= aReport.m_startTimeMs) {
      m_workerOfMachine[aReport.m_machine] = aReport.m_id;
    }
  }
  if (!m_isRunning) {
    return;
  }
  if (worker.m_startTimeMs != 0 && aReport.m_startTimeMs != 0 &&
      aReport.m_startTimeMs != worker.m_startTimeMs) {
    AskForRestart(worker);
  }
  if (HasUnansweredRestart(worker) && m_lateStarts.MayRunOn(aReport.m_id)) {
    m_lateStarts.OnRestartReported(aReport.m_id);
    After(kRestartResponseTime, [this] { StopBesideLateStarts(); });
  }
  if (isNew) {
    StoreLeasedWorkers();
    Renew(worker);
  }
  if (aReport.m_isDraining) {
    EvacuateDraining(worker);
  }
  RequestPlacement();
}

void
Scheduler::OnWorkerRemoved(const std::string& aWorkerId)
{
  Worker* worker = FindWorker(aWorkerId);
  if (worker == nullptr) {
    return;
  }
  worker->m_isListed = false;
  LogInfo(LogPart::Workers,
          absl::StrCat("worker no longer listed; worker=",
                       aWorkerId,
                       " tasks=",
                       worker->m_tasks.size()));
}

void
Scheduler::EndEarlierIncarnations(const Worker& aWorker)
{
  if (aWorker.m_report.m_machine.empty()) {
    return;
  }
  // A machine runs one worker at a time.
  for (auto& [id, other] : m_workers) {
    if (id != aWorker.m_report.m_id &&
        other.m_report.m_machine == aWorker.m_report.m_machine &&
        other.m_report.m_startTimeMs != 0 &&
        other.m_report.m_startTimeMs < aWorker.m_startTimeMs) {
      OnWorkerEnded(id);
    }
  }
}

void
Scheduler::OnWorkerEnded(const std::string& aWorkerId)
{
  Worker* worker = FindWorker(aWorkerId);
  if (worker == nullptr) {
    return;
  }
  worker->m_isListed = false;
  // Ignores the responses that are still to come.
  RaiseFence(*worker);
  worker->m_clockReadAt = absl::InfinitePast();
  worker->m_clockOffset = absl::InfinitePast();
  worker->m_respondedAfter = absl::InfinitePast();
  worker->m_leaseExpiry = m_env.m_loop.Now();
  const std::set<Task*> tasks = worker->m_tasks;
  for (Task* task : tasks) {
    ReleaseLost(*task, ReleaseProof::FromEndOfWorker(*task));
  }
  ResolveEarlierLease(aWorkerId);
}

Worker*
Scheduler::WorkerOnMachine(const std::string& aMachine)
{
  const auto found = m_workerOfMachine.find(aMachine);
  Worker* worker =
    found == m_workerOfMachine.end() ? nullptr : FindWorker(found->second);
  return worker != nullptr && worker->m_isListed ? worker : nullptr;
}

bool
Scheduler::MayRunTasks(const Worker& aWorker) const
{
  return !aWorker.m_tasks.empty() || aWorker.m_unansweredRenewals > 0 ||
         aWorker.m_clockReadAt == absl::InfinitePast() ||
         m_unresolvedWorkers.contains(aWorker.m_report.m_id);
}

bool
Scheduler::MayRunTasksOn(const std::string& aMachine) const
{
  return std::ranges::any_of(m_workers, [&](const auto& aEntry) {
    const Worker& worker = aEntry.second;
    return worker.m_report.m_machine == aMachine &&
           (!worker.m_tasks.empty() ||
            m_unresolvedWorkers.contains(aEntry.first));
  });
}

void
Scheduler::OnWorkersListed()
{
  m_hasWorkers = true;
  BeginWhenLoaded();
}

WorkerAddress
Scheduler::AddressOf(const Worker& aWorker) const
{
  return { aWorker.m_report.m_id, aWorker.m_report.m_address };
}

void
Scheduler::RaiseFence(Worker& aWorker)
{
  // Lower than the tokens of the next owner, whose key has a later revision.
  aWorker.m_fence = ++m_lastFence;
  aWorker.m_isRenewing = false;
  if (m_lastFence >= (m_grant.m_fencingToken + 1) * kFencesPerOwner - 1) {
    m_env.m_onSuperseded();
  }
}

void
Scheduler::AskForRestart(Worker& aWorker)
{
  LogInfo(LogPart::Workers,
          absl::StrCat("entry with another start time; worker=",
                       aWorker.m_report.m_id,
                       " entry_born_ms=",
                       aWorker.m_report.m_startTimeMs,
                       " born_ms=",
                       aWorker.m_startTimeMs,
                       " tasks=",
                       aWorker.m_tasks.size()));
  // A deadline may be a time on the clock of an incarnation that has ended. No
  // task starts here until the response.
  aWorker.m_clockReadAt = absl::InfinitePast();
  aWorker.m_respondedAfter = absl::InfinitePast();
  RaiseFence(aWorker);
  ScheduleRenewal(aWorker, absl::ZeroDuration());
}

bool
Scheduler::HasUnansweredRestart(const Worker& aWorker)
{
  return aWorker.m_report.m_startTimeMs != 0 &&
         aWorker.m_report.m_startTimeMs != aWorker.m_startTimeMs &&
         aWorker.m_clockReadAt == absl::InfinitePast();
}

void
Scheduler::StartNewIncarnation(Worker& aWorker, std::int64_t aStartTimeMs)
{
  LogInfo(LogPart::Workers,
          absl::StrCat("worker restarted; worker=",
                       aWorker.m_report.m_id,
                       " born_ms=",
                       aStartTimeMs,
                       " tasks=",
                       aWorker.m_tasks.size()));
  aWorker.m_startTimeMs = aStartTimeMs;
  aWorker.m_appliedEnd = 0;
  aWorker.m_recordedEnd = 0;
  aWorker.m_clockReadAt = absl::InfinitePast();
  aWorker.m_clockOffset = absl::InfinitePast();
  aWorker.m_respondedAfter = absl::InfinitePast();
  aWorker.m_failuresInARow = 0;
  aWorker.m_isEvacuating = false;
  // It knows no fencing token. No task starts here until the leased workers
  // have been written again, which shows that this daemon is still the owner.
  aWorker.m_isLeaseRecorded = false;
  aWorker.m_leasedSince = 0;
  m_leasedWorkersText.clear();
  const std::set<Task*> tasks = aWorker.m_tasks;
  for (Task* task : tasks) {
    if (task->m_isStartUnsent) {
      ReleaseUnsent(*task);
    } else if (const auto proof = ReleaseProof::FromRestart(*task)) {
      ReleaseLost(*task, *proof);
    }
    // Others wait for the list of the new incarnation: it may have accepted
    // their starts, or a start without a response may still reach it.
  }
  ResolveEarlierLease(aWorker.m_report.m_id);
  RaiseFence(aWorker);
  if (m_isRunning) {
    StoreLeasedWorkers();
    ScheduleRenewal(aWorker, absl::ZeroDuration());
  }
}

void
Scheduler::RecordTaskFailure(Worker& aWorker)
{
  ++aWorker.m_failuresInARow;
  if (aWorker.m_failuresInARow >= kMaxFailuresInARow) {
    aWorker.m_avoidUntil = m_env.m_loop.Now() + kSuspectAvoidTime;
    LogWarning(LogPart::Workers,
               absl::StrCat("worker avoided after failed tasks; worker=",
                            aWorker.m_report.m_id,
                            " failures_in_a_row=",
                            aWorker.m_failuresInARow));
  }
}

void
Scheduler::EvacuateDraining(Worker& aWorker)
{
  const std::set<Task*> tasks = aWorker.m_tasks;
  for (Task* task : tasks) {
    if (task->m_job->Spec(*task).m_isLongRunning) {
      Relocate(*task);
    }
  }
}

bool
Scheduler::HasOnlyEarlierLease(const Worker& aWorker) const
{
  return m_unresolvedWorkers.contains(aWorker.m_report.m_id) &&
         !aWorker.m_isListed && !aWorker.m_hasOwnLease &&
         aWorker.m_unansweredRenewals > 0 &&
         aWorker.m_clockReadAt == absl::InfinitePast();
}

absl::Time
Scheduler::EarlierLeasesExpireAt(const Worker& aWorker) const
{
  absl::Time ordersEndAt = m_grant.m_previousOwnersExpireAt;
  if (HasOnlyEarlierLease(aWorker) &&
      aWorker.m_unansweredRenewals >= kMinUnansweredRenewals) {
    const auto seen =
      m_grant.m_ownersBeforeExpireAt.upper_bound(aWorker.m_earlierLeaseTerm);
    if (seen != m_grant.m_ownersBeforeExpireAt.end()) {
      ordersEndAt = std::min(ordersEndAt, seen->second);
    }
  }
  return ordersEndAt + PadForClockDrift(kWorkerLease) + kLeaseMargin;
}

void
Scheduler::StoreLeasedWorkers()
{
  const auto mayHoldLeases = [this](const Worker& aWorker) {
    return aWorker.m_isListed || !aWorker.m_tasks.empty() ||
           aWorker.HasUnrecordedEnd() ||
           m_unresolvedWorkers.contains(aWorker.m_report.m_id);
  };
  json addresses = json::object();
  for (const auto& [id, worker] : m_workers) {
    if (mayHoldLeases(worker)) {
      json& row = addresses[id];
      row = { worker.m_report.m_address,
              worker.m_report.m_machine,
              worker.m_report.m_startTimeMs };
      if (HasOnlyEarlierLease(worker)) {
        row.push_back(worker.m_earlierLeaseTerm);
        row.push_back(m_grant.m_term);
      }
    }
  }
  std::string text = addresses.dump();
  if (text == m_leasedWorkersText) {
    return;
  }
  m_leasedWorkersText = text;
  const std::int64_t number = ++m_leasedWorkersNumber;
  for (auto& [id, worker] : m_workers) {
    const bool isDenied = HasOnlyEarlierLease(worker);
    worker.m_isLeaseDenied |= isDenied;
    if (!mayHoldLeases(worker) || isDenied) {
      // No task starts there until a later list names the worker again.
      worker.m_leasedSince = 0;
      worker.m_isLeaseRecorded = false;
    } else if (worker.m_leasedSince == 0) {
      worker.m_leasedSince = number;
    }
  }
  m_writer.Put(m_keys.LeasedWorkers(), std::move(text));
  AfterStored([this, number, alive = m_alive] {
    if (!*alive) {
      return;
    }
    for (auto& [id, worker] : m_workers) {
      if (worker.m_leasedSince != 0 && worker.m_leasedSince <= number) {
        worker.m_isLeaseRecorded = true;
        worker.m_isLeaseDenied = false;
      }
    }
    RequestPlacement();
  });
}

void
Scheduler::ReleaseExpired(Worker& aWorker)
{
  if (!m_env.m_holdsLease()) {
    // The next owner may already have recorded how the tasks of an unreachable
    // worker ended.
    return;
  }
  const std::set<Task*> tasks = aWorker.m_tasks;
  std::size_t released = 0;
  for (Task* task : tasks) {
    const auto proof =
      ReleaseProof::FromLease(*task, aWorker, m_env.m_loop.Now());
    if (proof) {
      Release(*task, *proof);
      ++released;
    }
  }
  if (released == 0) {
    return;
  }
  LogWarning(LogPart::Workers,
             absl::StrCat("worker lease expired; worker=",
                          aWorker.m_report.m_id,
                          " released_tasks=",
                          released));
  m_env.m_metrics.Count("bramleystall_tasks_lost_total",
                        { { "reason", "lease_lapsed" } },
                        released);
}

void
Scheduler::ReleaseLostTasks(Worker& aWorker)
{
  const std::set<Task*> tasks = aWorker.m_tasks;
  for (Task* task : tasks) {
    if (const auto proof = ReleaseProof::FromLoss(*task)) {
      ReleaseLost(*task, *proof);
    }
  }
}

bool
Scheduler::MayRunOnUnresolvedWorker(const Job& aJob) const
{
  return m_earlierJobs.contains(&aJob) &&
         std::ranges::any_of(aJob.Workers(), [this](const std::string& aId) {
           return m_unresolvedWorkers.contains(aId);
         });
}

void
Scheduler::ClearExpiredLeases()
{
  if (m_unresolvedWorkers.empty() || !m_env.m_holdsLease()) {
    // Without the store lease, the next owner may have renewed them.
    return;
  }
  const absl::Time now = m_env.m_loop.Now();
  // A listed worker is alive, and its tasks may have ended as done before the
  // leases expired. Its responses tell, once they have listed all ends.
  const std::size_t cleared =
    std::erase_if(m_unresolvedWorkers, [&](const std::string& aId) {
      const Worker& worker = m_workers.at(aId);
      const bool isResponding = worker.m_clockReadAt != absl::InfinitePast() &&
                                worker.m_unansweredRenewals == 0;
      return !isResponding &&
             now >= EarlierLeasesExpireAt(worker) + (worker.m_isListed
                                                       ? kSilentWorkerGrace
                                                       : absl::ZeroDuration());
    });
  if (cleared > 0) {
    LogInfo(LogPart::Owner,
            absl::StrCat("leases of previous owners have expired; shard=",
                         m_keys.Shard(),
                         " workers=",
                         cleared,
                         " left=",
                         m_unresolvedWorkers.size()));
  }
}

void
Scheduler::Tick()
{
  const absl::Time now = m_env.m_loop.Now();
  for (auto it = m_workers.begin(); it != m_workers.end();) {
    Worker& worker = it->second;
    ReleaseExpired(worker);
    ReleaseLostTasks(worker);
    const bool isGone =
      !worker.m_isListed && worker.m_tasks.empty() &&
      !worker.HasUnrecordedEnd() && worker.m_renewalsInFlight == 0 &&
      now >= worker.m_leaseExpiry && !m_unresolvedWorkers.contains(it->first);
    if (isGone) {
      it = m_workers.erase(it);
      continue;
    }
    if (worker.m_report.m_isDraining) {
      EvacuateDraining(worker);
    }
    ++it;
  }
  ClearExpiredLeases();
  ReleaseUnsentStarts();
  StopBesideLateStarts();
  StoreLeasedWorkers();
  RequestPlacement();
  After(kTickInterval, [this] { Tick(); });
}

}
