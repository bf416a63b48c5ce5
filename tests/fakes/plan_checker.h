#pragma once

#include "fleet/planner.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

namespace bramleystall {

/**
 * Checks a plan against the guarantees. The calculations are independent of the
 * planner and share no code with it.
 *
 * The availability budget is checked for the planner's own decisions only: a
 * decision that takes a healthy ready VM out of service must leave at least
 * the promised number of ready VMs after the loss of the largest failure
 * domain. Failures may reduce the ready VMs further; they are not decisions.
 */
class PlanChecker
{
public:
  /** Returns the first violation of a plan, or an empty text. */
  std::string Check(const FleetSnapshot& aSnapshot, const FleetPlan& aPlan)
  {
    m_snapshot = &aSnapshot;
    m_violation.clear();
    LoadRecords();
    const std::map<std::string, int> sizes = PoolSizes();
    std::map<std::string, int> evictions;
    for (const Decision& decision : aPlan.m_decisions) {
      CheckDecision(decision, evictions);
    }
    const double fraction = Spec().m_maxEvictionFraction;
    for (const auto& [pool, count] : evictions) {
      const auto size = sizes.find(pool);
      const double members = size == sizes.end() ? 0 : size->second;
      if (count > std::max(1.0, std::floor(fraction * members + 1e-9))) {
        Report(absl::StrCat("eviction limit: ", count, " VMs of ", pool));
      }
    }
    CheckDocuments(aPlan);
    return m_violation;
  }

private:
  struct Entry
  {
    std::string m_dataCentre;
    VmRecord m_record;
  };

  const FleetSpec& Spec() const { return m_snapshot->m_configuration->m_fleet; }

  void Report(const std::string& aViolation)
  {
    if (m_violation.empty()) {
      m_violation = aViolation;
    }
  }

  void LoadRecords()
  {
    m_vms.clear();
    for (const auto& [dataCentre, document] : m_snapshot->m_documents) {
      for (const auto& [name, record] : document.m_vms) {
        if (!m_vms.emplace(name, Entry{ dataCentre, record }).second) {
          Report(
            absl::StrCat("one pool per VM: ", name, " is in two documents"));
        }
      }
    }
  }

  bool IsHealthy(const std::string& aVm) const
  {
    const auto found = m_snapshot->m_observations.find(aVm);
    return found != m_snapshot->m_observations.end() &&
           found->second.m_isHealthy &&
           found->second.m_lastHealthy <= m_snapshot->m_now + absl::Seconds(5);
  }

  int Promised(const std::string& aPool) const
  {
    const ServiceSpec* const owner =
      m_snapshot->m_configuration->FindPoolOwner(aPool);
    return owner ? static_cast<int>(std::ceil(
                     owner->m_availabilityBudget * owner->m_poolWorkers - 1e-9))
                 : 0;
  }

  std::string Domain(const std::string& aVm, const Entry& aEntry) const
  {
    switch (Spec().m_survive) {
      case FailureDomain::Vm:
        return aVm;
      case FailureDomain::Rack:
        return absl::StrCat(aEntry.m_dataCentre, "|", aEntry.m_record.m_rack);
      case FailureDomain::DataCentre:
        return aEntry.m_dataCentre;
    }
    return "";
  }

  std::map<std::string, int> PoolSizes() const
  {
    std::map<std::string, int> sizes;
    for (const auto& [name, entry] : m_vms) {
      const VmRecord& record = entry.m_record;
      if (record.m_state != VmState::Gone) {
        ++sizes[record.m_pool];
      }
      if (!record.m_targetPool.empty()) {
        ++sizes[record.m_targetPool];
      }
    }
    return sizes;
  }

  void CheckBudget(const std::string& aPool, const std::string& aVm)
  {
    int ready = 0;
    std::map<std::string, int> domains;
    for (const auto& [name, entry] : m_vms) {
      if (entry.m_record.m_pool == aPool &&
          entry.m_record.m_state == VmState::Ready && IsHealthy(name)) {
        ++ready;
        ++domains[Domain(name, entry)];
      }
    }
    int margin = 0;
    for (const auto& [domain, count] : domains) {
      margin = std::max(margin, count);
    }
    const int promised = Promised(aPool);
    if (promised > 0 && ready - margin < promised) {
      Report(absl::StrCat("budget: the drain of ",
                          aVm,
                          " leaves ",
                          ready,
                          " ready VMs in ",
                          aPool,
                          ", margin ",
                          margin,
                          ", promised ",
                          promised));
    }
  }

