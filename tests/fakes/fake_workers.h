#pragma once

#include "core/worker_gateway.h"
#include "jobs/worker_report.h"
#include "net/event_loop.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bramleystall {

/** How a fake worker runs an attempt of a task. */
struct FakeRunPlan
{
  absl::Duration m_time = absl::Milliseconds(300);
  TaskEndKind m_end = TaskEndKind::Done;
  /** The task makes no progress and does not end by itself. */
  bool m_isStalled = false;
  /** The task runs until it is stopped. */
  bool m_isLongRunning = false;
};

/**
 * Workers in simulated time that handle leases, fencing tokens and the ends of
 * tasks as the platform's workers do. They record each order that violates a
 * guarantee of the scheduler.
 */
class FakeWorkers
{
public:
  using Planner =
    std::function<FakeRunPlan(const std::string& aTask, std::int64_t aAttempt)>;

  explicit FakeWorkers(EventLoop& aLoop)
    : m_loop(aLoop)
  {
  }

  void Add(const WorkerReport& aReport);
  /** Ends a worker and all tasks that it runs. */
  void Crash(const std::string& aWorkerId);
  void SetPlanner(Planner aPlanner) { m_planner = std::move(aPlanner); }
  /** Uses one plan for all runs. */
  void SetPlan(const FakeRunPlan& aPlan)
  {
    m_planner = [aPlan](const std::string&, std::int64_t) { return aPlan; };
  }

  /** Sets how fast the clocks of all workers run. */
  void SetClockRate(double aRate) { m_clockRate = aRate; }
  /** Sets how many ends a response lists at most; 500 unless it is set. */
  void SetMaxListedEnds(std::size_t aCount) { m_maxListedEnds = aCount; }
  /**
   * Counts no violation by a late start at an incarnation that has had late
   * orders only, since nothing can let the worker refuse it.
   */
  void IgnoreUnrefusableStarts() { m_ignoresUnrefusable = true; }
  /** Sets the longest lease that a worker grants; 6 s unless it is set. */
  void SetMaxLease(absl::Duration aLease) { m_maxLease = aLease; }

  /** Carries out an order that is late. */
  void RunLate(const std::function<void()>& aOrder)
  {
    m_isLateOrder = true;
    aOrder();
    m_isLateOrder = false;
  }
  OrderResult Start(const std::string& aWorkerId, const StartOrder& aOrder);
  OrderResult Stop(const std::string& aWorkerId, const StopOrder& aOrder);
  LeaseOrderResult RenewLease(const std::string& aWorkerId,
                              const LeaseOrder& aOrder);
  /** Whether a task has ended since the last end that the daemon recorded. */
  bool HasUnrecordedEnd(const std::string& aWorkerId,
                        std::int64_t aLastRecorded);
  bool IsUp(const std::string& aWorkerId) const
  {
    return m_workers.contains(aWorkerId);
  }

  /** Start time of the worker's current incarnation; 0 when it is down. */
  std::int64_t StartTimeMs(const std::string& aWorkerId) const
  {
    const auto found = m_workers.find(aWorkerId);
    return found == m_workers.end() ? 0 : found->second.m_startTimeMs;
  }

  /** Ids of the workers that run a task now. */
  std::vector<std::string> RunningOn(const std::string& aTask);
  int StartCount(const std::string& aTask) const;
  int StartCount() const { return m_startCount; }
  /** Whether a run of the task was ever started. */
  bool HasEverRun(const std::string& aTask) const
  {
    return StartCount(aTask) > 0;
  }
  const std::set<std::string>& DoneTasks() const { return m_done; }
  /** Number of runs of the task that ended in this way. */
  int EndCount(const std::string& aTask, TaskEndKind aKind) const;
  /** Descriptions of the guarantees that orders have violated. */
  const std::vector<std::string>& Violations() const { return m_violations; }

private:
  struct Run
  {
    std::int64_t m_attempt = 0;
    absl::Time m_startedAt;
    FakeRunPlan m_plan;
    bool m_isStopping = false;
    bool m_isUnrefusable = false;
    absl::Time m_stopsAt = absl::InfiniteFuture();
  };
  struct WorkerState
  {
    WorkerReport m_report;
    std::int64_t m_startTimeMs = 0;
    absl::Time m_startTime;
    std::int64_t m_fencingToken = 0;
    /** An order that was not late has set the fencing token. */
    bool m_hasPromptOrder = false;
    absl::Time m_leaseExpiry;
    std::map<std::string, Run> m_runs;
    std::map<std::string, std::int64_t> m_lastAttempt;
    std::vector<TaskEnd> m_ends;
    std::int64_t m_nextEndNumber = 1;
  };

