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
#include <cmath>
#include <utility>

namespace bramleystall {

namespace {

using nlohmann::json;

constexpr absl::Duration kCycleInterval = absl::Milliseconds(60);
/** Shortest time between lists; each read counts as a call. */
constexpr absl::Duration kMinListInterval = absl::Milliseconds(1000);
/** Machines on one page of the list. */
constexpr std::size_t kMachinesPerPage = 200;
/** Share of the platform's read rate that the lists use. */
constexpr double kReadRateShare = 0.5;
/**
 * Margin after the expected end of an accepted order. If its worker has not
 * been listed by then, the machine list decides whether the order is closed.
 */
constexpr absl::Duration kArrivalMargin = absl::Milliseconds(1500);
/** Maintenance counts as over only this long after its configured time. */
constexpr absl::Duration kMaintenanceMargin = absl::Milliseconds(300);
/**
 * An idle machine goes to the standby pool after this time. A move there and
 * back costs as much as 2.3 s of idling in a pool.
 */
constexpr absl::Duration kIdleBeforeStandby = absl::Milliseconds(1200);
/** An idle machine may go to a pool that is short after this time. */
constexpr absl::Duration kIdleBeforeMove = absl::Milliseconds(100);
/** Margin on the time between orders of two owners for one machine. */
constexpr absl::Duration kTurnMargin = absl::Milliseconds(300);
/** Share of the platform's order rate that is used. */
constexpr double kOrderRateShare = 0.85;
/** Unused order tokens accumulate for at most this long. */
constexpr absl::Duration kOrderBurst = absl::Milliseconds(500);
/** Order tokens that moves to standby leave for pools that are short. */
constexpr double kStandbyTokenReserve = 10;
/** Ratio of a pool's machines to its measured load. */
constexpr double kHeadroomFactor = 1.1;
/**
 * Weight of the waiting load: the load keeps rising while machines are on
 * their way, so more is waiting when they arrive.
 */
constexpr double kWaitingWeight = 1.6;

/** Interval of the log lines on pools that differ from the desired size. */
constexpr absl::Duration kPoolLogInterval = absl::Seconds(1);

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
        for (const json& machine : machines) {
          if (machine.is_string()) {
            m_blockedUntil[machine.get<std::string>()] =
              m_env.m_loop.Now() + m_settings.m_machineTurn + kTurnMargin;
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
  std::erase_if(m_recentOrders,
                [limit](const auto& aEntry) { return aEntry.second < limit; });
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
          m_env.m_scheduler.SetEvacuating(found->second.m_workerId, false);
          m_orders.erase(found);
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
  CloseOrders();
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
  m_machines.clear();
  for (MachineEntry& entry : aResult.m_machines) {
    if (m_env.m_layout.OfMachine(entry.m_name) != m_env.m_shard) {
      continue;
    }
    const std::string name = entry.m_name;
    m_machines[name] = std::move(entry);
  }
  m_env.m_scheduler.SetMachineCount(UsableMachineCount());
  std::erase_if(m_orders, [&](const auto& aEntry) {
    const auto& [name, order] = aEntry;
    const auto found = m_machines.find(name);
    const absl::Duration time =
      order.m_wave != 0 ? m_settings.m_maintenanceTime : m_settings.m_moveTime;
    const bool isOver = found == m_machines.end() ||
                        found->second.m_state == MachineState::Up ||
                        found->second.m_state == MachineState::Down;
    return order.m_isAccepted && isOver &&
           aSentAt > order.m_sentAt + time + kArrivalMargin;
  });
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

void
FleetController::CloseOrders()
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
      it = m_orders.erase(it);
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

std::map<std::string, FleetController::PoolLoad>
FleetController::MeasurePools()
{
  std::map<std::string, PoolLoad> pools;
  for (const auto& [name, spec] : m_env.m_configuration().m_pools) {
    pools[name].m_isStandby = spec.m_isStandby;
  }
  for (const auto& [name, machine] : m_machines) {
    const auto order = m_orders.find(name);
    if (order != m_orders.end() && order->second.m_wave == 0) {
      ++pools[order->second.m_pool].m_incoming;
      continue;
    }
    const Worker* worker = WorkerOn(machine);
    const bool isLeaving =
      order != m_orders.end() || (worker != nullptr && worker->m_isEvacuating);
    if (machine.m_state == MachineState::Up && !isLeaving) {
      ++pools[machine.m_pool].m_machines;
    }
  }
  for (auto& [name, pool] : pools) {
    const PoolDemand demand = m_env.m_scheduler.Demand(name);
    // Arrivals show a rise in load before their tasks wait for a worker.
    const double load = std::max(m_env.m_scheduler.UsedLoad(name) +
                                   kWaitingWeight * demand.m_waitingLoad,
                                 m_env.m_scheduler.ArrivingLoad(name));
    const auto machinesFor = [&demand](double aLoad) {
      return std::max(demand.m_minimumWorkers,
                      static_cast<int>(std::ceil(aLoad * kHeadroomFactor)));
    };
    pool.m_desired = machinesFor(load);
    pool.m_desiredWithLate = machinesFor(load + demand.m_lateWaitingLoad);
    if (demand.m_hasWaitingLongRunning) {
      // The limit of tasks per worker, rather than a lack of capacity, may keep
      // the long-running task waiting.
      pool.m_desired = std::max(pool.m_desired, pool.m_machines + 1);
      pool.m_desiredWithLate = std::max(pool.m_desiredWithLate, pool.m_desired);
    }
  }
  return pools;
}

void
FleetController::LogPools(const std::map<std::string, PoolLoad>& aPools)
{
  if (m_env.m_loop.Now() < m_poolsLoggedAt + kPoolLogInterval) {
    return;
  }
  m_poolsLoggedAt = m_env.m_loop.Now();
  for (const auto& [name, pool] : aPools) {
    if (pool.m_isStandby || pool.m_desired == pool.m_machines) {
      continue;
    }
    const PoolDemand demand = m_env.m_scheduler.Demand(name);
    LogInfo(LogPart::Fleet,
            absl::StrCat("pool differs from its desired size; pool=",
                         name,
                         " machines=",
                         pool.m_machines,
                         " incoming=",
                         pool.m_incoming,
                         " desired=",
                         pool.m_desired,
                         " used=",
                         m_env.m_scheduler.UsedLoad(name),
                         " waiting=",
                         demand.m_waitingLoad,
                         " late=",
                         demand.m_lateWaitingLoad));
  }
}

const MachineEntry*
FleetController::FindSource(const std::string& aPool,
                            std::map<std::string, PoolLoad>& aPools)
{
  const MachineEntry* best = nullptr;
  for (const auto& [name, machine] : m_machines) {
    const auto from = aPools.find(machine.m_pool);
    if (from == aPools.end() || machine.m_pool == aPool) {
      continue;
    }
    if (from->second.m_isStandby) {
      const auto blocked = m_blockedUntil.find(name);
      if (!m_orders.contains(name) && (blocked == m_blockedUntil.end() ||
                                       m_env.m_loop.Now() >= blocked->second)) {
        return &machine;
      }
      continue;
    }
    if (best == nullptr && from->second.m_machines > from->second.m_desired &&
        IsIdle(machine, kIdleBeforeMove)) {
      best = &machine;
    }
  }
  return best;
}

bool
FleetController::Fill(const std::string& aPool,
                      int aNeed,
                      std::map<std::string, PoolLoad>& aPools)
{
  PoolLoad& pool = aPools[aPool];
  while (aNeed > pool.m_machines + pool.m_incoming) {
    const MachineEntry* source = m_env.m_loop.Now() < m_allBlockedUntil
                                   ? nullptr
                                   : FindSource(aPool, aPools);
    if (source == nullptr || !TakeOrderToken(0)) {
      return false;
    }
    --aPools[source->m_pool].m_machines;
    ++pool.m_incoming;
    QueueMove(*source, aPool);
  }
  return true;
}

void
FleetController::Rebalance()
{
  std::map<std::string, PoolLoad> pools = MeasurePools();
  LogPools(pools);
  std::string standby;
  for (const auto& [name, pool] : pools) {
    if (pool.m_isStandby) {
      standby = name;
    }
  }
  std::set<std::string> shortPools;
  for (auto& [name, pool] : pools) {
    if (!pool.m_isStandby && !Fill(name, pool.m_desired, pools)) {
      shortPools.insert(name);
    }
  }
  bool isAnyShort = !shortPools.empty();
  // Late jobs need not wait for jobs that can never be placed.
  std::erase_if(shortPools, [this](const std::string& aPool) {
    return !m_env.m_scheduler.Demand(aPool).m_hasWaitingInTime;
  });
  m_env.m_scheduler.SetShortPools(std::move(shortPools));
  for (auto& [name, pool] : pools) {
    if (!isAnyShort && !pool.m_isStandby) {
      isAnyShort = !Fill(name, pool.m_desiredWithLate, pools);
    }
  }
  if (standby.empty() || isAnyShort || m_env.m_loop.Now() < m_allBlockedUntil) {
    return;
  }
  for (const auto& [name, machine] : m_machines) {
    PoolLoad& pool = pools[machine.m_pool];
    if (!pool.m_isStandby && pool.m_machines > pool.m_desiredWithLate &&
        IsIdle(machine, kIdleBeforeStandby) && !IsInOpenWave(name) &&
        TakeOrderToken(kStandbyTokenReserve)) {
      --pool.m_machines;
      QueueMove(machine, standby);
    }
  }
}

void
FleetController::QueueMove(const MachineEntry& aMachine,
                           const std::string& aPool)
{
  OpenOrder order;
  order.m_pool = aPool;
  order.m_sentAt = m_env.m_loop.Now();
  Worker* worker = WorkerOn(aMachine);
  if (worker != nullptr) {
    order.m_workerId = worker->m_report.m_id;
    worker->m_isEvacuating = true;
  }
  m_orders[aMachine.m_name] = order;
}

void
FleetController::SendMove(const std::string& aMachine)
{
  m_env.m_machines.Move(
    aMachine,
    m_orders.at(aMachine).m_pool,
    m_authority,
    [this, aMachine, alive = m_alive](MachineOutcome aOutcome) {
      if (*alive) {
        OnMoveOutcome(aMachine, aOutcome);
      }
    });
}

void
FleetController::OnMoveOutcome(const std::string& aMachine,
                               MachineOutcome aOutcome)
{
  const std::string outcome(NameOf(kMachineOutcomeNames, aOutcome));
  m_env.m_metrics.Count("bramleystall_moves_total", { { "outcome", outcome } });
  const auto found = m_orders.find(aMachine);
  if (found == m_orders.end()) {
    return;
  }
  OpenOrder& order = found->second;
  LogInfo(LogPart::Fleet,
          absl::StrCat("move ordered; machine=",
                       aMachine,
                       " pool=",
                       order.m_pool,
                       " outcome=",
                       outcome));
  if (aOutcome == MachineOutcome::Accepted ||
      aOutcome == MachineOutcome::Unknown) {
    // Without a response, the list shows where the machine is.
    order.m_isAccepted = true;
    if (aOutcome == MachineOutcome::Unknown) {
      BlockAfter(aMachine, aOutcome);
    } else {
      m_env.m_scheduler.OnWorkerEnded(order.m_workerId);
      const auto machine = m_machines.find(aMachine);
      if (machine != m_machines.end()) {
        machine->second.m_state = MachineState::Moving;
        machine->second.m_pool = order.m_pool;
      }
    }
    return;
  }
  BlockAfter(aMachine, aOutcome);
  m_env.m_scheduler.SetEvacuating(order.m_workerId, false);
  m_orders.erase(found);
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
