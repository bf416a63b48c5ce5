#include "scheduler/fleet_controller.h"

#include "core/log.h"
#include "core/metrics.h"
#include "jobs/job_configuration.h"
#include "net/event_loop.h"
#include "scheduler/scheduler.h"
#include "scheduler/shard_layout.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace bramleystall {

namespace {

using nlohmann::json;

constexpr absl::Duration kCycleInterval = absl::Milliseconds(60);
/** Shortest time between lists; each read counts as a call. */
constexpr absl::Duration kMinListInterval = absl::Milliseconds(1000);
/** Machines on one page of the list. */
constexpr std::size_t kMachinesPerPage = 200;
/** Lists in a row without a machine after which it counts as gone: pages are
 * read one after the other, so that one list may lack a machine that stays. */
constexpr int kListsWithoutMachine = 3;
/** Share of the platform's read rate that the lists use. */
constexpr double kReadRateShare = 0.5;
/**
 * Margin after the expected end of an accepted order. If its worker has not
 * been listed by then, the machine list decides whether the order is closed.
 */
constexpr absl::Duration kArrivalMargin = absl::Milliseconds(1500);
/** Maintenance counts as over only this long after its configured time. */
constexpr absl::Duration kMaintenanceMargin = absl::Milliseconds(300);
/** Margin on the time between orders of two owners for one machine. */
constexpr absl::Duration kTurnMargin = absl::Milliseconds(300);
/** Share of the platform's order rate that is used. */
constexpr double kOrderRateShare = 0.85;
/** Unused order tokens accumulate for at most this long. */
constexpr absl::Duration kOrderBurst = absl::Milliseconds(500);

}

FleetController::FleetController(Environment aEnvironment,
                                 const FleetSettings& aSettings,
                                 MachineAuthority aAuthority)
  : m_env(std::move(aEnvironment))
  , m_settings(aSettings)
  , m_keys(m_env.m_shard)
  , m_authority(std::move(aAuthority))
  , m_listInterval(ListInterval())
  // Spreads the first lists of the owners over one interval.
  , m_listedAt(m_env.m_loop.Now() - m_listInterval +
               (m_listInterval - kMinListInterval) * m_env.m_shard /
                 m_env.m_layout.Count())
{
  m_waveMirror = std::make_unique<StoreMirror>(
    m_env.m_loop,
    m_env.m_store,
    keys::kWavePrefix,
    [this](const StoreItem& aItem) { ApplyWaveProgress(aItem); },
    [this](bool aIsSynchronized) {
      m_hasWaveProgress = m_hasWaveProgress || aIsSynchronized;
    });
  ReadMachineOrders();
  RunCycle();
}

FleetController::~FleetController()
{
  *m_alive = false;
}

bool
FleetController::MayOrder() const
{
  return m_hasWaveProgress && m_hasMachineOrders && m_env.m_holdsLease();
}

void
FleetController::RefillOrderTokens()
{
  const absl::Time now = m_env.m_loop.Now();
  const double rate = m_settings.m_ordersPerSecond * kOrderRateShare;
  if (m_tokensRefilledAt != absl::InfinitePast()) {
    m_orderTokens += rate * absl::ToDoubleSeconds(now - m_tokensRefilledAt);
  }
  m_orderTokens =
    std::min(m_orderTokens, rate * absl::ToDoubleSeconds(kOrderBurst));
  m_tokensRefilledAt = now;
}

bool
FleetController::TakeOrderToken(double aReserve)
{
  if (m_orderTokens < 1 + aReserve) {
    return false;
  }
  m_orderTokens -= 1;
  return true;
}

void
FleetController::ReadMachineOrders()
{
  m_env.m_store.Get(
    m_keys.MachineOrders(), [this, alive = m_alive](const ReadResult& aResult) {
      if (!*alive) {
        return;
      }
      if (aResult.m_status != ReadStatus::Ok) {
        m_env.m_loop.After(kCycleInterval, [this, alive] {
          if (*alive) {
            ReadMachineOrders();
          }
        });
        return;
      }
      for (const StoreItem& item : aResult.m_items) {
        m_env.m_scheduler.SetRevision(item.m_key, item.m_revision);
        const json machines = json::parse(item.m_value, nullptr, false);
        if (!machines.is_array()) {
          LogError(LogPart::Fleet,
                   "cannot decode the recent machine orders; ignoring them");
          continue;
        }
        // The stored orders have no times: a previous owner may have sent one
        // until its lease expired.
        m_earlierOrdersEndAt =
          m_env.m_loop.Now() + m_settings.m_machineTurn + kTurnMargin;
        for (const json& machine : machines) {
          if (machine.is_string()) {
            const std::string name = machine.get<std::string>();
            m_blockedUntil[name] = m_earlierOrdersEndAt;
            m_earlierOrders.insert(name);
          }
        }
      }
      m_hasMachineOrders = true;
    });
}

