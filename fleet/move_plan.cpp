#include "fleet/move_plan.h"

#include "fleet/fleet_view.h"
#include "fleet/spare_demand.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <tuple>

namespace bramleystall {

namespace {

/** Whether the VM moved from this pool to another within the hold time. */
bool
HasLeftRecently(FleetView& aView, const VmView& aVm, const std::string& aPool)
{
  const auto& moves = aView.Memory().m_lastMoves;
  const auto last = moves.find(aVm.m_record.m_name);
  return last != moves.end() && last->second.m_fromPool == aPool &&
         aView.Now() - last->second.m_time < aView.Spec().m_surplusHold;
}

/**
 * Whether a request may take VMs from this pool. It runs for every VM, so it
 * makes only cheap checks.
 */
bool
MayTakeFromPool(FleetView& aView,
                const std::string& aFrom,
                const MoveRequest& aRequest,
                const PoolsInMaintenance& aPoolsInMaintenance)
{
  if (aFrom == aRequest.m_pool) {
    return false;
  }
  if (aView.IsSpare(aFrom)) {
    return aRequest.m_mayTakeSpare;
  }
  return aRequest.m_mayTakeMember ||
         (aRequest.m_mayTakeSurplus && aView.HasSurplus(aFrom) &&
          !aPoolsInMaintenance.contains(aFrom));
}

bool
MayTake(FleetView& aView,
        const VmView& aVm,
        const MoveRequest& aRequest,
        const PoolsInMaintenance& aPoolsInMaintenance)
{
  if (!FleetView::IsInService(aVm) ||
      !MayTakeFromPool(
        aView, aVm.m_record.m_pool, aRequest, aPoolsInMaintenance)) {
    return false;
  }
  if (!aRequest.m_mayReturn && HasLeftRecently(aView, aVm, aRequest.m_pool)) {
    return false;
  }
  if (aRequest.m_mustKeepMargin &&
      aView.Budget(aRequest.m_pool).RaisesMargin(aVm.m_domain)) {
    return false;
  }
  return aView.MayEvict(aVm);
}

/**
 * Returns how long a condition of a pool has held without a break. Keeps the
 * time since which it has held in aSince.
 */
absl::Duration
TrackDuration(std::map<std::string, absl::Time>& aSince,
              const std::string& aPool,
              bool aHolds,
              absl::Time aNow)
{
  if (!aHolds) {
    aSince.erase(aPool);
    return absl::ZeroDuration();
  }
  return aNow - aSince.emplace(aPool, aNow).first->second;
}

/** Numbers of the pool's VMs in the states gone and set_aside. */
struct Losses
{
  int m_gone = 0;
  int m_setAside = 0;
};

std::map<std::string, Losses>
CountLosses(FleetView& aView)
{
  std::map<std::string, Losses> losses;
  for (const auto& [name, vm] : aView.Vms()) {
    Losses& pool = losses[vm.m_record.m_pool];
    pool.m_gone += vm.m_record.m_state == VmState::Gone ? 1 : 0;
    pool.m_setAside += vm.m_record.m_state == VmState::SetAside ? 1 : 0;
  }
  return losses;
}

/**
 * Whether the promise would break with the loss of the largest failure domain.
 * Counts VMs that are presumed ready or moving in, unlike IsProtected.
 */
bool
IsUnprotected(const CapacityBudget& aBudget)
{
  return aBudget.m_presumedReady + aBudget.m_incoming - aBudget.Margin() <
         aBudget.Promised();
}

/** Whether the pool has too few VMs for its promise, even without a margin for
 * the loss of a failure domain. */
bool
IsBelowPromise(const CapacityBudget& aBudget)
{
  return aBudget.m_presumedReady + aBudget.m_incoming < aBudget.Promised();
}

/**
 * Number of replacement VMs that the pool may request now. Losses that the
 * records prove are replaced at once. Any other deficit is replaced only after
 * it has lasted, since missing inputs or a VM that restarts can cause it too.
 */
int
AllowedReplacements(FleetView& aView,
                    const CapacityBudget& aBudget,
                    const Losses& aLosses,
                    absl::Duration aDuration)
{
  const FleetSpec& spec = aView.Spec();
  const int deficit = aBudget.ConfiguredVms() - aBudget.m_members;
  const bool isProven = aDuration >= spec.m_vmGoneAfter;
  if (deficit <= 0 || (aView.HasUnreadDocuments() && !isProven)) {
    return 0;
  }
  // A pool that keeps its promise gets no spare that the loss of the worst
  // failure domain would need: in the spare pool it can help any pool.
  const int spares = aView.Budget(spec.m_sparePool).Ready();
  if (!IsBelowPromise(aBudget) && spares <= SparesForWorstDomainLoss(aView)) {
    return 0;
  }
  if (aDuration >= spec.m_rebootTimeout) {
    return deficit;
  }
  if (!IsUnprotected(aBudget)) {
    return std::min(deficit, aLosses.m_gone);
  }
  const int failing = aBudget.m_recordedMembers - aBudget.m_members;
  return isProven
           ? deficit
           : std::min(deficit, aLosses.m_gone + aLosses.m_setAside + failing);
}

/** Weighted relative shortage of a pool; the pool with the largest value is
 * served first. */
double
ShortageRank(const CapacityBudget& aBudget)
{
  const int shortage = std::max(
    0, aBudget.Promised() - aBudget.m_presumedReady - aBudget.m_incoming);
  const int deficit = aBudget.ConfiguredVms() - aBudget.m_members;
  const double workers = std::max(1, aBudget.ConfiguredVms());
  // A shortage of promised VMs ranks before any deficit above the promise.
  constexpr double kPromiseWeight = 1e6;
  return aBudget.Weight() * (kPromiseWeight * shortage + deficit) / workers;
}

}

bool
MoveInto(FleetView& aView,
         const MoveRequest& aRequest,
         const PoolsInMaintenance& aPoolsInMaintenance)
{
  const CapacityBudget& target = aView.Budget(aRequest.m_pool);
  const auto rank = [&](const VmView& aVm) {
    return std::tuple(HasLeftRecently(aView, aVm, aRequest.m_pool),
                      !aView.IsSpare(aVm.m_record.m_pool),
                      !aView.HasSurplus(aVm.m_record.m_pool),
                      target.PlacedIn(aVm.m_domain),
                      aVm.m_record.m_maintainedMillis <
                        aRequest.m_preferMaintainedSinceMillis,
                      aVm.m_record.m_name);
  };
  VmView* best = nullptr;
  for (auto& [name, vm] : aView.Vms()) {
    if (MayTake(aView, vm, aRequest, aPoolsInMaintenance) &&
        (!best || rank(vm) < rank(*best))) {
      best = &vm;
    }
  }
  return best && aView.Drain(*best,
                             aRequest.m_pool,
                             "",
                             aRequest.m_reason,
                             aRequest.m_explanation);
}

void
CancelDrains(FleetView& aView)
{
  for (auto& [name, vm] : aView.Vms()) {
    const VmRecord& record = vm.m_record;
    const bool isLeaving =
      record.m_state == VmState::Draining || record.m_state == VmState::Drained;
    const CapacityBudget& budget = aView.Budget(record.m_pool);
    if (!isLeaving || vm.m_health != VmHealth::Healthy ||
        budget.Ready() >= budget.Promised()) {
      continue;
    }
    aView.Apply(vm,
                "cancel",
                PlanReason::BudgetRestored,
                absl::StrCat("pool '",
                             record.m_pool,
                             "' has ",
                             budget.Ready(),
                             " ready VMs of ",
                             budget.Promised(),
                             " promised"),
                [](VmRecord& aRecord) {
                  aRecord.m_targetPool.clear();
                  aRecord.m_wave.clear();
                  aRecord.m_drainRevision = 0;
                });
  }
}

void
ReplaceLostVms(FleetView& aView, const PoolsInMaintenance& aPoolsInMaintenance)
{
  const auto losses = CountLosses(aView);
  std::map<std::string, absl::Duration> lasted;
  for (const auto& [pool, budget] : aView.Budgets()) {
    lasted[pool] = TrackDuration(aView.Memory().m_deficitSince,
                                 pool,
                                 budget.m_members < budget.ConfiguredVms(),
                                 aView.Now());
  }
  for (;;) {
    std::string worst;
    double worstRank = 0;
    for (const auto& [pool, budget] : aView.Budgets()) {
      const auto found = losses.find(pool);
      const Losses known = found == losses.end() ? Losses{} : found->second;
      if (aView.IsSpare(pool) ||
          AllowedReplacements(aView, budget, known, lasted[pool]) <= 0) {
        continue;
      }
      const double rank = ShortageRank(budget);
      if (rank > worstRank) {
        worst = pool;
        worstRank = rank;
      }
    }
    const CapacityBudget& budget = aView.Budget(worst);
    MoveRequest request;
    request.m_pool = worst;
    request.m_explanation = absl::StrCat("pool '",
                                         worst,
                                         "' has ",
                                         budget.m_members,
                                         " of ",
                                         budget.ConfiguredVms(),
                                         " VMs");
    request.m_mayTakeSurplus = IsUnprotected(budget);
    request.m_mayReturn = IsUnprotected(budget);
    request.m_mayTakeMember = IsBelowPromise(budget);
    if (worst.empty() || !MoveInto(aView, request, aPoolsInMaintenance)) {
      return;
    }
  }
}

void
ReturnSurplus(FleetView& aView, const PoolsInMaintenance& aPoolsInMaintenance)
{
  const FleetSpec& spec = aView.Spec();
  std::vector<std::string> pools;
  for (const auto& [pool, budget] : aView.Budgets()) {
    const bool holds = !aView.IsSpare(pool) &&
                       !aPoolsInMaintenance.contains(pool) &&
                       !aView.HasUnreadDocuments() && aView.HasSurplus(pool);
    const absl::Duration lasted =
      TrackDuration(aView.Memory().m_surplusSince, pool, holds, aView.Now());
    if (holds && lasted >= spec.m_surplusHold) {
      pools.push_back(pool);
    }
  }
  for (const std::string& pool : pools) {
    const auto demand = aView.Snapshot().m_poolDemand.find(pool);
    const int slots = (aView.Budget(pool).Ready() - 1) * spec.m_slotsPerWorker;
    if (demand != aView.Snapshot().m_poolDemand.end() &&
        demand->second > slots) {
      continue;
    }
    VmView* best = nullptr;
    for (auto& [name, vm] : aView.Vms()) {
      const CapacityBudget& budget = aView.Budget(pool);
      if (vm.m_record.m_pool == pool && FleetView::IsInService(vm) &&
          aView.HasSurplus(pool) && aView.MayEvict(vm) &&
          !HasLeftRecently(aView, vm, spec.m_sparePool) &&
          (!best ||
           budget.ReadyIn(vm.m_domain) > budget.ReadyIn(best->m_domain))) {
        best = &vm;
      }
    }
    if (best) {
      aView.Drain(*best,
                  spec.m_sparePool,
                  "",
                  PlanReason::SurplusReturned,
                  "the pool has had a surplus for the hold time");
    }
  }
}

}
