#include "tests/fakes/fake_workers.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace bramleystall {

namespace {

constexpr absl::Duration kLatency = absl::Milliseconds(1);
constexpr absl::Duration kTimeout = absl::Milliseconds(600);
constexpr absl::Duration kStopTime = absl::Milliseconds(100);
constexpr absl::Duration kLeasePollInterval = absl::Milliseconds(5);

}

void
FakeWorkers::Add(const WorkerReport& aReport)
{
  WorkerState& worker = m_workers[aReport.m_id];
  worker = {};
  worker.m_report = aReport;
  worker.m_startTimeMs = aReport.m_startTimeMs;
  worker.m_startTime = m_loop.ReadClock();
}

void
FakeWorkers::Crash(const std::string& aWorkerId)
{
  m_workers.erase(aWorkerId);
}

std::int64_t
FakeWorkers::ClockMs(const WorkerState& aWorker) const
{
  return 1000 + absl::ToInt64Milliseconds(
                  (m_loop.ReadClock() - aWorker.m_startTime) * m_clockRate);
}

void
FakeWorkers::ExtendLease(WorkerState& aWorker, std::int64_t aExpiryMs) const
{
  const absl::Duration lease =
    std::min(absl::Milliseconds(aExpiryMs - ClockMs(aWorker)), m_maxLease);
  aWorker.m_leaseExpiry =
    std::max(aWorker.m_leaseExpiry, m_loop.ReadClock() + lease / m_clockRate);
}

void
FakeWorkers::EndRun(WorkerState& aWorker,
                    const std::string& aTask,
                    TaskEndKind aKind)
{
  const Run run = aWorker.m_runs.at(aTask);
  aWorker.m_runs.erase(aTask);
  aWorker.m_lastAttempt[aTask] =
    std::max(aWorker.m_lastAttempt[aTask], run.m_attempt);
  aWorker.m_ends.push_back(
    { aWorker.m_nextEndNumber++, aTask, run.m_attempt, aKind, "" });
  ++m_endCounts[{ aTask, aKind }];
  if (aKind == TaskEndKind::Done) {
    m_done.insert(aTask);
  }
}

void
FakeWorkers::Update(WorkerState& aWorker)
{
  const absl::Time now = m_loop.ReadClock();
  const auto runs = aWorker.m_runs;
  for (const auto& [task, run] : runs) {
    const bool isComplete = !run.m_plan.m_isStalled &&
                            !run.m_plan.m_isLongRunning &&
                            now >= run.m_startedAt + run.m_plan.m_time;
    if (isComplete) {
      EndRun(aWorker, task, run.m_plan.m_end);
    } else if (run.m_isStopping && now >= run.m_stopsAt) {
      EndRun(aWorker, task, TaskEndKind::Stopped);
    } else if (now >= aWorker.m_leaseExpiry) {
      EndRun(aWorker, task, TaskEndKind::LeaseExpired);
    }
  }
}

void
FakeWorkers::UpdateAll()
{
  for (auto& [id, worker] : m_workers) {
    Update(worker);
  }
}

