#include "fleet/wave_plan.h"

#include "core/order_document.h"
#include "fleet/fleet_view.h"
#include "fleet/spare_demand.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <tuple>

namespace bramleystall {

namespace {

/** Smallest number of failures that stops a wave. A single failure may be
 * chance; that VM is set aside and the wave continues. */
constexpr int kMinWaveFailures = 2;

/** The failure limit applies to at least this number of rebooted VMs, since a
 * fraction of fewer VMs says too little. */
constexpr int kMinWaveSample = 5;

bool
IsOutOfService(const VmRecord& aRecord)
{
  return aRecord.m_state == VmState::Draining ||
         aRecord.m_state == VmState::Drained ||
         aRecord.m_state == VmState::Rebooting ||
         aRecord.m_state == VmState::Probation;
}

}

WavePlan::WavePlan(FleetView& aView, Order& aOrder)
  : m_view(aView)
  , m_order(aOrder)
{
  for (auto& [name, vm] : aView.Vms()) {
    m_outOfServiceByDataCentre[vm.m_dataCentre] +=
      IsOutOfService(vm.m_record) ? 1 : 0;
    if (IsInScope(vm)) {
      Classify(vm);
    }
  }
}

bool
WavePlan::IsInScope(const VmView& aVm) const
{
  const VmRecord& record = aVm.m_record;
  if (m_order.m_kind == OrderKind::Drain) {
    return record.m_name == m_order.m_vm;
  }
  return m_order.m_pool.empty() || record.m_pool == m_order.m_pool ||
         record.m_wave == m_order.m_id;
}

void
WavePlan::Classify(VmView& aVm)
{
  const VmRecord& record = aVm.m_record;
  const bool belongsToWave = record.m_wave == m_order.m_id;
  const bool isLost =
    record.m_state == VmState::SetAside || record.m_state == VmState::Gone ||
    (record.m_state == VmState::Ready && aVm.m_health == VmHealth::Failed);
  const bool isMaintained =
    record.m_maintainedMillis >= m_order.m_createdMillis;
  const bool isSkipped = isLost || record.m_state == VmState::Joining ||
                         (aVm.m_isUnobserved && aVm.m_isUnlisted);
  if (belongsToWave && IsOutOfService(record)) {
    ++m_outOfService;
  } else if (belongsToWave ||
             (isMaintained && isLost && FailedSoonAfterReboot(aVm))) {
    // This includes a VM of the wave that is ready again without maintenance:
    // it did not return from its reboot in time, and the wave does not try it
    // again.
    ++m_failed;
  } else if (isMaintained) {
    ++m_maintained;
  } else if (isSkipped) {
    ++m_skipped;
  } else if (FleetView::IsInService(aVm)) {
    m_remaining.push_back(&aVm);
  } else {
    ++m_waiting;
  }
}

bool
WavePlan::FailedSoonAfterReboot(const VmView& aVm) const
{
  const std::int64_t failed = aVm.m_record.m_state == VmState::Ready
                                ? m_view.NowMillis()
                                : aVm.m_record.m_sinceMillis;
  return absl::Milliseconds(failed - aVm.m_record.m_maintainedMillis) <=
         m_view.Spec().m_rebootTimeout;
}

bool
WavePlan::ExceedsFailureLimit() const
{
  const int rebooted = std::max(kMinWaveSample, m_maintained + m_failed);
  return m_order.m_kind == OrderKind::Wave && m_failed >= kMinWaveFailures &&
         m_failed > m_view.Spec().m_waveFailureLimit * rebooted;
}

void
WavePlan::AddPoolsInMaintenance(PoolsInMaintenance& aPoolsInMaintenance) const
{
  if (ExceedsFailureLimit()) {
    return;
  }
  for (const VmView* const vm : m_remaining) {
    aPoolsInMaintenance.insert(vm->m_record.m_pool);
  }
}

bool
WavePlan::DrainOne(const std::string& aPool)
{
  const CapacityBudget& budget = m_view.Budget(aPool);
  const bool isSpare = m_view.IsSpare(aPool);
  if (isSpare && m_outOfService > 0 &&
      budget.Ready() <= SparesForWorstDomainLoss(m_view)) {
    return false;
  }
  const auto rank = [&](const VmView* aVm) {
    return std::tuple(-budget.ReadyIn(aVm->m_domain),
                      m_outOfServiceByDataCentre[aVm->m_dataCentre],
                      aVm->m_record.m_name);
  };
  VmView* best = nullptr;
  for (VmView* const vm : m_remaining) {
    if (vm->m_record.m_pool == aPool && FleetView::IsInService(*vm) &&
        m_view.MayEvict(*vm) && (!best || rank(vm) < rank(best))) {
      best = vm;
    }
  }
  if (!best ||
      !m_view.Drain(*best,
                    "",
                    m_order.m_id,
                    PlanReason::Maintenance,
                    absl::StrCat("maintenance by order ", m_order.m_id))) {
    return false;
  }
  std::erase(m_remaining, best);
  ++m_outOfServiceByDataCentre[best->m_dataCentre];
  ++m_outOfService;
  return true;
}

void
WavePlan::DrainPools()
{
  PoolsInMaintenance pools;
  AddPoolsInMaintenance(pools);
  for (const std::string& pool : pools) {
    while (DrainOne(pool)) {
    }
  }
}

std::map<std::string, WavePlan::PoolWork>
WavePlan::CountWork() const
{
  std::map<std::string, PoolWork> work;
  for (const VmView* const vm : m_remaining) {
    ++work[vm->m_record.m_pool].m_remaining;
  }
  for (const auto& [name, vm] : m_view.Vms()) {
    if (vm.m_record.m_wave == m_order.m_id && IsOutOfService(vm.m_record)) {
      ++work[vm.m_record.m_pool].m_outOfService;
    }
  }
  std::erase_if(work, [this](const auto& aEntry) {
    const auto& [pool, count] = aEntry;
    return m_view.IsSpare(pool) || !m_view.HasEvictionRoom(pool) ||
           count.m_remaining <= m_view.Budget(pool).m_incoming;
  });
  return work;
}

int
WavePlan::LendableSpares() const
{
  const std::string& sparePool = m_view.Spec().m_sparePool;
  return m_view.Budget(sparePool).Ready() - SparesForWorstDomainLoss(m_view);
}

int
WavePlan::CountLendableVms(const PoolsInMaintenance& aPoolsInMaintenance) const
{
  int lendable = std::max(0, LendableSpares());
  for (const auto& [pool, budget] : m_view.Budgets()) {
    const int surplus = budget.m_members - budget.ConfiguredVms();
    const int free = budget.Ready() - budget.Margin() - budget.Promised();
    if (!m_view.IsSpare(pool) && !aPoolsInMaintenance.contains(pool)) {
      lendable += std::max(0, std::min(surplus, free));
    }
  }
  return lendable;
}

bool
WavePlan::LendTo(const std::string& aPool,
                 const PoolsInMaintenance& aPoolsInMaintenance,
                 bool aMustKeepMargin)
{
  MoveRequest request;
  request.m_pool = aPool;
  request.m_reason = PlanReason::WaveLoan;
  request.m_explanation =
    absl::StrCat("lets pool '", aPool, "' release VMs to order ", m_order.m_id);
  // A wave that makes no progress may lend a spare that the loss of the worst
  // failure domain would need, to one pool at a time.
  request.m_mayTakeSpare =
    LendableSpares() > 0 || (m_outOfService == 0 && m_loans == 0);
  request.m_mayTakeSurplus = true;
  request.m_mustKeepMargin = aMustKeepMargin;
  request.m_preferMaintainedSinceMillis = m_order.m_createdMillis;
  return MoveInto(m_view, request, aPoolsInMaintenance);
}

bool
WavePlan::LendOnce(std::map<std::string, PoolWork>& aWork,
                   const PoolsInMaintenance& aPoolsInMaintenance,
                   bool aMustKeepMargin)
{
  // The loan goes to the pool with the most VMs left per VM that it can have
  // out of service at the same time.
  const auto rounds = [this](const auto& aEntry) {
    const auto& [pool, count] = aEntry;
    const int capacity = count.m_outOfService + m_view.Budget(pool).m_incoming;
    constexpr double kMinCapacity = 0.1;
    return (count.m_remaining + count.m_outOfService) /
           std::max<double>(capacity, kMinCapacity);
  };
  const auto slowest = std::ranges::max_element(aWork, {}, rounds);
  const std::string pool = slowest->first;
  if (!LendTo(pool, aPoolsInMaintenance, aMustKeepMargin)) {
    aWork.erase(slowest);
    return false;
  }
  ++m_loans;
  if (slowest->second.m_remaining <= m_view.Budget(pool).m_incoming) {
    aWork.erase(slowest);
  }
  return true;
}

void
WavePlan::Lend(const PoolsInMaintenance& aPoolsInMaintenance)
{
  auto work = CountWork();
  for (const auto& [pool, count] : work) {
    m_loans += m_view.Budget(pool).m_incoming;
  }
  m_loansWanted = static_cast<int>(work.size());
  auto others = work;
  bool hasLent = false;
  while (!work.empty()) {
    hasLent = LendOnce(work, aPoolsInMaintenance, true) || hasLent;
  }
  // A first loan that enlarges the largest failure domain does not let the pool
  // release a VM. Each further loan to the same pool lets it release one.
  const bool helps = CountLendableVms(aPoolsInMaintenance) >= 2 ||
                     (m_outOfService == 0 && m_loans == 0);
  // While a pool has reached its eviction limit, the next plans may still find
  // VMs that do not enlarge the largest failure domain.
  const bool isSettled =
    std::ranges::all_of(m_view.Budgets(), [this](const auto& aEntry) {
      return m_view.HasEvictionRoom(aEntry.first);
    });
  if (!hasLent && helps && isSettled && !others.empty()) {
    LendOnce(others, aPoolsInMaintenance, false);
  }
}

std::string
WavePlan::ProgressDetail() const
{
  return absl::StrCat(m_maintained,
                      " maintained, ",
                      m_outOfService,
                      " out of service, ",
                      m_remaining.size() + m_waiting,
                      " to do, ",
                      m_failed,
                      " failed, ",
                      m_skipped,
                      " skipped");
}

std::string
WavePlan::BlockedDetail() const
{
  if (m_remaining.empty()) {
    return m_view.HasUnreadDocuments()
             ? "the document of a data centre cannot be read"
             : absl::StrCat(m_waiting, " VMs have no usable observation");
  }
  const std::string& pool = m_remaining.front()->m_record.m_pool;
  const CapacityBudget& budget = m_view.Budget(pool);
  return absl::StrCat("pool '",
                      pool,
                      "' has ",
                      budget.Ready(),
                      " ready VMs, ",
                      budget.Promised(),
                      " promised and a margin of ",
                      budget.Margin(),
                      "; one more ready VM or a free spare is needed");
}

void
WavePlan::SetState()
{
  const bool isDone =
    m_remaining.empty() && m_waiting == 0 && m_outOfService == 0;
  const bool mayHaveMore =
    m_view.HasUnreadDocuments() && m_order.m_kind == OrderKind::Wave;
  if (isDone && !mayHaveMore) {
    m_order.m_state = OrderState::Done;
    m_order.m_detail = ProgressDetail();
    return;
  }
  const bool isBlocked = m_outOfService == 0 && m_loans == 0;
  m_order.m_state = isBlocked ? OrderState::Paused : OrderState::Running;
  m_order.m_detail =
    isBlocked ? absl::StrCat(ProgressDetail(), "; paused: ", BlockedDetail())
              : ProgressDetail();
}

void
WavePlan::Advance(const PoolsInMaintenance& aPoolsInMaintenance)
{
  if (ExceedsFailureLimit()) {
    m_order.m_state = OrderState::Done;
    m_order.m_detail =
      absl::StrCat("stopped: rebooted VMs fail; ", ProgressDetail());
    return;
  }
  DrainPools();
  Lend(aPoolsInMaintenance);
  SetState();
}

}
