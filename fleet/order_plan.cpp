#include "fleet/order_plan.h"

#include "fleet/fleet_view.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace bramleystall {

namespace {

void
SetOrderState(Order& aOrder, OrderState aState, const std::string& aDetail)
{
  aOrder.m_state = aState;
  aOrder.m_detail = aDetail;
}

std::string
StateName(const VmView& aVm)
{
  return std::string(NameOf(kVmStateNames, aVm.m_record.m_state));
}

/**
 * Returns the VM of the order. If there is none, returns null and refuses the
 * order, or pauses it while a document cannot be read.
 */
VmView*
FindVm(FleetView& aView, Order& aOrder)
{
  VmView* const vm = aView.Find(aOrder.m_vm);
  if (vm) {
    return vm;
  }
  if (aView.HasUnreadDocuments()) {
    SetOrderState(aOrder,
                  OrderState::Paused,
                  "the document of a data centre cannot be read");
  } else {
    SetOrderState(aOrder,
                  OrderState::Refused,
                  absl::StrCat("there is no VM '", aOrder.m_vm, "'"));
  }
  return nullptr;
}

void
ProcessCancel(OrderDocument& aOrders, Order& aOrder)
{
  const auto wave =
    std::ranges::find_if(aOrders.m_orders, [&aOrder](const Order& aOther) {
      return aOther.m_id == aOrder.m_wave && aOther.IsOpen() &&
             (aOther.m_kind == OrderKind::Wave ||
              aOther.m_kind == OrderKind::Drain);
    });
  if (wave == aOrders.m_orders.end()) {
    SetOrderState(aOrder,
                  OrderState::Refused,
                  absl::StrCat("there is no open wave '", aOrder.m_wave, "'"));
    return;
  }
  SetOrderState(
    *wave,
    OrderState::Done,
    absl::StrCat("cancelled by order ", aOrder.m_id, "; ", wave->m_detail));
  SetOrderState(aOrder,
                OrderState::Done,
                "the wave is stopped; VMs that already drain finish");
}

void
ProcessRestore(FleetView& aView, Order& aOrder)
{
  VmView* const vm = FindVm(aView, aOrder);
  if (!vm) {
    return;
  }
  const bool isRestored = aView.Apply(*vm,
                                      "restore",
                                      PlanReason::OperatorRestore,
                                      absl::StrCat("order ", aOrder.m_id),
                                      [](VmRecord& aRecord) {
                                        aRecord.m_wave.clear();
                                        aRecord.m_rebootToken.clear();
                                      });
  if (!isRestored) {
    SetOrderState(
      aOrder,
      OrderState::Refused,
      absl::StrCat("the VM is ", StateName(*vm), ", not set aside"));
    return;
  }
  SetOrderState(aOrder, OrderState::Done, "the VM is in probation");
}

/** Whether the pool could release a VM if all configured VMs were ready, each
 * in a failure domain of its own. */
bool
CanReleaseAtFullSize(const CapacityBudget& aBudget)
{
  return aBudget.Promised() == 0 ||
         aBudget.ConfiguredVms() - 2 >= aBudget.Promised();
}

void
StartMove(FleetView& aView, Order& aOrder, VmView& aVm)
{
  const std::string pool = aVm.m_record.m_pool;
  const CapacityBudget& budget = aView.Budget(pool);
  const std::string numbers = absl::StrCat("pool '",
                                           pool,
                                           "' has ",
                                           budget.Ready(),
                                           " ready VMs, ",
                                           budget.Promised(),
                                           " promised and a margin of ",
                                           budget.Margin());
  const bool isOutOfService = aVm.m_health != VmHealth::Healthy;
  if (!isOutOfService && !aView.MayEvict(aVm)) {
    const bool isPossible =
      CanReleaseAtFullSize(budget) || aView.HasSurplus(pool);
    SetOrderState(aOrder,
                  isPossible ? OrderState::Paused : OrderState::Refused,
                  absl::StrCat(numbers, "; it cannot release a VM"));
    return;
  }
  if (!aView.HasEvictionRoom(pool) ||
      !aView.Drain(aVm,
                   aOrder.m_pool,
                   aOrder.m_id,
                   PlanReason::OperatorMove,
                   absl::StrCat("order ", aOrder.m_id))) {
    SetOrderState(aOrder, OrderState::Paused, "the eviction limit is reached");
    return;
  }
  SetOrderState(aOrder, OrderState::Running, "the VM drains");
}

void
ProcessMove(FleetView& aView, Order& aOrder)
{
  if (!aView.IsConfigured(aOrder.m_pool)) {
    SetOrderState(aOrder,
                  OrderState::Refused,
                  absl::StrCat("no service has pool '", aOrder.m_pool, "'"));
    return;
  }
  VmView* const vm = FindVm(aView, aOrder);
  if (!vm) {
    return;
  }
  const VmRecord& record = vm->m_record;
  if (record.m_pool == aOrder.m_pool) {
    SetOrderState(aOrder, OrderState::Done, "the VM is in the pool");
  } else if (record.m_targetPool == aOrder.m_pool) {
    SetOrderState(aOrder, OrderState::Running, "the VM drains");
  } else if (record.m_state == VmState::Ready) {
    StartMove(aView, aOrder, *vm);
  } else if (record.m_state == VmState::SetAside ||
             record.m_state == VmState::Gone) {
    SetOrderState(
      aOrder, OrderState::Refused, absl::StrCat("the VM is ", StateName(*vm)));
  } else {
    SetOrderState(
      aOrder,
      OrderState::Paused,
      absl::StrCat("the VM is ", StateName(*vm), "; the move waits"));
  }
}

void
ProcessDrain(FleetView& aView, Order& aOrder)
{
  const VmView* const vm = FindVm(aView, aOrder);
  if (!vm || aOrder.m_state != OrderState::Pending) {
    return;
  }
  const VmState state = vm->m_record.m_state;
  if (state == VmState::SetAside || state == VmState::Gone) {
    SetOrderState(
      aOrder, OrderState::Refused, absl::StrCat("the VM is ", StateName(*vm)));
  }
}

void
ProcessWave(FleetView& aView, Order& aOrder)
{
  if (!aOrder.m_pool.empty() && !aView.IsConfigured(aOrder.m_pool)) {
    SetOrderState(aOrder,
                  OrderState::Refused,
                  absl::StrCat("no service has pool '", aOrder.m_pool, "'"));
  }
}

}

void
ProcessOrders(FleetView& aView, OrderDocument& aOrders)
{
  for (Order& order : aOrders.m_orders) {
    if (!order.IsOpen()) {
      continue;
    }
    switch (order.m_kind) {
      case OrderKind::Drain:
        ProcessDrain(aView, order);
        break;
      case OrderKind::Move:
        ProcessMove(aView, order);
        break;
      case OrderKind::Wave:
        ProcessWave(aView, order);
        break;
      case OrderKind::CancelWave:
        ProcessCancel(aOrders, order);
        break;
      case OrderKind::Restore:
        ProcessRestore(aView, order);
        break;
    }
  }
}

}
