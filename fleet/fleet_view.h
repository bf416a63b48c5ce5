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

/** One VM of the working copy. */
struct VmView
{
  std::string m_dataCentre;
  VmRecord m_record;
  VmHealth m_health = VmHealth::Unknown;
  /** No usable observation for longer than the configured time. */
  bool m_isUnobserved = false;
  /** The list has lacked the VM for longer than the configured time. */
  bool m_isUnlisted = false;
  const VmObservation* m_observation = nullptr;
  const VmListing* m_listing = nullptr;
  /** Failure domain; a VM without a rack is its own domain. */
  std::string m_domain;
};

/**
 * Working copy of the fleet during one plan. Every change goes through Apply,
 * Adopt or UpdateRecord, which keep the budgets and the recorded decisions up
 * to date.
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
  /** VM with this name, or null. */
  VmView* Find(const std::string& aVm);
  const std::map<std::string, CapacityBudget>& Budgets() const
  {
    return m_budgets;
  }
  /** Budget of a pool; an empty one for an unknown pool. */
  const CapacityBudget& Budget(const std::string& aPool) const;
  /** Whether the configuration names the pool. */
  bool IsConfigured(const std::string& aPool) const;
  bool IsSpare(const std::string& aPool) const;
  /** Whether more VMs belong to the pool than the configuration gives it. */
  bool HasSurplus(const std::string& aPool) const;
  /** Whether a document of a known data centre could not be read. */
  bool HasUnreadDocuments() const { return m_hasUnreadDocuments; }
  /** Whether the list was read and is not empty. */
  bool HasVmList() const { return m_hasVmList; }
  /** Time since the last change of state. */
  absl::Duration TimeInState(const VmView& aVm) const;
  /** Whether the VM is in service: in state ready and healthy. */
  static bool IsInService(const VmView& aVm);

  /** Whether a ready VM may leave: budget and eviction limit. */
  bool MayEvict(const VmView& aVm) const;
  /** Whether the eviction limit leaves room for one more VM of the pool. */
  bool HasEvictionRoom(const std::string& aPool) const;
  /** VMs of a pool that one decision may take out of service. */
  int EvictionLimit(const std::string& aPool) const;

  /** Makes a transition; false when the chart does not allow it. */
  bool Apply(VmView& aVm,
             const std::string& aEvent,
             PlanReason aReason,
             const std::string& aExplanation,
             const RecordEdit& aEdit = nullptr);
  /** Changes a record without a transition. */
  void UpdateRecord(VmView& aVm,
                    PlanReason aReason,
                    const std::string& aExplanation,
                    const RecordEdit& aEdit);
  void Adopt(const VmListing& aListing, const std::string& aPool);
  /** Removes the record of a VM that is gone. */
  void RemoveRecord(const std::string& aVm);
  /** Starts a drain, towards a pool or for maintenance when it is empty. */
  bool Drain(VmView& aVm,
             const std::string& aTargetPool,
             const std::string& aWave,
             PlanReason aReason,
             const std::string& aExplanation);

  /** Copies the changed documents to the plan. */
  void CopyChangedDocuments();

private:
  void LoadBudgets();
  void LoadVms();
  void ApplyObservations(VmView& aVm);
  std::string FindDomain(const VmView& aVm) const;
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
  std::map<std::string, int> m_evictions;
  /** From the sizes before the plan, so that adoptions do not raise it. */
  std::map<std::string, int> m_evictionLimits;
  bool m_hasUnreadDocuments = false;
  bool m_hasVmList = false;
};

}
