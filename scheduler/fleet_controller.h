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

/** Deployment settings of the fleet controller. */
struct FleetSettings
{
  absl::Duration m_moveTime = absl::Milliseconds(1500);
  absl::Duration m_maintenanceTime = absl::Seconds(2);
  /** Orders per second that the platform accepts for this shard. */
  double m_ordersPerSecond = 64;
  /** Pages of the machine list that the platform serves per second. */
  double m_readsPerSecond = 64;
  /** Shortest time between orders of two owners for the same machine. */
  absl::Duration m_machineTurn = absl::Seconds(3);
};

/**
 * Moves the machines of a shard between pools to match the demand and carries
 * out the operator's maintenance waves on them, while this daemon owns the
 * shard. Only the owner sends orders for these machines.
 */
class FleetController
{
public:
  /** Dependencies; all outlive the controller. */
  struct Environment
  {
    EventLoop& m_loop;
    KeyValueStore& m_store;
    MachineGateway& m_machines;
    Scheduler& m_scheduler;
    Metrics& m_metrics;
    /** Division of the fleet into shards, and the controller's own shard. */
    const ShardLayout& m_layout;
    int m_shard = 0;
    std::function<const JobConfiguration&()> m_configuration;
    /** Whether the store lease is valid; see Ownership::HoldsLease. */
    std::function<bool()> m_holdsLease;
    /** Key and value of a wave's status as the operator reads it. */
    std::function<std::string(std::int64_t aWave)> m_waveStatusKey;
    std::function<std::string(bool aIsCompleted)> m_encodeWaveStatus;
  };

  FleetController(Environment aEnvironment,
                  const FleetSettings& aSettings,
                  MachineAuthority aAuthority);
  ~FleetController();
  FleetController(const FleetController&) = delete;
  FleetController& operator=(const FleetController&) = delete;

  void OnWave(const MaintenanceWave& aWave);

private:
  /** Time before the next order for a machine whose order was refused. */
  static constexpr absl::Duration kRefusedOrderRetryDelay =
    absl::Milliseconds(1000);

  /** An order that is queued or sent and whose effect is not seen yet. */
  struct OpenOrder
  {
    /** Pool that the machine moves to; empty for maintenance. */
    std::string m_pool;
    /** Wave of the maintenance; 0 for a move. */
    std::int64_t m_wave = 0;
    /** Time of queueing until m_isSent, then the time of sending. */
    absl::Time m_sentAt;
    bool m_isAccepted = false;
    /** The platform has been called; until then the order is only stored. */
    bool m_isSent = false;
    /** Worker that ran on the machine before the order. */
    std::string m_workerId;
  };

  /** Open orders by machine. */
  using OrderMap = std::map<std::string, OpenOrder>;

  struct WaveState
  {
    MaintenanceWave m_wave;
    absl::Time m_knownAt;
    /**
     * Machines of this shard whose maintenance was accepted, or refused for
     * good.
     */
    std::set<std::string> m_handled;
    /** All machines of this shard are handled and none is down. */
    bool m_isCompleted = false;
    /** The stored progress has been applied. */
    bool m_isRestored = false;
    /** Number of the wave's machines in each shard. */
    std::vector<int> m_machines;
    /** Its completion in all shards has been published. */
    bool m_isReported = false;
  };

  struct PoolLoad
  {
    int m_machines = 0;
    int m_incoming = 0;
    /** Machines needed for long-running jobs and for jobs that can still be in
     * time. */
    int m_desired = 0;
    /** Machines needed when late jobs are included. */
    int m_desiredWithLate = 0;
    bool m_isStandby = false;
  };

