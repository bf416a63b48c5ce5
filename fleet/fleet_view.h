#pragma once

#include "fleet/capacity_budget.h"
#include "fleet/fleet_plan.h"
#include "fleet/fleet_snapshot.h"
#include "fleet/planner_memory.h"
#include "fleet/vm_health.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace bramleystall {

/** Record of one VM in the working copy, with its current observations. */
struct VmView
{
  std::string m_dataCentre;
  VmRecord m_record;
  VmHealth m_health = VmHealth::Unknown;
  /** Whether its health has been unknown for `vm_gone_after_ms`. */
  bool m_isUnobserved = false;
  /** Whether the VM has been missing from the VM list, or listed as leaving,
   * for `vm_gone_after_ms`. */
  bool m_isUnlisted = false;
  const VmObservation* m_observation = nullptr;
  const VmListing* m_listing = nullptr;
  /** Failure domain: a data centre, a rack or a single VM, as configured. A VM
   * without a rack is a domain of its own. */
  std::string m_domain;
};

/**
 * Working copy of the fleet during one plan. Every change goes through Apply,
 * UpdateRecord, Adopt, Drain or RemoveRecord, which keep the budgets up to
 * date. All but RemoveRecord also add a decision to the plan.
 */
class FleetView
{
public:
  using RecordEdit = std::function<void(VmRecord&)>;

  FleetView(const FleetSnapshot& aSnapshot,
            PlannerMemory& aMemory,
            FleetPlan& aPlan);

  absl::Time Now() const { return m_snapshot.m_now; }
  std::int64_t NowMillis() const;
  const FleetSpec& Spec() const;
  const FleetSnapshot& Snapshot() const { return m_snapshot; }
  PlannerMemory& Memory() { return m_memory; }
  FleetPlan& Plan() { return m_plan; }
  std::map<std::string, VmView>& Vms() { return m_vms; }
  /** Returns the VM with this name, or null. */
  VmView* Find(const std::string& aVm);
  const std::map<std::string, CapacityBudget>& Budgets() const
  {
    return m_budgets;
  }
  /** Budget of a pool; all zero for an unknown pool. */
  const CapacityBudget& Budget(const std::string& aPool) const;
  /** Whether this is the spare pool or the pool of a configured service. */
  bool IsConfigured(const std::string& aPool) const;
  bool IsSpare(const std::string& aPool) const;
  /** Whether the pool has more members than configured. */
  bool HasSurplus(const std::string& aPool) const;
  /** Whether the fleet document of a known data centre could not be read. */
  bool HasUnreadDocuments() const { return m_hasUnreadDocuments; }
  /** Whether the VM list was read and is not empty. */
  bool HasVmList() const { return m_hasVmList; }
  absl::Duration TimeInState(const VmView& aVm) const;
  /** Whether the VM is in state ready and healthy. */
  static bool IsInService(const VmView& aVm);

  /**
   * Whether a ready VM may be taken out of service: its pool stays protected or
   * promises nothing, and has not reached its eviction limit.
   */
  bool MayEvict(const VmView& aVm) const;
  /** Whether this plan may take one more VM of the pool out of service. */
  bool HasEvictionRoom(const std::string& aPool) const;
  /** Number of VMs of a pool that one plan may take out of service. */
  int EvictionLimit(const std::string& aPool) const;

  /**
   * Makes a transition and then applies the edit. Returns false, without any
   * change, if the state chart does not allow the event in this state.
   */
  bool Apply(VmView& aVm,
             const std::string& aEvent,
             PlanReason aReason,
             const std::string& aExplanation,
             const RecordEdit& aEdit = nullptr);
  /** Sets the reason of a record and applies the edit, without a transition. */
  void UpdateRecord(VmView& aVm,
                    PlanReason aReason,
                    const std::string& aExplanation,
                    const RecordEdit& aEdit);
  /** Adds a record, in the initial state, for a VM of the VM list. */
  void Adopt(const VmListing& aListing, const std::string& aPool);
  void RemoveRecord(const std::string& aVm);
  /**
   * Starts to drain a VM, in order to move it to the target pool, or for
   * maintenance if the target pool is empty. Returns as Apply.
   */
  bool Drain(VmView& aVm,
             const std::string& aTargetPool,
             const std::string& aWave,
             PlanReason aReason,
             const std::string& aExplanation);

  /** Copies the documents with changed records to the plan. */
  void CopyChangedDocuments();

private:
  void LoadBudgets();
  void LoadVms();
  void ApplyObservations(VmView& aVm);
  std::string FindDomain(const VmView& aVm) const;
  /** Adds a VM to the budget of its pool (sign 1) or removes it (sign -1). */
  void UpdateBudget(const VmView& aVm, int aSign);
  Decision Describe(const VmView& aVm,
                    PlanReason aReason,
                    const std::string& aExplanation) const;

  const FleetSnapshot& m_snapshot;
  PlannerMemory& m_memory;
  FleetPlan& m_plan;
  std::map<std::string, VmView> m_vms;
  std::map<std::string, CapacityBudget> m_budgets;
  std::map<std::string, const VmListing*> m_listings;
  std::set<std::string> m_changedDataCentres;
  /** Number of VMs that this plan has taken out of service, by pool. */
  std::map<std::string, int> m_evictions;
  /** By pool; computed from the sizes before the plan, so that VMs adopted in
   * this plan do not raise the limit. */
  std::map<std::string, int> m_evictionLimits;
  bool m_hasUnreadDocuments = false;
  bool m_hasVmList = false;
};

}