OrderResult
FakeWorkers::Start(const std::string& aWorkerId, const StartOrder& aOrder)
{
  UpdateAll();
  WorkerState& worker = m_workers.at(aWorkerId);
  OrderResult result;
  result.m_workerClockMs = ClockMs(worker);
  if (aOrder.m_fencingToken < worker.m_fencingToken) {
    result.m_outcome = OrderOutcome::StaleFencingToken;
    return result;
  }
  const bool isUnrefusable =
    m_ignoresUnrefusable && m_isLateOrder && !worker.m_hasPromptOrder;
  worker.m_fencingToken = aOrder.m_fencingToken;
  worker.m_hasPromptOrder |= !m_isLateOrder;
  if (aOrder.m_leaseExpiryMs <= result.m_workerClockMs) {
    result.m_outcome = OrderOutcome::LeaseExpired;
    return result;
  }
  ExtendLease(worker, aOrder.m_leaseExpiryMs);
  const auto running = worker.m_runs.find(aOrder.m_task);
  if (running != worker.m_runs.end() &&
      running->second.m_attempt == aOrder.m_attempt) {
    result.m_outcome = OrderOutcome::Accepted;
    return result;
  }
  if (aOrder.m_attempt <= worker.m_lastAttempt[aOrder.m_task]) {
    result.m_outcome = OrderOutcome::StaleAttempt;
    return result;
  }
  if (!isUnrefusable && HasOtherRun(aOrder.m_task)) {
    m_violations.push_back(
      absl::StrCat("two runs of a task at once: ", aOrder.m_task));
  }
  if (!isUnrefusable && m_recordedDone.contains(aOrder.m_task)) {
    m_violations.push_back(
      absl::StrCat("task started after its end was recorded: ", aOrder.m_task));
  }
  worker.m_runs[aOrder.m_task] = { .m_attempt = aOrder.m_attempt,
                                   .m_startedAt = m_loop.ReadClock(),
                                   .m_plan =
                                     m_planner(aOrder.m_task, aOrder.m_attempt),
                                   .m_isUnrefusable = isUnrefusable };
  ++m_startCounts[aOrder.m_task];
  ++m_startCount;
  result.m_outcome = OrderOutcome::Accepted;
  return result;
}

OrderResult
FakeWorkers::Stop(const std::string& aWorkerId, const StopOrder& aOrder)
{
  WorkerState& worker = m_workers.at(aWorkerId);
  Update(worker);
  OrderResult result;
  result.m_workerClockMs = ClockMs(worker);
  if (aOrder.m_fencingToken < worker.m_fencingToken) {
    result.m_outcome = OrderOutcome::StaleFencingToken;
    return result;
  }
  worker.m_fencingToken = aOrder.m_fencingToken;
  worker.m_hasPromptOrder |= !m_isLateOrder;
  result.m_outcome = OrderOutcome::Accepted;
  worker.m_lastAttempt[aOrder.m_task] =
    std::max(worker.m_lastAttempt[aOrder.m_task], aOrder.m_attempt);
  const auto running = worker.m_runs.find(aOrder.m_task);
  if (running != worker.m_runs.end() &&
      running->second.m_attempt <= aOrder.m_attempt &&
      !running->second.m_isStopping) {
    running->second.m_isStopping = true;
    running->second.m_stopsAt = m_loop.ReadClock() + kStopTime;
  }
  return result;
}

LeaseOrderResult
FakeWorkers::RenewLease(const std::string& aWorkerId, const LeaseOrder& aOrder)
{
  WorkerState& worker = m_workers.at(aWorkerId);
  Update(worker);
  LeaseOrderResult result;
  result.m_workerClockMs = ClockMs(worker);
  result.m_startTimeMs = worker.m_startTimeMs;
  if (aOrder.m_fencingToken < worker.m_fencingToken) {
    result.m_outcome = OrderOutcome::StaleFencingToken;
    return result;
  }
  worker.m_fencingToken = aOrder.m_fencingToken;
  worker.m_hasPromptOrder |= !m_isLateOrder;
  if (aOrder.m_leaseExpiryMs > 0) {
    ExtendLease(worker, aOrder.m_leaseExpiryMs);
  }
  std::erase_if(worker.m_ends, [&](const TaskEnd& aEnd) {
    const bool isRecorded = aEnd.m_number <= aOrder.m_lastRecordedEnd;
    if (isRecorded && aEnd.m_kind == TaskEndKind::Done) {
      m_recordedDone.insert(aEnd.m_task);
    }
    return isRecorded;
  });
  result.m_outcome = OrderOutcome::Accepted;
  const std::size_t count = std::min(worker.m_ends.size(), m_maxListedEnds);
  std::ranges::copy_n(worker.m_ends.begin(),
                      static_cast<std::ptrdiff_t>(count),
                      std::back_inserter(result.m_ends));
  result.m_hasAllEnds = count < m_maxListedEnds;
  for (const auto& [task, run] : worker.m_runs) {
    RunningTask row{ .m_task = task, .m_attempt = run.m_attempt };
    if (run.m_plan.m_isLongRunning) {
      row.m_percent = 100;
    } else if (!run.m_plan.m_isStalled) {
      row.m_percent = static_cast<int>(
        100 * absl::FDivDuration(m_loop.ReadClock() - run.m_startedAt,
                                 run.m_plan.m_time));
    }
    result.m_running.push_back(row);
  }
  return result;
}

