#pragma once

#include "core/clock.h"
#include "fleet/planner.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

namespace bramleystall {

/**
 * Naive planner, as baseline of measurements and for differential tests. It
 * trusts each single observation, maintains one VM at a time, keeps only the
 * promised number of VMs ready without a margin, takes the first spare that it
 * finds, and returns a surplus at once.
 */
class NaivePlanner
{
public:
  FleetPlan operator()(const FleetSnapshot& aSnapshot, PlannerMemory&)
  {
    m_snapshot = &aSnapshot;
    m_plan = FleetPlan();
    m_documents = aSnapshot.m_documents;
    m_orders = aSnapshot.m_orders;
    ForEach([this](VmRecord& aVm) { Advance(aVm); });
    Replace();
    for (Order& order : m_orders.m_orders) {
      if (order.IsOpen()) {
        Advance(order);
      }
    }
    ReturnSurplus();
    ForEach([this](VmRecord& aVm) {
      if (aVm.m_state == VmState::Rebooting) {
        m_plan.m_reboots.emplace_back(aVm.m_name, aVm.m_rebootToken);
      }
    });
    m_plan.m_changedDocuments = m_documents;
    m_plan.m_changedOrders = m_orders;
    return m_plan;
  }

private:
  template<typename Function>
  void ForEach(Function aFunction)
  {
    for (auto& [dataCentre, document] : m_documents) {
      m_dataCentre = dataCentre;
      for (auto& [name, vm] : document.m_vms) {
        aFunction(vm);
      }
    }
  }

  const Configuration& Config() const { return *m_snapshot->m_configuration; }
  const std::string& SparePool() const { return Config().m_fleet.m_sparePool; }

  bool IsHealthy(const VmRecord& aVm) const
  {
    const auto found = m_snapshot->m_observations.find(aVm.m_name);
    return found != m_snapshot->m_observations.end() &&
           found->second.m_isHealthy;
  }

  int Count(const std::function<bool(const VmRecord&)>& aPredicate)
  {
    int count = 0;
    ForEach([&](const VmRecord& aVm) { count += aPredicate(aVm) ? 1 : 0; });
    return count;
  }

  int Ready(const std::string& aPool)
  {
    return Count([&](const VmRecord& aVm) {
      return aVm.m_pool == aPool && aVm.m_state == VmState::Ready;
    });
  }

  int Members(const std::string& aPool)
  {
    return Count([&](const VmRecord& aVm) {
      const std::string& pool =
        aVm.m_targetPool.empty() ? aVm.m_pool : aVm.m_targetPool;
      return pool == aPool && aVm.m_state != VmState::SetAside &&
             aVm.m_state != VmState::Gone;
    });
  }

  int Promised(const std::string& aPool) const
  {
    const ServiceSpec* const owner = Config().FindPoolOwner(aPool);
    return owner ? static_cast<int>(std::ceil(
                     owner->m_availabilityBudget * owner->m_poolWorkers - 1e-9))
                 : 0;
  }

  void Apply(VmRecord& aVm,
             const std::string& aEvent,
             PlanReason aReason,
             const std::string& aPoolAfter = "")
  {
    const auto next = m_snapshot->m_lifecycle->Next(
      std::string(NameOf(kVmStateNames, aVm.m_state)), aEvent);
    if (!next) {
      return;
    }
    Decision decision;
    decision.m_dataCentre = m_dataCentre;
    decision.m_vm = aVm.m_name;
    decision.m_event = aEvent;
    decision.m_from = aVm.m_state;
    decision.m_to = *ValueOf(kVmStateNames, *next);
    decision.m_poolBefore = aVm.m_pool;
    decision.m_poolAfter = aPoolAfter.empty() ? aVm.m_pool : aPoolAfter;
    decision.m_reason = aReason;
    aVm.m_state = decision.m_to;
    aVm.m_pool = decision.m_poolAfter;
    aVm.m_sinceMillis = ToMillis(m_snapshot->m_now);
    aVm.m_reason = NameOf(kPlanReasonNames, aReason);
    m_plan.m_decisions.push_back(decision);
  }

  void Advance(VmRecord& aVm)
  {
    const bool isHealthy = IsHealthy(aVm);
    switch (aVm.m_state) {
      case VmState::Joining:
        return isHealthy ? Apply(aVm, "probe_passed", PlanReason::ProbePassed)
                         : void();
      case VmState::Ready:
        return isHealthy ? void()
                         : Apply(aVm, "set_aside", PlanReason::HealthFailed);
      case VmState::Draining:
        return m_snapshot->m_acknowledgedDrains.contains(aVm.m_name)
                 ? Apply(aVm, "acknowledged", PlanReason::DrainAcknowledged)
                 : void();
      case VmState::Drained:
        return AdvanceDrained(aVm);
      case VmState::Rebooting:
        return AdvanceRebooting(aVm, isHealthy);
      case VmState::Probation:
        return AdvanceProbation(aVm, isHealthy);
      case VmState::SetAside:
        return isHealthy ? Apply(aVm, "restore", PlanReason::AutomaticRestore)
                         : void();
      case VmState::Gone:
        return;
    }
  }

