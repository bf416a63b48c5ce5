#include "fleet/move_plan.h"

#include "fleet/buffer_size.h"
#include "fleet/fleet_view.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <tuple>

namespace bramleystall {

namespace {

bool
HasJustLeft(FleetView& aView, const VmView& aVm, const std::string& aPool)
{
  const auto& moves = aView.Memory().m_lastMoves;
  const auto last = moves.find(aVm.m_record.m_name);
  return last != moves.end() && last->second.m_fromPool == aPool &&
         aView.Now() - last->second.m_time < aView.Spec().m_surplusHold;
}

/** Whether a pool may give VMs; cheap, since it is asked for every VM. */
bool
MayPoolDonate(FleetView& aView,
              const std::string& aFrom,
              const MoveRequest& aRequest,
              const BusyPools& aBusy)
{
  if (aFrom == aRequest.m_pool) {
    return false;
  }
  if (aView.IsSpare(aFrom)) {
    return aRequest.m_mayTakeSpare;
  }
  return aRequest.m_mayTakeMember ||
         (aRequest.m_mayTakeSurplus && aView.HasSurplus(aFrom) &&
          !aBusy.contains(aFrom));
}

bool
MayDonate(FleetView& aView,
          const VmView& aVm,
          const MoveRequest& aRequest,
          const BusyPools& aBusy)
{
  if (!FleetView::IsInService(aVm) ||
      !MayPoolDonate(aView, aVm.m_record.m_pool, aRequest, aBusy)) {
    return false;
  }
  if (!aRequest.m_mayReturn && HasJustLeft(aView, aVm, aRequest.m_pool)) {
    return false;
  }
  if (aRequest.m_mustKeepMargin &&
      aView.Budget(aRequest.m_pool).RaisesMargin(aVm.m_domain)) {
    return false;
  }
  return aView.MayLeave(aVm);
}

/** Time that a condition has lasted; the memory holds since when. */
absl::Duration
Lasted(std::map<std::string, absl::Time>& aSince,
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

/** Records of a pool that are certain losses, by pool. */
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

bool
IsUrgent(const CapacityBudget& aBudget)
{
  return aBudget.m_presumedReady + aBudget.m_incoming - aBudget.Margin() <
         aBudget.Promised();
}

/** Whether the pool misses its promise, and not only the margin. */
bool
IsShort(const CapacityBudget& aBudget)
{
  return aBudget.m_presumedReady + aBudget.m_incoming < aBudget.Promised();
}

/**
 * VMs that the pool may ask for now. A loss that is certain is replaced at
 * once; without that proof the lack must last, since it may come from missing
 * inputs, or from a VM that restarts.
 */
int
Need(FleetView& aView,
     const CapacityBudget& aBudget,
     const Losses& aLosses,
     absl::Duration aLasted)
{
  const FleetSpec& spec = aView.Spec();
  const int lack = aBudget.Workers() - aBudget.m_members;
  const bool isProven = aLasted >= spec.m_vmGoneAfter;
  if (lack <= 0 || (aView.IsPartial() && !isProven)) {
    return 0;
  }
  // Above the promise, spares that the worst failure domain would need serve
  // every pool better where they are.
  const int spares = aView.Budget(spec.m_sparePool).Ready();
  if (!IsShort(aBudget) && spares <= WorstDomainNeed(aView)) {
    return 0;
  }
  if (aLasted >= spec.m_rebootTimeout) {
    return lack;
  }
  if (!IsUrgent(aBudget)) {
    return std::min(lack, aLosses.m_gone);
  }
  const int failing = aBudget.m_recorded - aBudget.m_members;
  return isProven
           ? lack
           : std::min(lack, aLosses.m_gone + aLosses.m_setAside + failing);
}

/** Larger for pools whose shortage weighs more. */
double
ShortageRank(const CapacityBudget& aBudget)
{
  const int shortage = std::max(
    0, aBudget.Promised() - aBudget.m_presumedReady - aBudget.m_incoming);
  const int lack = aBudget.Workers() - aBudget.m_members;
  const double workers = std::max(1, aBudget.Workers());
  // A missing part of a promise counts before anything above the promise.
  constexpr double kPromiseFirst = 1e6;
  return aBudget.Weight() * (kPromiseFirst * shortage + lack) / workers;
}

}

bool
MoveInto(FleetView& aView, const MoveRequest& aRequest, const BusyPools& aBusy)
{
  const CapacityBudget& target = aView.Budget(aRequest.m_pool);
  const auto rank = [&](const VmView& aVm) {
    return std::tuple(HasJustLeft(aView, aVm, aRequest.m_pool),
                      !aView.IsSpare(aVm.m_record.m_pool),
                      !aView.HasSurplus(aVm.m_record.m_pool),
                      target.PlacedIn(aVm.m_domain),
                      aVm.m_record.m_maintainedMillis <
                        aRequest.m_preferMaintained,
                      aVm.m_record.m_name);
  };
  VmView* best = nullptr;
  for (auto& [name, vm] : aView.Vms()) {
    if (MayDonate(aView, vm, aRequest, aBusy) &&
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
ReplaceLostVms(FleetView& aView, const BusyPools& aBusy)
{
  const auto losses = CountLosses(aView);
  std::map<std::string, absl::Duration> lasted;
  for (const auto& [pool, budget] : aView.Budgets()) {
    lasted[pool] = Lasted(aView.Memory().m_lackingSince,
                          pool,
                          budget.m_members < budget.Workers(),
                          aView.Now());
  }
  for (;;) {
    std::string worst;
    double worstRank = 0;
    for (const auto& [pool, budget] : aView.Budgets()) {
      const auto found = losses.find(pool);
      const Losses known = found == losses.end() ? Losses{} : found->second;
      if (aView.IsSpare(pool) ||
          Need(aView, budget, known, lasted[pool]) <= 0) {
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
                                         budget.Workers(),
                                         " VMs");
    request.m_mayTakeSurplus = IsUrgent(budget);
    request.m_mayReturn = IsUrgent(budget);
    request.m_mayTakeMember = IsShort(budget);
    if (worst.empty() || !MoveInto(aView, request, aBusy)) {
      return;
    }
  }
}

void
ReturnSurplus(FleetView& aView, const BusyPools& aBusy)
{
  const FleetSpec& spec = aView.Spec();
  std::vector<std::string> pools;
  for (const auto& [pool, budget] : aView.Budgets()) {
    const bool holds = !aView.IsSpare(pool) && !aBusy.contains(pool) &&
                       !aView.IsPartial() && aView.HasSurplus(pool);
    const absl::Duration lasted =
      Lasted(aView.Memory().m_surplusSince, pool, holds, aView.Now());
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
          aView.HasSurplus(pool) && aView.MayLeave(vm) &&
          !HasJustLeft(aView, vm, spec.m_sparePool) &&
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
