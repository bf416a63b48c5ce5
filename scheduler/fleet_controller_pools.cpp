// The part of the fleet controller that sizes the pools and moves machines
// between them. See fleet_controller.h.

#include "scheduler/fleet_controller.h"

#include "core/log.h"
#include "core/metrics.h"
#include "jobs/job_configuration.h"
#include "net/event_loop.h"
#include "scheduler/scheduler.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace bramleystall {

namespace {

/**
 * An idle machine goes to the standby pool after this time. A move there and
 * back costs as much as 2.3 s of idling in a pool.
 */
constexpr absl::Duration kIdleBeforeStandby = absl::Milliseconds(1200);
/** An idle machine may go to a pool that is short after this time. */
constexpr absl::Duration kIdleBeforeMove = absl::Milliseconds(100);
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
  m_recentOrders[aMachine] = m_env.m_loop.Now();
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
  CloseOrder(found);
}

}
