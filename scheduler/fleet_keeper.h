#pragma once

#include "core/machine_gateway.h"
#include "jobs/maintenance_wave.h"
#include "scheduler/job_keys.h"
#include "store/store_mirror.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace bramleystall {

class EventLoop;
class KeyValueStore;
class Metrics;
class Scheduler;
class ShardLayout;
struct JobConfiguration;
struct Worker;

/** Figures of the deployment that the fleet keeper works with. */
struct FleetSettings
{
  absl::Duration m_moveTime = absl::Milliseconds(1500);
  absl::Duration m_maintenanceTime = absl::Seconds(2);
  /** Orders that the platform accepts in a second, for this shard. */
  double m_ordersPerSecond = 64;
  /** Pages of the machine list that the platform serves in a second. */
  double m_readsPerSecond = 64;
  /** Two holders do not order the same machine within this time. */
  absl::Duration m_machineTurn = absl::Seconds(3);
};

/**
 * Moves the machines of a shard between pools as the demand asks and carries
 * out the operator's maintenance waves on them, while this daemon is the
 * shard's owner. The owner is the only one that orders these machines.
 */
class FleetKeeper
{
public:
  /** Collaborators; all outlive the keeper. */
  struct Environment
  {
    EventLoop& m_loop;
    KeyValueStore& m_store;
    MachineGateway& m_machines;
    Scheduler& m_scheduler;
    Metrics& m_metrics;
    /** Division of the fleet, and the shard of this keeper. */
    const ShardLayout& m_layout;
    int m_shard = 0;
    std::function<const JobConfiguration&()> m_configuration;
    /** Whether the store's lease is valid; see Ownership::HoldsLease. */
    std::function<bool()> m_holdsLease;
    /** Key of a wave's state as the operator reads it, and its text. */
    std::function<std::string(std::int64_t aWave)> m_waveStatusKey;
    std::function<std::string(bool aIsCompleted)> m_encodeWaveStatus;
  };

  FleetKeeper(Environment aEnvironment,
              const FleetSettings& aSettings,
              MachineAuthority aAuthority);
  ~FleetKeeper();
  FleetKeeper(const FleetKeeper&) = delete;
  FleetKeeper& operator=(const FleetKeeper&) = delete;

  void OnWave(const MaintenanceWave& aWave);

private:
  /** A refused order is tried again after this time. */
  static constexpr absl::Duration kRefusedPause = absl::Milliseconds(1000);

  /** An order that has been sent and whose effect is not seen yet. */
  struct OpenOrder
  {
    /** Pool that the machine goes to; empty for an upkeep. */
    std::string m_pool;
    /** Wave of an upkeep; 0 for a move. */
    std::int64_t m_wave = 0;
    absl::Time m_sentAt;
    bool m_isAccepted = false;
    /** The call has been made; before, the order is only recorded. */
    bool m_isCalled = false;
    /** Worker that ran on the machine before. */
    std::string m_workerId;
  };

  struct WaveState
  {
    MaintenanceWave m_wave;
    absl::Time m_knownAt;
    /** Machines of this shard whose upkeep has begun. */
    std::set<std::string> m_done;
    /** All machines of this shard are done and none is down. */
    bool m_isCompleted = false;
    bool m_hasProgress = false;
    /** Machines of the wave in each shard. */
    std::vector<int> m_machines;
    /** The operator has been told that all shards have completed it. */
    bool m_isReported = false;
  };

  struct PoolLoad
  {
    int m_machines = 0;
    int m_incoming = 0;
    /** Machines for long-running jobs and those that can be in time ... */
    int m_desired = 0;
    /** ... and for all jobs. */
    int m_wanted = 0;
    bool m_isStandby = false;
  };

  void ReadMachineOrders();
  void SendOrders();
  void RecordOrders();
  void ApplyWaveProgress(const StoreItem& aItem);
  void StoreWaveProgress(const WaveState& aState);
  int LimitOf(const WaveState& aState) const;
  void Step();
  /** Interval that keeps all owners together within the platform's rate. */
  absl::Duration ListInterval() const;
  void ListMachines();
  void OnListed(absl::Time aSentAt, MachineListResult aResult);
  void CloseOrders();
  void WorkOnWaves();
  void WorkOnWave(WaveState& aState);
  bool MayTakeForUpkeep(const MachineEntry& aMachine,
                        const Worker& aWorker,
                        double aUrgency);
  void Maintain(const MachineEntry& aMachine, std::int64_t aWave);
  void OnMaintained(const std::string& aMachine, MachineOutcome aOutcome);
  void NoteDone(const std::string& aMachine, std::int64_t aWave);
  bool IsCompletedIn(const WaveState& aState, int aShard) const;
  bool IsCompletedEverywhere(const WaveState& aState) const;
  void PublishWave(const WaveState& aState, bool aIsCompleted);
  void Rebalance();
  std::map<std::string, PoolLoad> MeasurePools();
  void LogPools(const std::map<std::string, PoolLoad>& aPools);
  /** Moves machines to a pool; false when it stays short of its need. */
  bool Fill(const std::string& aPool,
            int aNeed,
            std::map<std::string, PoolLoad>& aPools);
  const MachineEntry* FindSource(const std::string& aPool,
                                 std::map<std::string, PoolLoad>& aPools);
  void Move(const MachineEntry& aMachine, const std::string& aPool);
  void OnMoved(const std::string& aMachine, MachineOutcome aOutcome);
  void PauseAfter(const std::string& aMachine, MachineOutcome aOutcome);
  bool IsIdle(const MachineEntry& aMachine, absl::Duration aFor);
  Worker* WorkerOn(const MachineEntry& aMachine);
  bool IsInOpenWave(const std::string& aMachine) const;
  bool MayOrder() const;
  void RefillTokens();
  /** Takes a token; false when no more orders fit the platform's rate. */
  bool TakeToken(double aReserve);
  void CallMaintain(const std::string& aMachine);
  void CallMove(const std::string& aMachine);

  Environment m_env;
  FleetSettings m_settings;
  keys::ShardKeys m_keys;
  MachineAuthority m_authority;
  std::map<std::string, MachineEntry> m_machines;
  absl::Duration m_listInterval;
  absl::Time m_listedAt;
  bool m_isListing = false;
  absl::Time m_poolsLoggedAt = absl::InfinitePast();
  bool m_hasWaveProgress = false;
  bool m_hasMachineOrders = false;
  /** When this owner last ordered a machine, as the store knows it. */
  std::map<std::string, absl::Time> m_recentOrders;
  std::string m_recentOrdersText;
  /** Orders that may be given now; refilled with the time. */
  double m_orderTokens = 0;
  absl::Time m_tokensAt = absl::InfinitePast();
  std::map<std::int64_t, WaveState> m_waves;
  /** Stored progress of each wave, by key. */
  struct WaveProgress
  {
    std::set<std::string> m_done;
    bool m_isCompleted = false;
  };
  std::map<std::string, WaveProgress> m_waveProgress;
  std::map<std::string, OpenOrder> m_orders;
  /** Since when a machine has had no task. */
  std::map<std::string, absl::Time> m_idleSince;
  /** No order for a machine until then, after one was refused. */
  std::map<std::string, absl::Time> m_pauseUntil;
  /** No order at all until then, after the platform was unreachable. */
  absl::Time m_pauseAllUntil = absl::InfinitePast();
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
  std::unique_ptr<StoreMirror> m_waveMirror;
};

}
