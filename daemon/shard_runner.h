#pragma once

#include "jobs/maintenance_wave.h"
#include "scheduler/fleet_controller.h"
#include "scheduler/ownership.h"
#include "scheduler/scheduler.h"
#include "scheduler/shard_layout.h"
#include "store/store_mirror.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace bramleystall {

class KvStoreClient;
class MachineClient;
class WorkerClient;
struct JobSettings;

/**
 * Runs one shard of the fleet in this daemon: competes for its ownership and,
 * while this daemon is the owner, runs its scheduler and its fleet controller.
 */
class ShardRunner
{
public:
  /** Dependencies; all must outlive the runner. */
  struct Environment
  {
    EventLoop& m_loop;
    Metrics& m_metrics;
    KvStoreClient& m_store;
    WorkerClient& m_workers;
    MachineClient& m_machines;
    const JobSettings& m_settings;
    const ShardLayout& m_layout;
    const std::map<std::int64_t, MaintenanceWave>& m_waves;
    std::function<const JobConfiguration&()> m_configuration;
    /** See Ownership::PriorityDelayHook. */
    Ownership::PriorityDelayHook m_priorityDelay;
    /** See SchedulerSettings. */
    std::function<std::int64_t()> m_memoryLimit;
  };

  ShardRunner(Environment aEnvironment, int aShard, StateChart aChart);
  ShardRunner(const ShardRunner&) = delete;
  ShardRunner& operator=(const ShardRunner&) = delete;

  /** Longest time that a handover waits for the changes to be stored. */
  static constexpr absl::Duration kMaxHandoverTime = absl::Milliseconds(300);

  Ownership& Owner() { return m_ownership; }
  /** Null unless this daemon owns the shard. */
  Scheduler* Jobs() { return m_scheduler.get(); }
  /** Calls back once the changes of this owner are stored, or after
   * kMaxHandoverTime; at once when this daemon is not the owner. The hook may
   * run twice. */
  void WhenStored(const std::function<void()>& aHook);
  void OnConfigurationChanged();
  void OnWave(const MaintenanceWave& aWave);

private:
  void Start(const OwnershipGrant& aGrant);
  void Stop();
  void OnWorkerItem(const StoreItem& aItem);

  Environment m_env;
  int m_shard;
  keys::ShardKeys m_keys;
  std::unique_ptr<Scheduler> m_scheduler;
  std::unique_ptr<FleetController> m_fleet;
  std::unique_ptr<StoreMirror> m_workerMirror;
  Ownership m_ownership;
};

}