  /** Ends the runs that are complete or stopped, or whose lease expired. */
  void Update(WorkerState& aWorker);
  void EndRun(WorkerState& aWorker,
              const std::string& aTask,
              TaskEndKind aKind);
  std::int64_t ClockMs(const WorkerState& aWorker) const;
  /** Extends the lease up to a time on the worker's clock. */
  void ExtendLease(WorkerState& aWorker, std::int64_t aExpiryMs) const;
  void UpdateAll();
  /** Whether a run counts that starts now beside others of its task. */
  bool HasOtherRun(const std::string& aTask);

  EventLoop& m_loop;
  Planner m_planner = [](const std::string&, std::int64_t) {
    return FakeRunPlan{};
  };
  std::size_t m_maxListedEnds = 500;
  double m_clockRate = 1;
  absl::Duration m_maxLease = absl::Seconds(6);
  bool m_ignoresUnrefusable = false;
  bool m_isLateOrder = false;
  std::map<std::string, WorkerState> m_workers;
  std::map<std::string, int> m_startCounts;
  int m_startCount = 0;
  std::map<std::pair<std::string, TaskEndKind>, int> m_endCounts;
  std::set<std::string> m_done;
  /** Tasks whose successful end has been recorded by a daemon. */
  std::set<std::string> m_recordedDone;
  std::vector<std::string> m_violations;
};

/** Connections of one daemon to the workers, with injected faults. */
class FakeWorkerClient : public WorkerGateway
{
public:
  FakeWorkerClient(EventLoop& aLoop, FakeWorkers& aWorkers)
    : m_loop(aLoop)
    , m_workers(aWorkers)
  {
  }
  ~FakeWorkerClient() override { *m_alive = false; }

  /** Ids of workers to which starts, stops and lease renewals time out. */
  std::set<std::string> m_unreachableWorkers;
  /** Number of coming starts that take effect, but whose response is lost. */
  int m_lostStartResponses = 0;
  /**
   * Numbers of coming orders that time out and take effect late, at whichever
   * incarnation of the worker is up then.
   */
  int m_delayedStarts = 0;
  int m_delayedStops = 0;
  int m_delayedRenewals = 0;
  /** Time until such an order takes effect. */
  absl::Duration m_orderDelay = absl::Seconds(3);
  /** Workers that the policy of all queues allows; all if unset. */
  std::function<bool(const std::string& aWorkerId)> m_isAllowed;
  /** The workers that each request for advice has named. */
  std::vector<std::vector<std::string>> m_adviceRequests;
  /**
   * Time that the iteration of the daemon's event loop has taken when the
   * daemon reads the response to a lease renewal.
   */
  absl::Duration m_iterationTime;

  void Start(const WorkerAddress& aWorker,
             const StartOrder& aOrder,
             OrderCallback aCallback) override;
  void Stop(const WorkerAddress& aWorker,
            const StopOrder& aOrder,
            OrderCallback aCallback) override;
  void Pace(const WorkerAddress& aWorker,
            const PaceOrder& aOrder,
            OrderCallback aCallback) override;
  void RenewLease(const WorkerAddress& aWorker,
                  const LeaseOrder& aOrder,
                  LeaseCallback aCallback) override;
  void Advise(const std::string& aStep,
              const std::vector<std::string>& aWorkers,
              AdviceCallback aCallback) override;

private:
  /** Runs the callback after the delay, unless this client is gone by then. */
  void CallAfter(absl::Duration aDelay, std::function<void()> aCallback);
  /** Lets an order take effect late, even if this daemon has ended by then. */
  void SendLate(const std::string& aWorkerId, std::function<void()> aOrder);
  void PollLease(const WorkerAddress& aWorker,
                 const LeaseOrder& aOrder,
                 absl::Time aUntil,
                 const LeaseCallback& aCallback);

  EventLoop& m_loop;
  FakeWorkers& m_workers;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
