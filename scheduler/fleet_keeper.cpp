#include "scheduler/fleet_keeper.h"

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

constexpr absl::Duration kStepInterval = absl::Milliseconds(60);
/** Machines are listed at most this often; each reading counts as a call. */
constexpr absl::Duration kListInterval = absl::Milliseconds(1000);
/** Machines on one page of the list. */
constexpr std::size_t kMachinesPerPage = 200;
/** Share of the platform's rate of readings that the lists use. */
constexpr double kReadRateShare = 0.5;
/** An accepted order whose worker has not come is looked up in the list. */
constexpr absl::Duration kArrivalMargin = absl::Milliseconds(1500);
/** An upkeep counts as over only this long after its stated time. */
constexpr absl::Duration kUpkeepMargin = absl::Milliseconds(300);
/**
 * An idle machine goes to the standby pool after this time. A move there and
 * back costs as much as 2.3 s of standing in a pool.
 */
constexpr absl::Duration kIdleBeforeStandby = absl::Milliseconds(1200);
/** An idle machine may go to a pool in need after this time. */
constexpr absl::Duration kIdleBeforeMove = absl::Milliseconds(100);
/** Added to the time in which two holders do not order the same machine. */
constexpr absl::Duration kTurnMargin = absl::Milliseconds(300);
/** Share of the platform's rate of orders that is used. */
constexpr double kOrderRateShare = 0.85;
/** Orders that were not used are kept for this time. */
constexpr absl::Duration kOrderBurst = absl::Milliseconds(500);
/** Orders that are kept for pools in need when machines go to standby. */
constexpr double kStandbyReserve = 10;
/** Machines of a pool beyond its measured load. */
constexpr double kHeadroom = 1.1;
/**
 * Weight of load that waits: a rise goes on while machines are on their way,
 * so more will wait when they come.
 */
constexpr double kWaitingWeight = 1.6;

/** Interval of the log lines on pools that differ from their desired size. */
constexpr absl::Duration kPoolLogInterval = absl::Seconds(1);

}

FleetKeeper::FleetKeeper(Environment aEnvironment,
                         const FleetSettings& aSettings,
                         MachineAuthority aAuthority)
  : m_env(std::move(aEnvironment))
  , m_settings(aSettings)
  , m_keys(m_env.m_shard)
  , m_authority(std::move(aAuthority))
  , m_listInterval(ListInterval())
  // The owners' first lists are spread over one interval.
  , m_listedAt(m_env.m_loop.Now() - m_listInterval +
               (m_listInterval - kListInterval) * m_env.m_shard /
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
  Step();
}

FleetKeeper::~FleetKeeper()
{
  *m_alive = false;
}

bool
FleetKeeper::MayOrder() const
{
  return m_hasWaveProgress && m_hasMachineOrders && m_env.m_holdsLease();
}

void
FleetKeeper::RefillTokens()
{
  const absl::Time now = m_env.m_loop.Now();
  const double rate = m_settings.m_ordersPerSecond * kOrderRateShare;
  if (m_tokensAt != absl::InfinitePast()) {
    m_orderTokens += rate * absl::ToDoubleSeconds(now - m_tokensAt);
  }
  m_orderTokens =
    std::min(m_orderTokens, rate * absl::ToDoubleSeconds(kOrderBurst));
  m_tokensAt = now;
}

bool
FleetKeeper::TakeToken(double aReserve)
{
  if (m_orderTokens < 1 + aReserve) {
    return false;
  }
  m_orderTokens -= 1;
  return true;
}

void
FleetKeeper::ReadMachineOrders()
{
  m_env.m_store.Get(
    m_keys.MachineOrders(), [this, alive = m_alive](const ReadResult& aResult) {
      if (!*alive) {
        return;
      }
      if (aResult.m_status != ReadStatus::Ok) {
        m_env.m_loop.After(kStepInterval, [this, alive] {
          if (*alive) {
            ReadMachineOrders();
          }
        });
        return;
      }
      for (const StoreItem& item : aResult.m_items) {
        m_env.m_scheduler.Know(item.m_key, item.m_revision);
        const json machines = json::parse(item.m_value, nullptr, false);
        if (!machines.is_array()) {
          LogError(LogPart::Fleet, "the recent machine orders are unreadable.");
          continue;
        }
        // Another holder's order may be as new as its last renewal.
        for (const json& machine : machines) {
          m_pauseUntil[machine.get<std::string>()] =
            m_env.m_loop.Now() + m_settings.m_machineTurn + kTurnMargin;
        }
      }
      m_hasMachineOrders = true;
    });
}

