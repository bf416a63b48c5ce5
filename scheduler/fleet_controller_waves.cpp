// The part of the fleet controller that carries out maintenance waves. See
// fleet_controller.h.

#include "scheduler/fleet_controller.h"

#include "core/log.h"
#include "core/metrics.h"
#include "jobs/placement.h"
#include "net/event_loop.h"
#include "scheduler/scheduler.h"
#include "scheduler/shard_layout.h"
#include "scheduler/wave_share.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace bramleystall {

namespace {

using nlohmann::json;

/** Share of a wave's duration after which busy machines are evacuated. */
constexpr double kEvacuateAfterShare = 0.1;
/** Share of a wave's duration after which all its machines are evacuated. */
constexpr double kForceAfterShare = 0.6;
/** Share of a pool's machines with long-running tasks that are evacuated at the
 * same time. */
constexpr double kEvacuatedShare = 0.15;

}

void
FleetController::OnWave(const MaintenanceWave& aWave)
{
  WaveState& state = m_waves[aWave.m_number];
  if (state.m_wave.m_number == 0) {
    state.m_knownAt = m_env.m_loop.Now();
  }
  state.m_wave = aWave;
  state.m_machines.assign(static_cast<std::size_t>(m_env.m_layout.Count()), 0);
  for (const std::string& machine : aWave.m_machines) {
    ++state.m_machines[static_cast<std::size_t>(
      m_env.m_layout.OfMachine(machine))];
  }
}

void
FleetController::ApplyWaveProgress(const StoreItem& aItem)
{
  if (aItem.m_isRemoved) {
    return;
  }
  if (!m_hasWaveProgress) {
    m_env.m_scheduler.SetRevision(aItem.m_key, aItem.m_revision);
  }
  try {
    const json body = json::parse(aItem.m_value);
    m_waveProgress[aItem.m_key] = {
      .m_handled = body.at("done").get<std::set<std::string>>(),
      .m_isCompleted = body.value("completed", false)
    };
  } catch (const json::exception& error) {
    LogError(LogPart::Fleet,
             absl::StrCat("cannot decode the wave progress, ignoring it; key=",
                          aItem.m_key,
                          " error=",
                          error.what()));
  }
}

void
FleetController::StoreWaveProgress(const WaveState& aState)
{
  m_env.m_scheduler.Put(
    m_keys.Wave(aState.m_wave.m_number),
    json{ { "done", aState.m_handled }, { "completed", aState.m_isCompleted } }
      .dump());
}

int
FleetController::ShardLimitOf(const WaveState& aState) const
{
  std::vector<int> open = aState.m_machines;
  for (int shard = 0; shard < m_env.m_layout.Count(); ++shard) {
    if (IsCompletedIn(aState, shard)) {
      open[static_cast<std::size_t>(shard)] = 0;
    }
  }
  return WaveShare(open, m_env.m_shard, aState.m_wave.m_maxConcurrent);
}

bool
FleetController::IsInOpenWave(const std::string& aMachine) const
{
  return std::ranges::any_of(m_waves, [&aMachine](const auto& aEntry) {
    const WaveState& state = aEntry.second;
    return !state.m_isCompleted && !state.m_handled.contains(aMachine) &&
           std::ranges::find(state.m_wave.m_machines, aMachine) !=
             state.m_wave.m_machines.end();
  });
}

void
FleetController::WorkOnWaves()
{
  for (auto& [number, state] : m_waves) {
    if (!state.m_isRestored) {
      state.m_isRestored = true;
      const auto stored = m_waveProgress.find(m_keys.Wave(number));
      if (stored != m_waveProgress.end()) {
        state.m_handled = stored->second.m_handled;
        state.m_isCompleted = stored->second.m_isCompleted;
      }
      if (!IsCompletedEverywhere(state)) {
        PublishWave(state, false);
      }
    }
    if (!state.m_isCompleted) {
      WorkOnWave(state);
    }
    if (!state.m_isReported && IsCompletedEverywhere(state)) {
      state.m_isReported = true;
      PublishWave(state, true);
    }
  }
}