  void AdvanceDrained(VmRecord& aVm)
  {
    if (!aVm.m_targetPool.empty()) {
      const std::string target = aVm.m_targetPool;
      aVm.m_targetPool.clear();
      Apply(aVm, "reassign", PlanReason::Reassigned, target);
      return;
    }
    aVm.m_rebootToken =
      absl::StrCat(aVm.m_name, "-", ToMillis(m_snapshot->m_now));
    Apply(aVm, "reboot", PlanReason::RebootRequested);
  }

  void AdvanceRebooting(VmRecord& aVm, bool aIsHealthy)
  {
    const absl::Duration age =
      m_snapshot->m_now - FromMillis(aVm.m_sinceMillis);
    const std::string down(
      NameOf(kPlanReasonNames, PlanReason::RebootObservedDown));
    if (!aIsHealthy) {
      aVm.m_reason = down;
    }
    if (aIsHealthy && aVm.m_reason == down) {
      Apply(aVm, "returned", PlanReason::RebootReturned);
    } else if (age >= Config().m_fleet.m_rebootTimeout) {
      Apply(aVm, "timed_out", PlanReason::RebootTimedOut);
    }
  }

  void AdvanceProbation(VmRecord& aVm, bool aIsHealthy)
  {
    if (!aIsHealthy) {
      Apply(aVm, "probe_failed", PlanReason::ProbationFailed);
      return;
    }
    if (!aVm.m_rebootToken.empty()) {
      aVm.m_maintainedMillis = ToMillis(m_snapshot->m_now);
      aVm.m_rebootToken.clear();
      aVm.m_wave.clear();
    }
    Apply(aVm, "probe_passed", PlanReason::Maintained);
  }

  /** Starts to move the first ready VM of a pool; false if there is none. */
  bool MoveFirst(const std::string& aFrom,
                 const std::string& aTo,
                 PlanReason aReason)
  {
    bool isMoved = false;
    ForEach([&](VmRecord& aVm) {
      if (!isMoved && aVm.m_pool == aFrom && aVm.m_state == VmState::Ready) {
        Apply(aVm, "drain", aReason);
        aVm.m_targetPool = aTo;
        isMoved = true;
      }
    });
    return isMoved;
  }

  void Replace()
  {
    for (const ServiceSpec& service : Config().m_services) {
      while (service.OwnsPool() &&
             Members(service.m_pool) < service.m_poolWorkers &&
             MoveFirst(SparePool(), service.m_pool, PlanReason::ReplaceLost)) {
      }
    }
  }

  void ReturnSurplus()
  {
    for (const ServiceSpec& service : Config().m_services) {
      while (
        service.OwnsPool() && Members(service.m_pool) > service.m_poolWorkers &&
        MoveFirst(service.m_pool, SparePool(), PlanReason::SurplusReturned)) {
      }
    }
  }

  void Advance(Order& aOrder)
  {
    if (aOrder.m_kind != OrderKind::Wave) {
      aOrder.m_state = OrderState::Refused;
      return;
    }
    bool hasWork = false;
    bool hasVmOutOfService = false;
    VmRecord* next = nullptr;
    ForEach([&](VmRecord& aVm) {
      const bool isInScope =
        aOrder.m_pool.empty() || aVm.m_pool == aOrder.m_pool;
      hasVmOutOfService = hasVmOutOfService || !aVm.m_wave.empty();
      if (!isInScope || aVm.m_state != VmState::Ready ||
          aVm.m_maintainedMillis >= aOrder.m_createdMillis) {
        return;
      }
      hasWork = true;
      if (!next && Ready(aVm.m_pool) > Promised(aVm.m_pool)) {
        next = &aVm;
      }
    });
    if (next && !hasVmOutOfService) {
      Drain(*next, aOrder.m_id);
    }
    aOrder.m_state =
      hasWork || hasVmOutOfService ? OrderState::Running : OrderState::Done;
  }

  void Drain(VmRecord& aVm, const std::string& aWave)
  {
    for (const auto& [dataCentre, document] : m_documents) {
      if (document.m_vms.contains(aVm.m_name)) {
        m_dataCentre = dataCentre;
      }
    }
    aVm.m_wave = aWave;
    Apply(aVm, "drain", PlanReason::Maintenance);
  }

  const FleetSnapshot* m_snapshot = nullptr;
  FleetPlan m_plan;
  std::map<std::string, FleetDocument> m_documents;
  OrderDocument m_orders;
  std::string m_dataCentre;
};

}