void
FleetController::RecordOrders()
{
  const absl::Time limit =
    m_env.m_loop.Now() - m_settings.m_machineTurn - kTurnMargin;
  std::erase_if(m_recentOrders, [this, limit](const auto& aEntry) {
    // An order that is not accepted yet may be sent now, or again.
    const auto order = m_orders.find(aEntry.first);
    const bool isOpen = order != m_orders.end() && !order->second.m_isAccepted;
    return aEntry.second < limit && !isOpen;
  });
  json machines = json::array();
  for (const auto& [name, at] : m_recentOrders) {
    machines.push_back(name);
  }
  std::string text = machines.dump();
  if (text != m_recentOrdersText) {
    m_recentOrdersText = text;
    m_env.m_scheduler.Put(m_keys.MachineOrders(), std::move(text));
  }
}

void
FleetController::SendOrders()
{
  std::vector<std::string> unsent;
  for (const auto& [name, order] : m_orders) {
    if (!order.m_isSent && order.m_sentAt == m_env.m_loop.Now()) {
      unsent.push_back(name);
      m_recentOrders[name] = m_env.m_loop.Now();
    }
  }
  RecordOrders();
  if (unsent.empty()) {
    return;
  }
  // The next owner must know for which machines it may not send orders for a
  // while.
  m_env.m_scheduler.FlushSoon();
  m_env.m_scheduler.AfterStored(
    [this, unsent = std::move(unsent), alive = m_alive] {
      if (!*alive) {
        return;
      }
      for (const std::string& name : unsent) {
        const auto found = m_orders.find(name);
        if (found == m_orders.end() || found->second.m_isSent) {
          continue;
        }
        if (!MayOrder()) {
          CloseOrder(found);
          continue;
        }
        found->second.m_isSent = true;
        found->second.m_sentAt = m_env.m_loop.Now();
        if (found->second.m_wave != 0) {
          SendMaintenance(name);
        } else {
          SendMove(name);
        }
      }
    });
}

void
FleetController::RunCycle()
{
  if (m_env.m_loop.Now() >= m_listedAt + m_listInterval && !m_isListing) {
    ListMachines();
  }
  CloseArrivedOrders();
  for (const auto& [name, machine] : m_machines) {
    const Worker* worker = WorkerOn(machine);
    if (worker == nullptr || m_env.m_scheduler.MayRunTasks(*worker)) {
      m_idleSince.erase(name);
    } else {
      m_idleSince.try_emplace(name, m_env.m_loop.Now());
    }
  }
  if (!m_machines.empty() && MayOrder()) {
    RefillOrderTokens();
    WorkOnWaves();
    Rebalance();
    SendOrders();
  } else {
    m_env.m_scheduler.SetShortPools({});
  }
  m_env.m_loop.After(kCycleInterval, [this, alive = m_alive] {
    if (*alive) {
      RunCycle();
    }
  });
}

absl::Duration
FleetController::ListInterval() const
{
  const std::size_t pages =
    1 + m_env.m_layout.MachineCount() / kMachinesPerPage;
  const double rate =
    std::max(1.0, m_settings.m_readsPerSecond * kReadRateShare);
  return std::max(
    kMinListInterval,
    absl::Seconds(static_cast<double>(pages) * m_env.m_layout.Count() / rate));
}

void
FleetController::ListMachines()
{
  m_isListing = true;
  const absl::Time sentAt = m_env.m_loop.Now();
  m_env.m_machines.List(
    [this, sentAt, alive = m_alive](MachineListResult aResult) {
      if (*alive) {
        m_isListing = false;
        OnListed(sentAt, std::move(aResult));
      }
    });
}

