#include "fleet/fleet_view.h"

#include "core/clock.h"
#include "core/error.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace bramleystall {

namespace {

/** Tolerance for rounding errors, so that 0.9 x 10 is not rounded up to 10. */
constexpr double kRoundingTolerance = 1e-9;

bool
IsMember(const VmView& aVm)
{
  switch (aVm.m_record.m_state) {
    case VmState::SetAside:
    case VmState::Gone:
      return false;
    case VmState::Ready:
      return aVm.m_health != VmHealth::Failed && !aVm.m_isUnobserved;
    default:
      return true;
  }
}

}

FleetView::FleetView(const FleetSnapshot& aSnapshot,
                     PlannerMemory& aMemory,
                     FleetPlan& aPlan)
  : m_snapshot(aSnapshot)
  , m_memory(aMemory)
  , m_plan(aPlan)
{
  if (!aSnapshot.m_configuration || !aSnapshot.m_lifecycle) {
    throw Error(ErrorCode::InvalidInput,
                "planner: the snapshot has no configuration or no state chart");
  }
  m_memory.m_firstPlanTime = std::min(m_memory.m_firstPlanTime, Now());
  m_hasVmList = aSnapshot.m_vmList && !aSnapshot.m_vmList->empty();
  if (m_hasVmList) {
    for (const VmListing& listing : *aSnapshot.m_vmList) {
      m_listings.emplace(listing.m_name, &listing);
    }
  }
  LoadBudgets();
  LoadVms();
}

void
FleetView::LoadBudgets()
{
  m_budgets[Spec().m_sparePool] = CapacityBudget(Spec().m_spareWorkers, 0, 0);
  for (const ServiceSpec& service : m_snapshot.m_configuration->m_services) {
    if (!service.OwnsPool()) {
      continue;
    }
    const double exact = service.m_availabilityBudget * service.m_poolWorkers;
    const int promised =
      static_cast<int>(std::ceil(exact - kRoundingTolerance));
    m_budgets[service.m_pool] =
      CapacityBudget(service.m_poolWorkers, promised, service.m_weight);
  }
}

void
FleetView::LoadVms()
{
  for (const auto& [dataCentre, document] : m_snapshot.m_documents) {
    m_memory.m_knownDataCentres.insert(dataCentre);
    for (const auto& [name, record] : document.m_vms) {
      VmView vm;
      vm.m_dataCentre = dataCentre;
      vm.m_record = record;
      vm.m_record.m_name = name;
      ApplyObservations(vm);
      const auto inserted = m_vms.emplace(name, std::move(vm));
      if (inserted.second) {
        UpdateBudget(inserted.first->second, 1);
      }
    }
  }
  for (const auto& [pool, budget] : m_budgets) {
    const double exact =
      Spec().m_maxEvictionFraction * budget.m_recordedMembers +
      kRoundingTolerance;
    m_evictionLimits[pool] = std::max(1, static_cast<int>(std::floor(exact)));
  }
  const auto isUnread = [this](const std::string& aDataCentre) {
    return !m_snapshot.m_documents.contains(aDataCentre);
  };
  m_hasUnreadDocuments =
    std::ranges::any_of(m_memory.m_knownDataCentres, isUnread) ||
    std::ranges::any_of(m_listings, [&](const auto& aEntry) {
      return !aEntry.second->m_isEntry && isUnread(aEntry.second->m_dataCentre);
    });
}

void
FleetView::ApplyObservations(VmView& aVm)
{
  aVm.m_domain = FindDomain(aVm);
  const std::string& name = aVm.m_record.m_name;
  const auto observation = m_snapshot.m_observations.find(name);
  if (observation != m_snapshot.m_observations.end()) {
    aVm.m_observation = &observation->second;
  }
  aVm.m_health = ClassifyHealth(aVm.m_observation, Now(), Spec().m_vmGoneAfter);
  if (aVm.m_health == VmHealth::Unknown) {
    const auto since = m_memory.m_unobservedSince.emplace(name, Now()).first;
    aVm.m_isUnobserved = Now() - since->second >= Spec().m_vmGoneAfter;
  } else {
    m_memory.m_unobservedSince.erase(name);
  }
  if (!m_hasVmList) {
    return;
  }
  const auto listing = m_listings.find(name);
  if (listing != m_listings.end()) {
    aVm.m_listing = listing->second;
  }
  if (aVm.m_listing && !aVm.m_listing->m_isLeaving) {
    m_memory.m_unlistedSince.erase(name);
    return;
  }
  const auto since = m_memory.m_unlistedSince.emplace(name, Now()).first;
  aVm.m_isUnlisted = Now() - since->second >= Spec().m_vmGoneAfter;
}