  void CheckVanished(const std::string& aVm)
  {
    const auto& list = m_snapshot->m_vmList;
    if (!list || list->empty()) {
      Report(absl::StrCat("eviction: ", aVm, " vanished without a list"));
      return;
    }
    const auto found = std::ranges::find(*list, aVm, &VmListing::m_name);
    if ((found != list->end() && !found->m_isLeaving) || IsHealthy(aVm) ||
        !m_snapshot->m_observations.contains(aVm)) {
      Report(absl::StrCat("eviction: ", aVm, " vanished but may be live"));
    }
  }

  void CheckDecision(const Decision& aDecision,
                     std::map<std::string, int>& aEvictions)
  {
    const std::string& name = aDecision.m_vm;
    if (aDecision.m_event.empty()) {
      if (aDecision.m_reason == PlanReason::Adopted) {
        Entry added;
        added.m_dataCentre = aDecision.m_dataCentre;
        added.m_record.m_state = VmState::Joining;
        added.m_record.m_pool = aDecision.m_poolAfter;
        if (!m_vms.emplace(name, added).second) {
          Report(absl::StrCat("one pool per VM: ", name, " is adopted twice"));
        }
      }
      return;
    }
    const auto found = m_vms.find(name);
    if (found == m_vms.end()) {
      Report(absl::StrCat("chart: ", name, " is not in a document"));
      return;
    }
    VmRecord& record = found->second.m_record;
    const auto next = m_snapshot->m_lifecycle->Next(
      std::string(NameOf(kVmStateNames, record.m_state)), aDecision.m_event);
    if (record.m_state != aDecision.m_from || !next ||
        *next != NameOf(kVmStateNames, aDecision.m_to)) {
      Report(absl::StrCat("chart: ", name, " ", aDecision.m_event));
      return;
    }
    const std::string pool = record.m_pool;
    const bool wasReady = record.m_state == VmState::Ready;
    if (aDecision.m_poolAfter != pool && aDecision.m_event != "reassign") {
      Report(absl::StrCat("one pool per VM: ", name, " changes without drain"));
    }
    record.m_state = aDecision.m_to;
    record.m_pool = aDecision.m_poolAfter;
    if (aDecision.m_event == "vanished") {
      CheckVanished(name);
    } else if (wasReady) {
      ++aEvictions[pool];
      if (IsHealthy(name)) {
        CheckBudget(pool, name);
      }
      if (IsHealthy(name) && aDecision.m_event == "set_aside") {
        Report(absl::StrCat("eviction: healthy ", name, " is set aside"));
      }
    }
  }

  void CheckDocuments(const FleetPlan& aPlan)
  {
    std::map<std::string, std::string> seen;
    for (const auto& [dataCentre, before] : m_snapshot->m_documents) {
      const auto changed = aPlan.m_changedDocuments.find(dataCentre);
      const FleetDocument& after =
        changed == aPlan.m_changedDocuments.end() ? before : changed->second;
      for (const auto& [name, record] : after.m_vms) {
        const auto found = m_vms.find(name);
        if (found == m_vms.end() ||
            found->second.m_record.m_state != record.m_state ||
            found->second.m_record.m_pool != record.m_pool ||
            !seen.emplace(name, dataCentre).second) {
          Report(absl::StrCat("record: ", name, " differs from the decisions"));
        }
      }
      for (const auto& [name, record] : before.m_vms) {
        if (!after.m_vms.contains(name) && record.m_state != VmState::Gone) {
          Report(absl::StrCat("record: ", name, " is lost"));
        }
      }
    }
    for (const auto& [dataCentre, document] : aPlan.m_changedDocuments) {
      if (!m_snapshot->m_documents.contains(dataCentre)) {
        Report(absl::StrCat("record: ", dataCentre, " was not read"));
      }
    }
  }

  const FleetSnapshot* m_snapshot = nullptr;
  std::map<std::string, Entry> m_vms;
  std::string m_violation;
};

}