void
FleetController::OnListed(absl::Time aSentAt, MachineListResult aResult)
{
  m_listedAt = m_env.m_loop.Now();
  if (!aResult.m_isComplete) {
    m_env.m_metrics.Count("bramleystall_job_retries_total",
                          { { "reason", "machine_list" } });
    return;
  }
  ++m_listCount;
  for (MachineEntry& entry : aResult.m_machines) {
    if (m_env.m_layout.OfMachine(entry.m_name) != m_env.m_shard) {
      continue;
    }
    const std::string name = entry.m_name;
    m_machines[name] = std::move(entry);
    m_lastListOf[name] = m_listCount;
  }
  std::erase_if(m_machines,
                [this](const auto& aEntry) { return IsGone(aEntry.first); });
  m_env.m_scheduler.SetMachineCount(UsableMachineCount());
  CloseListedOrders(aSentAt);
}

bool
FleetController::IsGone(const std::string& aMachine) const
{
  const auto found = m_lastListOf.find(aMachine);
  const int last = found == m_lastListOf.end() ? 0 : found->second;
  return m_listCount >= last + kListsWithoutMachine;
}

int
FleetController::UsableMachineCount() const
{
  const auto& pools = m_env.m_configuration().m_pools;
  return static_cast<int>(
    std::ranges::count_if(m_machines, [&pools](const auto& aEntry) {
      const MachineEntry& machine = aEntry.second;
      const auto pool = pools.find(machine.m_pool);
      const bool isStandby = pool != pools.end() && pool->second.m_isStandby;
      return isStandby || machine.m_state != MachineState::Down;
    }));
}

Worker*
FleetController::WorkerOn(const MachineEntry& aMachine)
{
  return m_env.m_scheduler.WorkerOnMachine(aMachine.m_name);
}

FleetController::OrderMap::iterator
FleetController::CloseOrder(OrderMap::iterator aOrder)
{
  // The machine may have stayed where it was, with its worker.
  m_env.m_scheduler.SetEvacuating(aOrder->second.m_workerId, false);
  return m_orders.erase(aOrder);
}

void
FleetController::CloseArrivedOrders()
{
  const absl::Time now = m_env.m_loop.Now();
  for (auto it = m_orders.begin(); it != m_orders.end();) {
    const OpenOrder& order = it->second;
    const auto machine = m_machines.find(it->first);
    const Worker* worker =
      machine == m_machines.end() ? nullptr : WorkerOn(machine->second);
    const bool hasArrived =
      order.m_isAccepted && worker != nullptr &&
      worker->m_report.m_id != order.m_workerId &&
      (order.m_pool.empty() || worker->m_report.m_pool == order.m_pool);
    const bool isMaintenanceOver =
      order.m_wave == 0 ||
      now >= order.m_sentAt + m_settings.m_maintenanceTime + kMaintenanceMargin;
    if (hasArrived && isMaintenanceOver) {
      machine->second.m_pool = worker->m_report.m_pool;
      machine->second.m_state = MachineState::Up;
      it = CloseOrder(it);
    } else {
      ++it;
    }
  }
}

void
FleetController::CloseListedOrders(absl::Time aListSentAt)
{
  for (auto it = m_orders.begin(); it != m_orders.end();) {
    const OpenOrder& order = it->second;
    const auto machine = m_machines.find(it->first);
    const absl::Duration time =
      order.m_wave != 0 ? m_settings.m_maintenanceTime : m_settings.m_moveTime;
    const bool isOver = machine == m_machines.end() ||
                        machine->second.m_state == MachineState::Up ||
                        machine->second.m_state == MachineState::Down;
    if (order.m_isAccepted && isOver &&
        aListSentAt > order.m_sentAt + time + kArrivalMargin) {
      it = CloseOrder(it);
    } else {
      ++it;
    }
  }
}

bool
FleetController::IsIdle(const MachineEntry& aMachine, absl::Duration aFor)
{
  const auto since = m_idleSince.find(aMachine.m_name);
  const auto blocked = m_blockedUntil.find(aMachine.m_name);
  const absl::Time now = m_env.m_loop.Now();
  return aMachine.m_state == MachineState::Up &&
         !m_orders.contains(aMachine.m_name) &&
         (blocked == m_blockedUntil.end() || now >= blocked->second) &&
         since != m_idleSince.end() && now >= since->second + aFor;
}

void
FleetController::BlockAfter(const std::string& aMachine,
                            MachineOutcome aOutcome)
{
  const absl::Time until = m_env.m_loop.Now() + kRefusedOrderRetryDelay;
  m_blockedUntil[aMachine] = until;
  if (aOutcome == MachineOutcome::Rejected ||
      aOutcome == MachineOutcome::Unknown) {
    m_allBlockedUntil = until;
  }
}

}
