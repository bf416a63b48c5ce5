#pragma once

#include "core/metrics.h"
#include "jobs/job_configuration.h"
#include "jobs/job_record.h"
#include "net/event_loop.h"
#include "scheduler/ownership.h"
#include "scheduler/scheduler.h"
#include "tests/fakes/delayed_worker_gateway.h"
#include "tests/fakes/fake_store.h"
#include "tests/fakes/fake_workers.h"

#include <absl/time/clock.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace bramleystall {

/**
 * Simulates several daemons with their schedulers, one store and the workers in
 * one thread and in simulated time.
 */
class JobCluster
{
public:
  /** State of a running daemon; destroyed when the daemon is killed. */
  struct Daemon
  {
    Daemon(JobCluster& aCluster, const std::string& aName);

    bool MayOrder();

    JobCluster& m_cluster;
    FakeStoreClient m_store;
    FakeWorkerClient m_workers;
    DelayedWorkerGateway m_delayed;
    /** False to act as if the time for orders had run out. */
    bool m_mayOrder = true;
    /** The daemon is frozen once for this time, just after it has found that it
     * may send orders. */
    absl::Duration m_freezeAfterCheck;
    std::unique_ptr<Scheduler> m_scheduler;
    std::unique_ptr<Ownership> m_ownership;
    std::unique_ptr<StoreMirror> m_ownershipMirror;
  };

  explicit JobCluster(int aWorkers);

  void AddDaemon(const std::string& aName);
  void KillDaemon(const std::string& aName) { m_daemons.erase(aName); }
  Daemon& At(const std::string& aName) { return *m_daemons.at(aName); }
  /** Name of a daemon that holds the owner's lease; empty when none does. */
  std::string Owner() const;
  /** Number of daemons that hold the owner's lease. */
  int Owners() const;

  /** Stores a job as a daemon does that accepts it from a caller, now in
   * simulated time: the ranks of jobs must not depend on real time. */
  void Submit(const JobRecord& aRecord);
  void CancelJob(const std::string& aId);
  /** State of a job in the store; empty when the store has none. */
  std::string State(const std::string& aId) const;

  void Run(absl::Duration aTime) { m_loop.AdvanceBy(aTime); }
  /**
   * Crashes a worker for good; the store drops its entry as after three missed
   * heartbeats.
   */
  void CrashWorker(const std::string& aWorkerId);
  /**
   * Crashes a worker that is up and starts it again under the same id after
   * 300 ms. No daemon learns of it from the store.
   */
  void RestartWorker(const std::string& aWorkerId);
  /** Like RestartWorker, but the worker writes its new entry when it is up. */
  void RestartListedWorker(const std::string& aWorkerId);
  /** The store's entry of a worker expires although the worker is up. */
  void UnlistWorker(const std::string& aWorkerId);
  /** The worker writes its entry, with a new report or with the last one. */
  void ListWorker(const WorkerReport& aReport);
  void ListWorker(const std::string& aWorkerId);

  static WorkerReport MakeReport(int aIndex);
  static JobRecord MakeJob(const std::string& aId, int aTasks, int aSteps);

  /** The only shard. */
  keys::ShardKeys m_keys{ 0 };
  EventLoop m_loop{ EventLoop::ClockMode::Simulated };
  FakeStore m_store{ m_loop };
  FakeWorkers m_workers{ m_loop };
  Metrics m_metrics;
  JobConfiguration m_configuration;
  SchedulerSettings m_settings;
  /** Delays of the orders of all daemons; without it, daemons that are added
   * send their orders at once. */
  DelayedWorkerGateway::DelayHook m_delays;
  /** Start of the simulated time, and the time of day then, in ms since the
   * Unix epoch. */
  absl::Time m_createdAt = m_loop.Now();
  std::int64_t m_createdAtMs = absl::ToUnixMillis(absl::Now());
  std::map<std::string, WorkerReport> m_reports;
  /** Reports of workers whose entries have expired. */
  std::map<std::string, WorkerReport> m_unlisted;
  std::map<std::string, std::unique_ptr<Daemon>> m_daemons;
};

}
