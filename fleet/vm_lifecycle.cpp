#include "fleet/vm_lifecycle.h"

#include "fleet/fleet_view.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>
#include <vector>

namespace bramleystall {

namespace {

/** Number of consecutive successful probes that end joining and probation. */
constexpr int kPassingProbes = 3;

/** Number of consecutive successful probes that restore a set-aside VM. */
constexpr int kRestoringProbes = 60;

/** Time for which the record of a VM that is gone is kept for `explain`. */
constexpr absl::Duration kGoneRetention = absl::Minutes(10);

/** Shortest time that a VM stays set aside; it slows down a flapping VM. */
constexpr absl::Duration kMinSetAsideTime = absl::Minutes(1);

bool
HasPassedProbes(const VmView& aVm)
{
  return aVm.m_health == VmHealth::Healthy &&
         aVm.m_observation->m_consecutiveProbeSuccesses >= kPassingProbes;
}

bool
HasReason(const VmView& aVm, PlanReason aReason)
{
  return aVm.m_record.m_reason == NameOf(kPlanReasonNames, aReason);
}

void
ClearMaintenance(VmRecord& aRecord)
{
  aRecord.m_wave.clear();
  aRecord.m_targetPool.clear();
  aRecord.m_rebootToken.clear();
  aRecord.m_drainRevision = 0;
}

/** Whether two independent sources, the VM list and the probes, agree that the
 * VM is gone. */
bool
IsCertainlyGone(const VmView& aVm)
{
  return aVm.m_isUnlisted && aVm.m_health == VmHealth::Failed;
}

void
RecordFailure(FleetView& aView)
{
  aView.Memory().m_failureTimes.push_back(aView.Now());
}

bool
AdvanceGone(FleetView& aView, VmView& aVm)
{
  if (aVm.m_record.m_state == VmState::Gone) {
    return true;
  }
  const bool mayBeRebooting =
    aVm.m_record.m_state == VmState::Rebooting &&
    aView.TimeInState(aVm) < aView.Spec().m_rebootTimeout;
  if (mayBeRebooting || !IsCertainlyGone(aVm)) {
    return false;
  }
  RecordFailure(aView);
  return aView.Apply(aVm,
                     "vanished",
                     PlanReason::Vanished,
                     "the list has lacked the VM and its probes have failed "
                     "for longer than vm_gone_after_s");
}

void
AdvanceJoining(FleetView& aView, VmView& aVm)
{
  if (HasPassedProbes(aVm)) {
    aView.Apply(aVm, "probe_passed", PlanReason::ProbePassed, "probes passed");
    return;
  }
  if (aVm.m_health == VmHealth::Failed &&
      aView.TimeInState(aVm) >= aView.Spec().m_rebootTimeout) {
    aView.Apply(aVm,
                "set_aside",
                PlanReason::JoinTimedOut,
                "the VM never passed its probes after it joined");
  }
}

/**
 * Number of VMs of a pool that are set aside or under repair. The limit on this
 * number bounds how many VMs false observations can remove from the pool over
 * any number of plans.
 */
int
CountSetAside(FleetView& aView, const std::string& aPool)
{
  const auto isSetAside = [](const VmRecord& aVm) {
    const bool isUnderRepair =
      aVm.m_wave.empty() &&
      (aVm.m_state == VmState::Rebooting || aVm.m_state == VmState::Probation);
    return aVm.m_state == VmState::SetAside || isUnderRepair;
  };
  return static_cast<int>(
    std::ranges::count_if(aView.Vms(), [&](const auto& aEntry) {
      const VmRecord& record = aEntry.second.m_record;
      return record.m_pool == aPool && isSetAside(record);
    }));
}

void
AdvanceReady(FleetView& aView, VmView& aVm)
{
  const std::string& pool = aVm.m_record.m_pool;
  const bool hasFailed = aVm.m_health == VmHealth::Failed &&
                         aView.Now() - aVm.m_observation->m_lastHealthy >=
                           aView.Spec().m_vmGoneAfter &&
                         aView.TimeInState(aVm) >= aView.Spec().m_vmGoneAfter;
  if (!hasFailed || !aView.HasEvictionRoom(pool) ||
      CountSetAside(aView, pool) >= aView.EvictionLimit(pool)) {
    return;
  }
  RecordFailure(aView);
  aView.Apply(aVm,
              "set_aside",
              PlanReason::HealthFailed,
              "its probes have failed for longer than vm_gone_after_s");
}

void
AdvanceDraining(FleetView& aView, VmView& aVm)
{
  const std::string& name = aVm.m_record.m_name;
  if (aView.Snapshot().m_acknowledgedDrains.contains(name)) {
    aView.Apply(aVm,
                "acknowledged",
                PlanReason::DrainAcknowledged,
                "every daemon of the data centre has drained the VM");
  }
}

void
FinishMove(FleetView& aView, VmView& aVm)
{
  const std::string target = aVm.m_record.m_targetPool;
  if (aVm.m_health == VmHealth::Failed) {
    RecordFailure(aView);
    aView.Apply(aVm,
                "set_aside",
                PlanReason::HealthFailed,
                "the VM failed its probes before its move ended",
                ClearMaintenance);
    return;
  }
  if (!aView.IsConfigured(target)) {
    aView.Apply(aVm,
                "cancel",
                PlanReason::TargetPoolRemoved,
                absl::StrCat("no service has pool '", target, "' any more"),
                ClearMaintenance);
    return;
  }
  aView.Memory().m_lastMoves[aVm.m_record.m_name] = { aVm.m_record.m_pool,
                                                      aView.Now() };
  aView.Apply(aVm,
              "reassign",
              PlanReason::Reassigned,
              absl::StrCat("drained; it joins pool '", target, "'"),
              [&target](VmRecord& aRecord) {
                ClearMaintenance(aRecord);
                aRecord.m_pool = target;
              });
}

void
AdvanceDrained(FleetView& aView, VmView& aVm)
{
  if (!aVm.m_record.m_targetPool.empty()) {
    FinishMove(aView, aVm);
    return;
  }
  const std::string token =
    absl::StrCat(aVm.m_record.m_name, "-", aView.NowMillis());
  aView.Apply(aVm,
              "reboot",
              PlanReason::RebootRequested,
              "drained; the platform is asked to reboot it",
              [&token](VmRecord& aRecord) { aRecord.m_rebootToken = token; });
}

void
AdvanceRebooting(FleetView& aView, VmView& aVm)
{
  const bool isDown =
    aVm.m_health == VmHealth::Failed ||
    (aVm.m_observation && !aVm.m_observation->m_isHealthy) ||
    (aView.HasVmList() && (!aVm.m_listing || aVm.m_listing->m_isLeaving));
  const bool wasDown = HasReason(aVm, PlanReason::RebootObservedDown);
  if (isDown && !wasDown) {
    aView.UpdateRecord(aVm,
                       PlanReason::RebootObservedDown,
                       "the VM went down for its reboot",
                       nullptr);
  }
  const bool isListed =
    aView.HasVmList() && aVm.m_listing && !aVm.m_listing->m_isLeaving;
  if (wasDown && !isDown && isListed && aVm.m_health == VmHealth::Healthy) {
    aView.Apply(aVm,
                "returned",
                PlanReason::RebootReturned,
                "the VM is live again after its reboot");
    return;
  }
  if (aView.TimeInState(aVm) >= aView.Spec().m_rebootTimeout) {
    RecordFailure(aView);
    aView.Apply(aVm,
                "timed_out",
                PlanReason::RebootTimedOut,
                "the VM did not return from its reboot in time");
  }
}

void
AdvanceProbation(FleetView& aView, VmView& aVm)
{
  if (HasPassedProbes(aVm)) {
    const bool hasRebooted = !aVm.m_record.m_rebootToken.empty();
    const std::int64_t now = aView.NowMillis();
    aView.Apply(aVm,
                "probe_passed",
                hasRebooted ? PlanReason::Maintained : PlanReason::ProbePassed,
                "probes passed after the VM returned",
                [=](VmRecord& aRecord) {
                  if (hasRebooted) {
                    ClearMaintenance(aRecord);
                    aRecord.m_maintainedMillis = now;
                  }
                  // Without a reboot the VM keeps its wave, which has counted
                  // it as failed.
                });
    return;
  }
  const bool isTimeOut = aView.TimeInState(aVm) >= aView.Spec().m_rebootTimeout;
  if (aVm.m_health == VmHealth::Failed || isTimeOut) {
    RecordFailure(aView);
    aView.Apply(aVm,
                "probe_failed",
                PlanReason::ProbationFailed,
                isTimeOut ? "the VM passed no probes in time"
                          : "the VM failed its probes after it returned");
  }
}

void
AdvanceSetAside(FleetView& aView, VmView& aVm)
{
  if (aView.TimeInState(aVm) < kMinSetAsideTime) {
    return;
  }
  if (aVm.m_health == VmHealth::Healthy &&
      aVm.m_observation->m_consecutiveProbeSuccesses >= kRestoringProbes) {
    aView.Apply(aVm,
                "restore",
                PlanReason::AutomaticRestore,
                "its probes have passed again for long enough",
                [](VmRecord& aRecord) { aRecord.m_rebootToken.clear(); });
    return;
  }
  // The token shows that a reboot has been tried. A VM that fails again after
  // it stays set aside until an operator restores it or its probes pass.
  if (aVm.m_health == VmHealth::Failed && aVm.m_record.m_rebootToken.empty()) {
    const std::string token =
      absl::StrCat(aVm.m_record.m_name, "-", aView.NowMillis());
    aView.Apply(aVm,
                "repair",
                PlanReason::AutomaticRepair,
                "a reboot may repair the VM",
                [&token](VmRecord& aRecord) { aRecord.m_rebootToken = token; });
  }
}

void
AdvanceVm(FleetView& aView, VmView& aVm)
{
  if (AdvanceGone(aView, aVm)) {
    return;
  }
  switch (aVm.m_record.m_state) {
    case VmState::Joining:
      return AdvanceJoining(aView, aVm);
    case VmState::Ready:
      return AdvanceReady(aView, aVm);
    case VmState::Draining:
      return AdvanceDraining(aView, aVm);
    case VmState::Drained:
      return AdvanceDrained(aView, aVm);
    case VmState::Rebooting:
      return AdvanceRebooting(aView, aVm);
    case VmState::Probation:
      return AdvanceProbation(aView, aVm);
    case VmState::SetAside:
      return AdvanceSetAside(aView, aVm);
    case VmState::Gone:
      return;
  }
}

void
UpdateAddress(FleetView& aView, VmView& aVm)
{
  const VmListing* const listing = aVm.m_listing;
  const bool isReplaced = listing && !listing->m_isLeaving &&
                          aVm.m_health != VmHealth::Healthy &&
                          listing->m_dataCentre == aVm.m_dataCentre &&
                          listing->m_address != aVm.m_record.m_address;
  if (!isReplaced) {
    return;
  }
  const std::string reason = aVm.m_record.m_reason;
  aView.UpdateRecord(
    aVm,
    PlanReason::AddressChanged,
    absl::StrCat("the list shows address ", listing->m_address),
    [&](VmRecord& aRecord) {
      aRecord.m_address = listing->m_address;
      aRecord.m_rack = listing->m_rack;
      aRecord.m_reason = reason;
    });
}

void
RemoveGoneRecords(FleetView& aView)
{
  std::vector<std::string> expired;
  for (const auto& [name, vm] : aView.Vms()) {
    // A VM that is gone and serves again joins as a new VM.
    const bool hasReturned =
      vm.m_health == VmHealth::Healthy && vm.m_listing &&
      !vm.m_listing->m_isLeaving &&
      aView.TimeInState(vm) >= aView.Spec().m_vmGoneAfter;
    if (vm.m_record.m_state == VmState::Gone &&
        (hasReturned || aView.TimeInState(vm) >= kGoneRetention)) {
      expired.push_back(name);
    }
  }
  std::ranges::for_each(
    expired, [&aView](const std::string& aVm) { aView.RemoveRecord(aVm); });
}

/**
 * Whether a document of the snapshot contains the VM, even if this plan has
 * removed its record. Such a VM is adopted only in a later plan.
 */
bool
IsRecorded(const FleetView& aView, const std::string& aVm)
{
  return std::ranges::any_of(
    aView.Snapshot().m_documents,
    [&aVm](const auto& aEntry) { return aEntry.second.m_vms.contains(aVm); });
}

/** Number of VMs missing from the pool; VMs that fail their probes count as
 * present. */
int
RecordedDeficit(const CapacityBudget& aBudget)
{
  return aBudget.ConfiguredVms() - aBudget.m_recordedMembers;
}

/** Pool with the largest weighted relative deficit, or else the spare pool. */
std::string
FindWorstShortage(const FleetView& aView)
{
  std::string best = aView.Spec().m_sparePool;
  double worst = 0;
  for (const auto& [pool, budget] : aView.Budgets()) {
    const int missing = RecordedDeficit(budget);
    if (aView.IsSpare(pool) || missing <= 0) {
      continue;
    }
    const double shortage =
      budget.Weight() * missing / static_cast<double>(budget.ConfiguredVms());
    if (shortage > worst) {
      worst = shortage;
      best = pool;
    }
  }
  return best;
}

}

void
AdvanceLifecycles(FleetView& aView)
{
  RemoveGoneRecords(aView);
  std::erase_if(aView.Memory().m_lastMoves, [&aView](const auto& aMove) {
    return aView.Now() - aMove.second.m_time >= aView.Spec().m_surplusHold;
  });
  for (auto& [name, vm] : aView.Vms()) {
    UpdateAddress(aView, vm);
    AdvanceVm(aView, vm);
  }
}

void
AdoptListedVms(FleetView& aView)
{
  // A listed VM may belong to a document that could not be read; adopting it
  // would place it in a second pool.
  if (!aView.HasVmList() || aView.HasUnreadDocuments()) {
    return;
  }
  std::vector<const VmListing*> others;
  for (const VmListing& listing : *aView.Snapshot().m_vmList) {
    if (listing.m_isEntry || listing.m_isLeaving || listing.m_name.empty() ||
        aView.Find(listing.m_name) || IsRecorded(aView, listing.m_name)) {
      continue;
    }
    const bool fits = aView.IsConfigured(listing.m_pool) &&
                      RecordedDeficit(aView.Budget(listing.m_pool)) > 0;
    if (fits) {
      aView.Adopt(listing, listing.m_pool);
    } else {
      others.push_back(&listing);
    }
  }
  // VMs whose tag names no pool with a deficit come last, so that none takes
  // the place of a VM whose tag fits.
  for (const VmListing* const listing : others) {
    if (!aView.Find(listing->m_name)) {
      aView.Adopt(*listing, FindWorstShortage(aView));
    }
  }
}

}