bool
FakeWorkers::HasUnrecordedEnd(const std::string& aWorkerId,
                              std::int64_t aLastRecorded)
{
  WorkerState& worker = m_workers.at(aWorkerId);
  Update(worker);
  return std::ranges::any_of(worker.m_ends, [&](const TaskEnd& aEnd) {
    return aEnd.m_number > aLastRecorded;
  });
}

bool
FakeWorkers::HasOtherRun(const std::string& aTask)
{
  UpdateAll();
  return std::ranges::any_of(m_workers, [&aTask](const auto& aEntry) {
    const auto found = aEntry.second.m_runs.find(aTask);
    return found != aEntry.second.m_runs.end() &&
           !found->second.m_isUnrefusable;
  });
}

std::vector<std::string>
FakeWorkers::RunningOn(const std::string& aTask)
{
  UpdateAll();
  std::vector<std::string> workers;
  for (const auto& [id, worker] : m_workers) {
    if (worker.m_runs.contains(aTask)) {
      workers.push_back(id);
    }
  }
  return workers;
}

int
FakeWorkers::StartCount(const std::string& aTask) const
{
  const auto found = m_startCounts.find(aTask);
  return found == m_startCounts.end() ? 0 : found->second;
}

int
FakeWorkers::EndCount(const std::string& aTask, TaskEndKind aKind) const
{
  const auto found = m_endCounts.find({ aTask, aKind });
  return found == m_endCounts.end() ? 0 : found->second;
}

void
FakeWorkerClient::CallAfter(absl::Duration aDelay,
                            std::function<void()> aCallback)
{
  m_loop.After(aDelay, [alive = m_alive, callback = std::move(aCallback)] {
    if (*alive) {
      callback();
    }
  });
}

void
FakeWorkerClient::SendLate(const std::string& aWorkerId,
                           std::function<void()> aOrder)
{
  m_loop.After(m_orderDelay,
               [&workers = m_workers, aWorkerId, order = std::move(aOrder)] {
                 if (workers.IsUp(aWorkerId)) {
                   workers.RunLate(order);
                 }
               });
}

void
FakeWorkerClient::Start(const WorkerAddress& aWorker,
                        const StartOrder& aOrder,
                        OrderCallback aCallback)
{
  const std::string id = aWorker.m_workerId;
  if (m_delayedStarts > 0) {
    --m_delayedStarts;
    SendLate(id,
             [&workers = m_workers, id, aOrder] { workers.Start(id, aOrder); });
    CallAfter(kTimeout, [callback = std::move(aCallback)] {
      callback({ .m_outcome = OrderOutcome::Unknown });
    });
    return;
  }
  CallAfter(kLatency,
            [this,
             id,
             born = m_workers.StartTimeMs(id),
             aOrder,
             callback = std::move(aCallback)] {
              if (m_unreachableWorkers.contains(id) || !m_workers.IsUp(id)) {
                CallAfter(kTimeout, [callback] {
                  callback({ .m_outcome = OrderOutcome::Unknown });
                });
                return;
              }
              OrderResult result;
              const auto start = [&] { result = m_workers.Start(id, aOrder); };
              if (m_workers.StartTimeMs(id) == born) {
                start();
              } else {
                // The worker has restarted in a slow iteration of the event
                // loop.
                m_workers.RunLate(start);
              }
              const bool isLost = m_lostStartResponses > 0;
              if (isLost) {
                --m_lostStartResponses;
              }
              CallAfter(isLost ? kTimeout : kLatency,
                        [callback, result, isLost] {
                          callback(isLost ? OrderResult{} : result);
                        });
            });
}