void
FleetController::WorkOnWave(WaveState& aState)
{
  const MaintenanceWave& wave = aState.m_wave;
  const int limit = ShardLimitOf(aState);
  int down = 0;
  for (const std::string& name : wave.m_machines) {
    const auto order = m_orders.find(name);
    const auto machine = m_machines.find(name);
    const bool isOrdered =
      order != m_orders.end() && order->second.m_wave == wave.m_number;
    const bool isDown = machine != m_machines.end() &&
                        machine->second.m_state == MachineState::Maintenance;
    const bool mayBeOrdered = m_env.m_loop.Now() < m_earlierOrdersEndAt &&
                              m_earlierOrders.contains(name) &&
                              !aState.m_handled.contains(name);
    down += isOrdered || isDown || mayBeOrdered ? 1 : 0;
  }
  const double elapsed =
    absl::ToDoubleSeconds(m_env.m_loop.Now() - aState.m_knownAt);
  const double urgency =
    wave.m_durationS > 0 ? elapsed / wave.m_durationS : 1.0;
  bool isOpen = false;
  for (const std::string& name : wave.m_machines) {
    const auto machine = m_machines.find(name);
    if (aState.m_handled.contains(name) || IsGone(name)) {
      continue;
    }
    if (machine == m_machines.end()) {
      // A machine of another shard, or one that the lists have lacked so far.
      isOpen |= m_env.m_layout.OfMachine(name) == m_env.m_shard;
      continue;
    }
    isOpen = true;
    const auto blocked = m_blockedUntil.find(name);
    const bool isBlocked =
      blocked != m_blockedUntil.end() && m_env.m_loop.Now() < blocked->second;
    if (m_orders.contains(name) || isBlocked ||
        machine->second.m_state != MachineState::Up) {
      continue;
    }
    Worker* worker = WorkerOn(machine->second);
    if (worker == nullptr &&
        (urgency < kForceAfterShare || m_env.m_scheduler.MayRunTasksOn(name))) {
      // The store does not list the worker, but it may still run tasks.
      continue;
    }
    if (worker != nullptr && !worker->m_tasks.empty()) {
      if (MayEvacuateForMaintenance(machine->second, *worker, urgency)) {
        worker->m_isEvacuating = true;
        m_env.m_scheduler.EvacuateLongRunning(*worker);
      }
      continue;
    }
    if (worker != nullptr && m_env.m_scheduler.MayRunTasks(*worker)) {
      continue;
    }
    if (down < limit && m_env.m_loop.Now() >= m_allBlockedUntil &&
        TakeOrderToken(0)) {
      ++down;
      QueueMaintenance(machine->second, wave.m_number);
    }
  }
  if (!isOpen && down == 0) {
    aState.m_isCompleted = true;
    LogInfo(
      LogPart::Fleet,
      absl::StrCat(
        "wave completed; wave=", wave.m_number, " shard=", m_env.m_shard));
    StoreWaveProgress(aState);
  }
}

bool
FleetController::MayEvacuateForMaintenance(const MachineEntry& aMachine,
                                           const Worker& aWorker,
                                           double aUrgency)
{
  if (aWorker.m_isEvacuating || aUrgency >= kForceAfterShare) {
    return true;
  }
  if (aUrgency < kEvacuateAfterShare ||
      m_env.m_scheduler.Demand(aMachine.m_pool).m_waitingLoad > 0) {
    return false;
  }
  // While there is time, which is until kForceAfterShare, one machine of a pool
  // is evacuated at a time. Moving long-running tasks takes longest, so where
  // many machines have some, more of these are evacuated at once.
  int withLongRunning = 0;
  int evacuating = 0;
  for (const auto& [name, machine] : m_machines) {
    const Worker* other = WorkerOn(machine);
    if (machine.m_pool == aMachine.m_pool && other != nullptr) {
      withLongRunning += HasLongRunning(*other) ? 1 : 0;
      evacuating += other->m_isEvacuating ? 1 : 0;
    }
  }
  const int limit = HasLongRunning(aWorker)
                      ? static_cast<int>(kEvacuatedShare * withLongRunning)
                      : 1;
  return evacuating < std::max(1, limit);
}

void
FleetController::QueueMaintenance(const MachineEntry& aMachine,
                                  std::int64_t aWave)
{
  Worker* worker = WorkerOn(aMachine);
  OpenOrder order;
  order.m_wave = aWave;
  order.m_sentAt = m_env.m_loop.Now();
  if (worker != nullptr) {
    order.m_workerId = worker->m_report.m_id;
    worker->m_isEvacuating = true;
  }
  m_orders[aMachine.m_name] = order;
}