std::int64_t
FleetView::NowMillis() const
{
  return ToMillis(Now());
}

const FleetSpec&
FleetView::Spec() const
{
  return m_snapshot.m_configuration->m_fleet;
}

VmView*
FleetView::Find(const std::string& aVm)
{
  const auto found = m_vms.find(aVm);
  return found == m_vms.end() ? nullptr : &found->second;
}

const CapacityBudget&
FleetView::Budget(const std::string& aPool) const
{
  static const CapacityBudget kNone;
  const auto found = m_budgets.find(aPool);
  return found == m_budgets.end() ? kNone : found->second;
}

bool
FleetView::IsSpare(const std::string& aPool) const
{
  return aPool == Spec().m_sparePool;
}

bool
FleetView::HasSurplus(const std::string& aPool) const
{
  const CapacityBudget& budget = Budget(aPool);
  return budget.m_members > budget.ConfiguredVms();
}

bool
FleetView::IsConfigured(const std::string& aPool) const
{
  return IsSpare(aPool) || m_snapshot.m_configuration->FindPoolOwner(aPool);
}

std::string
FleetView::FindDomain(const VmView& aVm) const
{
  const FailureDomain survive = Spec().m_survive;
  if (survive == FailureDomain::DataCentre) {
    return aVm.m_dataCentre;
  }
  if (survive == FailureDomain::Vm || aVm.m_record.m_rack.empty()) {
    return absl::StrCat(aVm.m_dataCentre, "//", aVm.m_record.m_name);
  }
  return absl::StrCat(aVm.m_dataCentre, "/", aVm.m_record.m_rack);
}

absl::Duration
FleetView::TimeInState(const VmView& aVm) const
{
  return Now() - FromMillis(aVm.m_record.m_sinceMillis);
}

bool
FleetView::IsInService(const VmView& aVm)
{
  return aVm.m_record.m_state == VmState::Ready &&
         aVm.m_health == VmHealth::Healthy;
}

int
FleetView::EvictionLimit(const std::string& aPool) const
{
  const auto limit = m_evictionLimits.find(aPool);
  return limit == m_evictionLimits.end() ? 1 : limit->second;
}

bool
FleetView::HasEvictionRoom(const std::string& aPool) const
{
  const auto taken = m_evictions.find(aPool);
  return taken == m_evictions.end() || taken->second < EvictionLimit(aPool);
}

bool
FleetView::MayEvict(const VmView& aVm) const
{
  if (aVm.m_record.m_state != VmState::Ready ||
      !HasEvictionRoom(aVm.m_record.m_pool)) {
    return false;
  }
  const CapacityBudget& budget = Budget(aVm.m_record.m_pool);
  return budget.Promised() == 0 || budget.CanRelease(aVm.m_domain);
}

void
FleetView::UpdateBudget(const VmView& aVm, int aSign)
{
  const VmRecord& record = aVm.m_record;
  const bool isMoving =
    !record.m_targetPool.empty() &&
    (record.m_state == VmState::Draining || record.m_state == VmState::Drained);
  CapacityBudget& budget =
    m_budgets[isMoving ? record.m_targetPool : record.m_pool];
  if (isMoving) {
    budget.m_incoming += aSign;
  }
  if (IsMember(aVm)) {
    budget.m_members += aSign;
    budget.AddPlaced(aVm.m_domain, aSign);
  }
  if (IsMember(aVm) || record.m_state == VmState::Ready) {
    budget.m_recordedMembers += aSign;
  }
  if (record.m_state == VmState::Ready && IsMember(aVm)) {
    budget.m_presumedReady += aSign;
  }
  if (IsInService(aVm)) {
    budget.AddReady(aVm.m_domain, aSign);
  }
}

Decision
FleetView::Describe(const VmView& aVm,
                    PlanReason aReason,
                    const std::string& aExplanation) const
{
  const CapacityBudget& budget = Budget(aVm.m_record.m_pool);
  Decision decision;
  decision.m_timeMillis = NowMillis();
  decision.m_dataCentre = aVm.m_dataCentre;
  decision.m_vm = aVm.m_record.m_name;
  decision.m_from = decision.m_to = aVm.m_record.m_state;
  decision.m_poolBefore = decision.m_poolAfter = aVm.m_record.m_pool;
  decision.m_reason = aReason;
  decision.m_explanation = aExplanation;
  decision.m_ready = budget.Ready();
  decision.m_promised = budget.Promised();
  decision.m_margin = budget.Margin();
  decision.m_wave = aVm.m_record.m_wave;
  return decision;
}