void
FakeWorkerClient::Stop(const WorkerAddress& aWorker,
                       const StopOrder& aOrder,
                       OrderCallback aCallback)
{
  const std::string id = aWorker.m_workerId;
  if (m_delayedStops > 0) {
    --m_delayedStops;
    SendLate(id,
             [&workers = m_workers, id, aOrder] { workers.Stop(id, aOrder); });
    CallAfter(kTimeout, [callback = std::move(aCallback)] { callback({}); });
    return;
  }
  CallAfter(kLatency, [this, id, aOrder, callback = std::move(aCallback)] {
    if (m_unreachableWorkers.contains(id) || !m_workers.IsUp(id)) {
      CallAfter(kTimeout, [callback] { callback({}); });
      return;
    }
    const OrderResult result = m_workers.Stop(id, aOrder);
    CallAfter(kLatency, [callback, result] { callback(result); });
  });
}

void
FakeWorkerClient::Pace(const WorkerAddress& /*aWorker*/,
                       const PaceOrder& /*aOrder*/,
                       OrderCallback aCallback)
{
  CallAfter(kLatency, [callback = std::move(aCallback)] {
    callback({ .m_outcome = OrderOutcome::Accepted });
  });
}

void
FakeWorkerClient::RenewLease(const WorkerAddress& aWorker,
                             const LeaseOrder& aOrder,
                             LeaseCallback aCallback)
{
  if (m_delayedRenewals > 0) {
    --m_delayedRenewals;
    SendLate(aWorker.m_workerId,
             [&workers = m_workers, id = aWorker.m_workerId, aOrder] {
               workers.RenewLease(id, aOrder);
             });
    CallAfter(aOrder.m_wait + kTimeout,
              [callback = std::move(aCallback)] { callback({}); });
    return;
  }
  CallAfter(kLatency,
            [this,
             aWorker,
             aOrder,
             until = m_loop.Now() + aOrder.m_wait,
             callback = std::move(aCallback)] {
              PollLease(aWorker, aOrder, until, callback);
            });
}

void
FakeWorkerClient::PollLease(const WorkerAddress& aWorker,
                            const LeaseOrder& aOrder,
                            absl::Time aUntil,
                            const LeaseCallback& aCallback)
{
  const std::string id = aWorker.m_workerId;
  if (m_unreachableWorkers.contains(id) || !m_workers.IsUp(id)) {
    CallAfter(kTimeout, [callback = aCallback] { callback({}); });
    return;
  }
  const LeaseOrderResult result = m_workers.RenewLease(id, aOrder);
  if (result.m_outcome != OrderOutcome::Accepted || m_loop.Now() >= aUntil ||
      m_workers.HasUnrecordedEnd(id, aOrder.m_lastRecordedEnd)) {
    if (m_iterationTime > absl::ZeroDuration()) {
      CallAfter(kLatency, [this, id, aOrder, callback = aCallback] {
        m_loop.AddIterationTime(m_iterationTime);
        callback(m_workers.RenewLease(id, aOrder));
      });
      return;
    }
    CallAfter(kLatency, [callback = aCallback, result] { callback(result); });
    return;
  }
  CallAfter(kLeasePollInterval, [this, aWorker, aOrder, aUntil, aCallback] {
    PollLease(aWorker, aOrder, aUntil, aCallback);
  });
}

void
FakeWorkerClient::Advise(const std::string& /*aStep*/,
                         const std::vector<std::string>& aWorkers,
                         AdviceCallback aCallback)
{
  m_adviceRequests.push_back(aWorkers);
  CallAfter(kLatency, [this, aWorkers, callback = std::move(aCallback)] {
    AdviceResult advice;
    advice.m_hasResponse = true;
    advice.m_validFor = absl::Seconds(2);
    for (const std::string& worker : aWorkers) {
      if (!m_isAllowed || m_isAllowed(worker)) {
        advice.m_tickets.push_back({ worker, "ticket" });
      }
    }
    callback(advice);
  });
}

}