void
FleetController::SendMaintenance(const std::string& aMachine)
{
  m_recentOrders[aMachine] = m_env.m_loop.Now();
  m_env.m_machines.Maintain(
    aMachine,
    m_orders.at(aMachine).m_wave,
    m_authority,
    [this, aMachine, alive = m_alive](MachineOutcome aOutcome) {
      if (*alive) {
        OnMaintenanceOutcome(aMachine, aOutcome);
      }
    });
}

void
FleetController::OnMaintenanceOutcome(const std::string& aMachine,
                                      MachineOutcome aOutcome)
{
  const std::string outcome(NameOf(kMachineOutcomeNames, aOutcome));
  m_env.m_metrics.Count("bramleystall_upkeeps_total",
                        { { "outcome", outcome } });
  const auto found = m_orders.find(aMachine);
  if (found == m_orders.end()) {
    return;
  }
  OpenOrder& order = found->second;
  LogInfo(LogPart::Fleet,
          absl::StrCat("maintenance ordered; machine=",
                       aMachine,
                       " wave=",
                       order.m_wave,
                       " outcome=",
                       outcome));
  if (aOutcome == MachineOutcome::Accepted) {
    order.m_isAccepted = true;
    m_env.m_scheduler.OnWorkerEnded(order.m_workerId);
    MarkHandled(aMachine, order.m_wave);
    return;
  }
  BlockAfter(aMachine, aOutcome);
  if (aOutcome == MachineOutcome::Unknown) {
    // The order may still be carried out. Repeating the call gives the outcome,
    // since it is accepted when the maintenance is already done.
    RetryMaintenance(aMachine);
    return;
  }
  if (aOutcome == MachineOutcome::NotInWave ||
      aOutcome == MachineOutcome::Invalid) {
    MarkHandled(aMachine, order.m_wave);
  }
  CloseOrder(found);
}

void
FleetController::RetryMaintenance(const std::string& aMachine)
{
  m_env.m_loop.After(kRefusedOrderRetryDelay,
                     [this, aMachine, alive = m_alive] {
                       if (!*alive || !m_orders.contains(aMachine)) {
                         return;
                       }
                       if (MayOrder()) {
                         RepeatMaintenance(aMachine);
                       } else {
                         RetryMaintenance(aMachine);
                       }
                     });
}

void
FleetController::RepeatMaintenance(const std::string& aMachine)
{
  // A further write, even of the same names: the next owner may have read the
  // earlier one.
  m_recentOrdersText.clear();
  RecordOrders();
  m_env.m_scheduler.FlushSoon();
  m_env.m_scheduler.AfterStored([this, aMachine, alive = m_alive] {
    if (!*alive || !m_orders.contains(aMachine)) {
      return;
    }
    if (MayOrder()) {
      SendMaintenance(aMachine);
    } else {
      RetryMaintenance(aMachine);
    }
  });
}

void
FleetController::MarkHandled(const std::string& aMachine, std::int64_t aWave)
{
  const auto found = m_waves.find(aWave);
  if (found == m_waves.end()) {
    return;
  }
  found->second.m_handled.insert(aMachine);
  StoreWaveProgress(found->second);
}

bool
FleetController::IsCompletedIn(const WaveState& aState, int aShard) const
{
  if (aShard == m_env.m_shard) {
    return aState.m_isCompleted;
  }
  const auto stored =
    m_waveProgress.find(keys::ShardKeys(aShard).Wave(aState.m_wave.m_number));
  return stored != m_waveProgress.end() && stored->second.m_isCompleted;
}

bool
FleetController::IsCompletedEverywhere(const WaveState& aState) const
{
  for (int shard = 0; shard < m_env.m_layout.Count(); ++shard) {
    if (!IsCompletedIn(aState, shard)) {
      return false;
    }
  }
  return true;
}

void
FleetController::PublishWave(const WaveState& aState, bool aIsCompleted)
{
  if (m_env.m_shard != 0) {
    // A single writer, so that a late write cannot replace a newer status.
    return;
  }
  LogInfo(LogPart::Fleet,
          absl::StrCat("publishing wave status; wave=",
                       aState.m_wave.m_number,
                       " completed=",
                       aIsCompleted));
  m_env.m_scheduler.Put(m_env.m_waveStatusKey(aState.m_wave.m_number),
                        m_env.m_encodeWaveStatus(aIsCompleted));
}

}