  void ReadMachineOrders();
  void SendOrders();
  void RecordOrders();
  void ApplyWaveProgress(const StoreItem& aItem);
  void StoreWaveProgress(const WaveState& aState);
  int ShardLimitOf(const WaveState& aState) const;
  void RunCycle();
  /** Interval of the machine lists at which all owners together keep to the
   * platform's read rate. */
  absl::Duration ListInterval() const;
  void ListMachines();
  void OnListed(absl::Time aSentAt, MachineListResult aResult);
  /** Whether several lists in a row have lacked the machine. */
  bool IsGone(const std::string& aMachine) const;
  /** Number of machines that are up or can be brought up by a move. */
  int UsableMachineCount() const;
  /** Removes an order; returns the next one. */
  OrderMap::iterator CloseOrder(OrderMap::iterator aOrder);
  /** Removes the orders whose machine has a new worker. */
  void CloseArrivedOrders();
  /** Removes the accepted orders that are over by the machine list, whether
   * they were carried out or not. */
  void CloseListedOrders(absl::Time aListSentAt);
  void WorkOnWaves();
  void WorkOnWave(WaveState& aState);
  bool MayEvacuateForMaintenance(const MachineEntry& aMachine,
                                 const Worker& aWorker,
                                 double aUrgency);
  void QueueMaintenance(const MachineEntry& aMachine, std::int64_t aWave);
  void OnMaintenanceOutcome(const std::string& aMachine,
                            MachineOutcome aOutcome);
  /** Repeats a maintenance order without a response, once orders are allowed.
   */
  void RetryMaintenance(const std::string& aMachine);
  /** Sends a maintenance order again, once the store shows that this daemon is
   * still the owner and has told the next one of the order. */
  void RepeatMaintenance(const std::string& aMachine);
  void MarkHandled(const std::string& aMachine, std::int64_t aWave);
  bool IsCompletedIn(const WaveState& aState, int aShard) const;
  bool IsCompletedEverywhere(const WaveState& aState) const;
  void PublishWave(const WaveState& aState, bool aIsCompleted);
  void Rebalance();
  std::map<std::string, PoolLoad> MeasurePools();
  void LogPools(const std::map<std::string, PoolLoad>& aPools);
  /** Queues moves to a pool; false when it stays below aNeed machines. */
  bool Fill(const std::string& aPool,
            int aNeed,
            std::map<std::string, PoolLoad>& aPools);
  const MachineEntry* FindSource(const std::string& aPool,
                                 std::map<std::string, PoolLoad>& aPools);
  void QueueMove(const MachineEntry& aMachine, const std::string& aPool);
  void OnMoveOutcome(const std::string& aMachine, MachineOutcome aOutcome);
  /** Delays further orders after one that was not accepted. */
  void BlockAfter(const std::string& aMachine, MachineOutcome aOutcome);
  bool IsIdle(const MachineEntry& aMachine, absl::Duration aFor);
  Worker* WorkerOn(const MachineEntry& aMachine);
  bool IsInOpenWave(const std::string& aMachine) const;
  bool MayOrder() const;
  void RefillOrderTokens();
  /**
   * Takes an order token; false when that would leave less than aReserve, so
   * that orders keep to the platform's rate.
   */
  bool TakeOrderToken(double aReserve);
  void SendMaintenance(const std::string& aMachine);
  void SendMove(const std::string& aMachine);

  Environment m_env;
  FleetSettings m_settings;
  keys::ShardKeys m_keys;
  MachineAuthority m_authority;
  std::map<std::string, MachineEntry> m_machines;
  /** Complete lists so far, and the number of the last one that has a machine.
   */
  int m_listCount = 0;
  std::map<std::string, int> m_lastListOf;
  absl::Duration m_listInterval;
  absl::Time m_listedAt;
  bool m_isListing = false;
  absl::Time m_poolsLoggedAt = absl::InfinitePast();
  bool m_hasWaveProgress = false;
  bool m_hasMachineOrders = false;
  /** Time of this owner's last order for a machine. The store has only the
   * names of the machines. */
  std::map<std::string, absl::Time> m_recentOrders;
  /** The names of m_recentOrders as they were last stored. */
  std::string m_recentOrdersText;
  /** Machines for which the previous owner may have sent orders that this
   * one's lists do not show yet, and the time until which it waits for them. */
  std::set<std::string> m_earlierOrders;
  absl::Time m_earlierOrdersEndAt = absl::InfinitePast();
  /** Tokens of the order rate limit; refilled over time. */
  double m_orderTokens = 0;
  absl::Time m_tokensRefilledAt = absl::InfinitePast();
  std::map<std::int64_t, WaveState> m_waves;
  /** Stored progress of a wave in one shard. */
  struct WaveProgress
  {
    std::set<std::string> m_handled;
    bool m_isCompleted = false;
  };
  /** Stored progress of the waves in all shards, by key. */
  std::map<std::string, WaveProgress> m_waveProgress;
  OrderMap m_orders;
  /** Time since which a machine has had no task. */
  std::map<std::string, absl::Time> m_idleSince;
  /**
   * No order for a machine before this time, after a refused one or one of a
   * previous owner.
   */
  std::map<std::string, absl::Time> m_blockedUntil;
  /** No order at all before this time, after the platform was unreachable. */
  absl::Time m_allBlockedUntil = absl::InfinitePast();
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
  std::unique_ptr<StoreMirror> m_waveMirror;
};

}
