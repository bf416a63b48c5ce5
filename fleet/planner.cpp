#include "fleet/planner.h"

#include "fleet/fleet_view.h"
#include "fleet/move_plan.h"
#include "fleet/order_plan.h"
#include "fleet/pool_reports.h"
#include "fleet/spare_demand.h"
#include "fleet/vm_lifecycle.h"
#include "fleet/wave_plan.h"

#include <algorithm>

namespace bramleystall {

namespace {

bool
IsMaintenanceOrder(const Order& aOrder)
{
  return aOrder.IsOpen() && (aOrder.m_kind == OrderKind::Wave ||
                             aOrder.m_kind == OrderKind::Drain);
}

PoolsInMaintenance
FindPoolsInMaintenance(FleetView& aView, OrderDocument& aOrders)
{
  PoolsInMaintenance poolsInMaintenance;
  for (Order& order : aOrders.m_orders) {
    if (IsMaintenanceOrder(order)) {
      WavePlan(aView, order).AddPoolsInMaintenance(poolsInMaintenance);
    }
  }
  return poolsInMaintenance;
}

/** Advances the maintenance orders; returns the number of loans they need. */
int
AdvanceMaintenance(FleetView& aView,
                   OrderDocument& aOrders,
                   const PoolsInMaintenance& aPoolsInMaintenance)
{
  int loansWanted = 0;
  for (Order& order : aOrders.m_orders) {
    if (IsMaintenanceOrder(order) && aView.Find(order.m_vm) == nullptr &&
        order.m_kind == OrderKind::Drain) {
      continue;
    }
    if (IsMaintenanceOrder(order)) {
      WavePlan wave(aView, order);
      wave.Advance(aPoolsInMaintenance);
      loansWanted += wave.LoansWanted();
    }
  }
  return loansWanted;
}

/** Whether the state or the detail of any order has changed. */
bool
HasChangedOrders(const OrderDocument& aBefore, const OrderDocument& aAfter)
{
  return !std::ranges::equal(aBefore.m_orders,
                             aAfter.m_orders,
                             [](const Order& aOld, const Order& aNew) {
                               return aOld.m_state == aNew.m_state &&
                                      aOld.m_detail == aNew.m_detail;
                             });
}

/**
 * Requests a reboot for each VM in state rebooting. The request is repeated in
 * every plan until the VM has returned; the token makes it idempotent.
 */
void
CollectRebootRequests(FleetView& aView)
{
  for (const auto& [name, vm] : aView.Vms()) {
    if (vm.m_record.m_state == VmState::Rebooting) {
      aView.Plan().m_reboots.emplace_back(name, vm.m_record.m_rebootToken);
    }
  }
}

}

FleetPlan
PlanFleet(const FleetSnapshot& aSnapshot, PlannerMemory& aMemory)
{
  FleetPlan plan;
  FleetView view(aSnapshot, aMemory, plan);
  OrderDocument orders = aSnapshot.m_orders;
  AdvanceLifecycles(view);
  AdoptListedVms(view);
  ProcessOrders(view, orders);
  CancelDrains(view);
  const PoolsInMaintenance poolsInMaintenance =
    FindPoolsInMaintenance(view, orders);
  ReplaceLostVms(view, poolsInMaintenance);
  const int loansWanted = AdvanceMaintenance(view, orders, poolsInMaintenance);
  ReturnSurplus(view, poolsInMaintenance);
  CollectRebootRequests(view);
  plan.m_pools = ReportPools(view);
  plan.m_sparesNeeded = SparesForWorstDomainLoss(view) +
                        ExpectedFailuresDuringRepair(view) + loansWanted;
  view.CopyChangedDocuments();
  if (HasChangedOrders(aSnapshot.m_orders, orders)) {
    plan.m_changedOrders = std::move(orders);
  }
  return plan;
}

}