void
FleetKeeper::RecordOrders()
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
FleetKeeper::SendOrders()
{
  std::vector<std::string> unsent;
  for (const auto& [name, order] : m_orders) {
    if (!order.m_isCalled && order.m_sentAt == m_env.m_loop.Now()) {
      unsent.push_back(name);
      m_recentOrders[name] = m_env.m_loop.Now();
    }
  }
  RecordOrders();
  if (unsent.empty()) {
    return;
  }
  // A successor has to know which machines it must leave alone for a while.
  m_env.m_scheduler.Hurry();
  m_env.m_scheduler.AfterStored(
    [this, unsent = std::move(unsent), alive = m_alive] {
      if (!*alive) {
        return;
      }
      for (const std::string& name : unsent) {
        const auto found = m_orders.find(name);
        if (found == m_orders.end() || found->second.m_isCalled) {
          continue;
        }
        if (!MayOrder()) {
          m_env.m_scheduler.SetEvacuating(found->second.m_workerId, false);
          m_orders.erase(found);
          continue;
        }
        found->second.m_isCalled = true;
        found->second.m_sentAt = m_env.m_loop.Now();
        if (found->second.m_wave != 0) {
          CallMaintain(name);
        } else {
          CallMove(name);
        }
      }
    });
}

void
FleetKeeper::Step()
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
    RefillTokens();
    WorkOnWaves();
    Rebalance();
    SendOrders();
  } else {
    m_env.m_scheduler.SetShortPools({});
  }
  m_env.m_loop.After(kStepInterval, [this, alive = m_alive] {
    if (*alive) {
      Step();
    }
  });
}

absl::Duration
FleetKeeper::ListInterval() const
{
  const std::size_t pages =
    1 + m_env.m_layout.MachineCount() / kMachinesPerPage;
  const double rate =
    std::max(1.0, m_settings.m_readsPerSecond * kReadRateShare);
  return std::max(
    kListInterval,
    absl::Seconds(static_cast<double>(pages) * m_env.m_layout.Count() / rate));
}

void
FleetKeeper::ListMachines()
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
FleetKeeper::OnListed(absl::Time aSentAt, MachineListResult aResult)
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

Worker*
FleetKeeper::WorkerOn(const MachineEntry& aMachine)
{
  return m_env.m_scheduler.WorkerOnMachine(aMachine.m_name);
}

void
FleetKeeper::CloseOrders()
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
    const bool isTimeOver =
      order.m_wave == 0 ||
      now >= order.m_sentAt + m_settings.m_maintenanceTime + kUpkeepMargin;
    if (hasArrived && isTimeOver) {
      machine->second.m_pool = worker->m_report.m_pool;
      machine->second.m_state = MachineState::Up;
      it = m_orders.erase(it);
    } else {
      ++it;
    }
  }
}

bool
FleetKeeper::IsIdle(const MachineEntry& aMachine, absl::Duration aFor)
{
  const auto since = m_idleSince.find(aMachine.m_name);
  const auto pause = m_pauseUntil.find(aMachine.m_name);
  const absl::Time now = m_env.m_loop.Now();
  return aMachine.m_state == MachineState::Up &&
         !m_orders.contains(aMachine.m_name) &&
         (pause == m_pauseUntil.end() || now >= pause->second) &&
         since != m_idleSince.end() && now >= since->second + aFor;
}

std::map<std::string, FleetKeeper::PoolLoad>
FleetKeeper::MeasurePools()
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
    // Arrivals tell of a rise before their tasks wait for a worker.
    const double load = std::max(m_env.m_scheduler.UsedLoad(name) +
                                   kWaitingWeight * demand.m_waiting,
                                 m_env.m_scheduler.ArrivingLoad(name));
    const auto machinesFor = [&demand](double aLoad) {
      return std::max(demand.m_minimumWorkers,
                      static_cast<int>(std::ceil(aLoad * kHeadroom)));
    };
    pool.m_desired = machinesFor(load);
    pool.m_wanted = machinesFor(load + demand.m_lateWaiting);
    if (demand.m_hasWaitingLongRunning) {
      // What keeps it waiting may be its limit of tasks on one worker.
      pool.m_desired = std::max(pool.m_desired, pool.m_machines + 1);
      pool.m_wanted = std::max(pool.m_wanted, pool.m_desired);
    }
  }
  return pools;
}

