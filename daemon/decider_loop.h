#pragma once

#include "cluster/cluster_node.h"
#include "cluster/decider_lease.h"
#include "cluster/fenced_writer.h"
#include "consul/platform_store.h"
#include "consul/vm_control.h"
#include "consul/vm_list.h"
#include "core/configuration.h"
#include "core/metrics.h"
#include "core/state_chart.h"
#include "daemon/fleet_state.h"
#include "fleet/fleet_plan.h"
#include "fleet/fleet_snapshot.h"
#include "fleet/planner_memory.h"

#include <absl/time/time.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace bramleystall {

/** Interval between plans. A drain or reboot takes seconds, so 500 ms adds
 * little to it. */
inline constexpr absl::Duration kPlanInterval = absl::Milliseconds(500);

/** Maximum age of the documents. They are then read again, even when the
 * decider, their only writer, has not changed them. */
inline constexpr absl::Duration kMaxStateAge = absl::Minutes(1);

/** Maximum age of the VM list while VMs change their state, and while none
 * does. The list is the largest response that is read, about 200 bytes per VM.
 */
inline constexpr absl::Duration kChangingVmListInterval = absl::Seconds(1);
inline constexpr absl::Duration kStableVmListInterval = absl::Seconds(30);

/** A reboot request is repeated at this interval until the VM has returned. */
inline constexpr absl::Duration kRebootRetryInterval = absl::Seconds(10);

struct DeciderHooks
{
  std::function<std::vector<MemberView>()> m_members;
  std::function<std::shared_ptr<const Configuration>()> m_configuration;
  /** Requests in flight and queued by pool. */
  std::function<std::map<std::string, int>()> m_poolDemand;
  /** Newest order document that the watch has returned; nothing before the
   * first. */
  std::function<std::optional<StoreValue>()> m_orders;
};

/** Interfaces of the platform for the decider; all must outlive the loop. */
struct DeciderPlatform
{
  PlatformStore& m_store;
  VmList& m_vmList;
  VmControl& m_vmControl;
};

/**
 * Holds or waits for the decider lease, and plans while it holds the lease.
 * Each plan is committed in one fenced transaction; after a conflict the
 * documents are read again for the next plan.
 */
class DeciderLoop
{
public:
  DeciderLoop(DeciderPlatform aPlatform,
              DeciderLease& aLease,
              std::shared_ptr<const StateChart> aLifecycle,
              DeciderHooks aHooks,
              Metrics& aMetrics);
  ~DeciderLoop();
  DeciderLoop(const DeciderLoop&) = delete;
  DeciderLoop& operator=(const DeciderLoop&) = delete;

  void Start();
  /** Stops the thread and releases the lease. */
  void Stop();

  /** Reports of the last plan; empty while this daemon is not the decider. */
  std::vector<PoolReport> Pools() const;

private:
  void Run(const std::stop_token& aStop);
  void PlanOnce();
  FleetState ReadState(const std::vector<MemberView>& aMembers);
  /** Documents as last read; reads them again when they may have changed. */
  const FleetState& CurrentState(const std::vector<MemberView>& aMembers);
  void RefreshVmList();
  /** Data centres of the members and of the VM list. */
  std::set<std::string> DataCentres(
    const std::vector<MemberView>& aMembers) const;
  /** Discards all state that another decider may have changed. */
  void DiscardState();
  void ReadDocument(const std::string& aDataCentre, FleetState& aState);
  FleetSnapshot MakeSnapshot(const FleetState& aState,
                             const std::vector<MemberView>& aMembers) const;
  bool Commit(const FleetState& aState, const FleetPlan& aPlan);
  void RequestReboots(const FleetPlan& aPlan);
  void PublishPools(std::vector<PoolReport> aPools);

  DeciderPlatform m_platform;
  DeciderLease& m_lease;
  std::shared_ptr<const StateChart> m_lifecycle;
  DeciderHooks m_hooks;
  Metrics& m_metrics;
  FencedWriter m_writer;
  PlannerMemory m_memory;
  std::optional<FleetState> m_state;
  absl::Time m_stateReadAt = absl::InfinitePast();
  std::optional<std::vector<VmListing>> m_vmList;
  absl::Time m_vmListReadAt = absl::InfinitePast();
  /** Whether VMs changed or were changing at the last plan. */
  bool m_isFleetChanging = true;
  /** Monotonic time of the last reboot request, by reboot token. */
  std::map<std::string, absl::Time> m_rebootRequestTimes;
  mutable std::mutex m_mutex;
  std::vector<PoolReport> m_pools;
  std::jthread m_thread;
};

}