bool
FleetView::Apply(VmView& aVm,
                 const std::string& aEvent,
                 PlanReason aReason,
                 const std::string& aExplanation,
                 const RecordEdit& aEdit)
{
  VmRecord& record = aVm.m_record;
  const std::string from(NameOf(kVmStateNames, record.m_state));
  const auto next = m_snapshot.m_lifecycle->Next(from, aEvent);
  const auto state = next ? ValueOf(kVmStateNames, *next) : std::nullopt;
  if (!state) {
    return false;
  }
  Decision decision = Describe(aVm, aReason, aExplanation);
  const bool isEviction = record.m_state == VmState::Ready &&
                          *state != VmState::Ready && *state != VmState::Gone;
  if (isEviction) {
    ++m_evictions[record.m_pool];
  }
  UpdateBudget(aVm, -1);
  record.m_state = *state;
  record.m_sinceMillis = NowMillis();
  record.m_reason = NameOf(kPlanReasonNames, aReason);
  if (aEdit) {
    aEdit(record);
  }
  UpdateBudget(aVm, 1);
  decision.m_event = aEvent;
  decision.m_to = *state;
  decision.m_poolAfter = record.m_pool;
  if (decision.m_wave.empty()) {
    decision.m_wave = record.m_wave;
  }
  m_plan.m_decisions.push_back(std::move(decision));
  m_changedDataCentres.insert(aVm.m_dataCentre);
  return true;
}

void
FleetView::UpdateRecord(VmView& aVm,
                        PlanReason aReason,
                        const std::string& aExplanation,
                        const RecordEdit& aEdit)
{
  m_plan.m_decisions.push_back(Describe(aVm, aReason, aExplanation));
  UpdateBudget(aVm, -1);
  aVm.m_record.m_reason = NameOf(kPlanReasonNames, aReason);
  if (aEdit) {
    aEdit(aVm.m_record);
  }
  UpdateBudget(aVm, 1);
  m_changedDataCentres.insert(aVm.m_dataCentre);
}

void
FleetView::Adopt(const VmListing& aListing, const std::string& aPool)
{
  VmView vm;
  vm.m_dataCentre = aListing.m_dataCentre;
  vm.m_record.m_name = aListing.m_name;
  vm.m_record.m_address = aListing.m_address;
  vm.m_record.m_rack = aListing.m_rack;
  vm.m_record.m_pool = aPool;
  vm.m_record.m_sinceMillis = NowMillis();
  vm.m_record.m_reason = NameOf(kPlanReasonNames, PlanReason::Adopted);
  ApplyObservations(vm);
  VmView& added = m_vms.emplace(aListing.m_name, std::move(vm)).first->second;
  m_plan.m_decisions.push_back(Describe(
    added,
    PlanReason::Adopted,
    absl::StrCat("the list shows a VM that no document has; it joins pool '",
                 aPool,
                 "'")));
  UpdateBudget(added, 1);
  m_changedDataCentres.insert(aListing.m_dataCentre);
}

void
FleetView::RemoveRecord(const std::string& aVm)
{
  const auto found = m_vms.find(aVm);
  if (found == m_vms.end()) {
    return;
  }
  UpdateBudget(found->second, -1);
  m_changedDataCentres.insert(found->second.m_dataCentre);
  m_memory.m_unlistedSince.erase(aVm);
  m_memory.m_unobservedSince.erase(aVm);
  m_vms.erase(found);
}

bool
FleetView::Drain(VmView& aVm,
                 const std::string& aTargetPool,
                 const std::string& aWave,
                 PlanReason aReason,
                 const std::string& aExplanation)
{
  const std::uint64_t revision =
    m_snapshot.m_documents.at(aVm.m_dataCentre).m_revision + 1;
  return Apply(aVm, "drain", aReason, aExplanation, [&](VmRecord& aRecord) {
    aRecord.m_targetPool = aTargetPool;
    aRecord.m_wave = aWave;
    aRecord.m_drainRevision = revision;
  });
}

void
FleetView::CopyChangedDocuments()
{
  for (const std::string& dataCentre : m_changedDataCentres) {
    const FleetDocument& before = m_snapshot.m_documents.at(dataCentre);
    FleetDocument& document = m_plan.m_changedDocuments[dataCentre];
    document.m_dataCentre = before.m_dataCentre;
    document.m_revision = before.m_revision;
    document.m_term = before.m_term;
    document.m_writerToken = before.m_writerToken;
  }
  for (const auto& [name, vm] : m_vms) {
    if (m_changedDataCentres.contains(vm.m_dataCentre)) {
      m_plan.m_changedDocuments[vm.m_dataCentre].m_vms[name] = vm.m_record;
    }
  }
}

}