void
FleetKeeper::LogPools(const std::map<std::string, PoolLoad>& aPools)
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
            absl::StrCat("pool off its size; pool=",
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
                         demand.m_waiting,
                         " late=",
                         demand.m_lateWaiting));
  }
}

const MachineEntry*
FleetKeeper::FindSource(const std::string& aPool,
                        std::map<std::string, PoolLoad>& aPools)
{
  const MachineEntry* best = nullptr;
  for (const auto& [name, machine] : m_machines) {
    const auto from = aPools.find(machine.m_pool);
    if (from == aPools.end() || machine.m_pool == aPool) {
      continue;
    }
    if (from->second.m_isStandby) {
      const auto pause = m_pauseUntil.find(name);
      if (!m_orders.contains(name) && (pause == m_pauseUntil.end() ||
                                       m_env.m_loop.Now() >= pause->second)) {
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
FleetKeeper::Fill(const std::string& aPool,
                  int aNeed,
                  std::map<std::string, PoolLoad>& aPools)
{
  PoolLoad& pool = aPools[aPool];
  while (aNeed > pool.m_machines + pool.m_incoming) {
    const MachineEntry* source = m_env.m_loop.Now() < m_pauseAllUntil
                                   ? nullptr
                                   : FindSource(aPool, aPools);
    if (source == nullptr || !TakeToken(0)) {
      return false;
    }
    --aPools[source->m_pool].m_machines;
    ++pool.m_incoming;
    Move(*source, aPool);
  }
  return true;
}

void
FleetKeeper::Rebalance()
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
  // Others need not make way for what can never be placed.
  std::erase_if(shortPools, [this](const std::string& aPool) {
    return !m_env.m_scheduler.Demand(aPool).m_hasWaitingInTime;
  });
  m_env.m_scheduler.SetShortPools(std::move(shortPools));
  for (auto& [name, pool] : pools) {
    if (!isAnyShort && !pool.m_isStandby) {
      isAnyShort = !Fill(name, pool.m_wanted, pools);
    }
  }
  if (standby.empty() || isAnyShort || m_env.m_loop.Now() < m_pauseAllUntil) {
    return;
  }
  for (const auto& [name, machine] : m_machines) {
    PoolLoad& pool = pools[machine.m_pool];
    if (!pool.m_isStandby && pool.m_machines > pool.m_wanted &&
        IsIdle(machine, kIdleBeforeStandby) && !IsInOpenWave(name) &&
        TakeToken(kStandbyReserve)) {
      --pool.m_machines;
      Move(machine, standby);
    }
  }
}

void
FleetKeeper::Move(const MachineEntry& aMachine, const std::string& aPool)
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
FleetKeeper::CallMove(const std::string& aMachine)
{
  m_env.m_machines.Move(
    aMachine,
    m_orders.at(aMachine).m_pool,
    m_authority,
    [this, aMachine, alive = m_alive](MachineOutcome aOutcome) {
      if (*alive) {
        OnMoved(aMachine, aOutcome);
      }
    });
}

void
FleetKeeper::OnMoved(const std::string& aMachine, MachineOutcome aOutcome)
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
    // Without a response the list tells where the machine is.
    order.m_isAccepted = true;
    if (aOutcome == MachineOutcome::Unknown) {
      PauseAfter(aMachine, aOutcome);
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
  PauseAfter(aMachine, aOutcome);
  m_env.m_scheduler.SetEvacuating(order.m_workerId, false);
  m_orders.erase(found);
}

void
FleetKeeper::PauseAfter(const std::string& aMachine, MachineOutcome aOutcome)
{
  const absl::Time until = m_env.m_loop.Now() + kRefusedPause;
  m_pauseUntil[aMachine] = until;
  if (aOutcome == MachineOutcome::Rejected ||
      aOutcome == MachineOutcome::Unknown) {
    m_pauseAllUntil = until;
  }
}

}
