// The part of the fleet keeper that carries out maintenance waves. See
// fleet_keeper.h.

#include "scheduler/fleet_keeper.h"

#include "core/log.h"
#include "core/metrics.h"
#include "jobs/job.h"
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

/** Share of a wave's time after which machines with tasks are emptied. */
constexpr double kEvacuateFrom = 0.1;
/** Share of a wave's time after which its machines are emptied in any case. */
constexpr double kForceFrom = 0.6;
/** Share of a pool's machines with long-running tasks emptied at once. */
constexpr double kEvacuatedShare = 0.15;

bool
HasLongRunning(const Worker& aWorker)
{
  return std::ranges::any_of(aWorker.m_tasks, [](const Task* aTask) {
    return aTask->m_job->Spec(*aTask).m_isLongRunning;
  });
}

}

void
FleetKeeper::OnWave(const MaintenanceWave& aWave)
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
FleetKeeper::ApplyWaveProgress(const StoreItem& aItem)
{
  if (aItem.m_isRemoved) {
    return;
  }
  if (!m_hasWaveProgress) {
    m_env.m_scheduler.Know(aItem.m_key, aItem.m_revision);
  }
  const json body = json::parse(aItem.m_value, nullptr, false);
  if (!body.is_object() || !body.contains("done")) {
    LogError(LogPart::Fleet, absl::StrCat("unreadable ", aItem.m_key));
    return;
  }
  WaveProgress& progress = m_waveProgress[aItem.m_key];
  progress.m_done = body["done"].get<std::set<std::string>>();
  progress.m_isCompleted = body.value("completed", false);
}

void
FleetKeeper::StoreWaveProgress(const WaveState& aState)
{
  m_env.m_scheduler.Put(
    m_keys.Wave(aState.m_wave.m_number),
    json{ { "done", aState.m_done }, { "completed", aState.m_isCompleted } }
      .dump());
}

int
FleetKeeper::LimitOf(const WaveState& aState) const
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
FleetKeeper::IsInOpenWave(const std::string& aMachine) const
{
  return std::ranges::any_of(m_waves, [&aMachine](const auto& aEntry) {
    const WaveState& state = aEntry.second;
    return !state.m_isCompleted && !state.m_done.contains(aMachine) &&
           std::ranges::find(state.m_wave.m_machines, aMachine) !=
             state.m_wave.m_machines.end();
  });
}

void
FleetKeeper::WorkOnWaves()
{
  for (auto& [number, state] : m_waves) {
    if (!state.m_hasProgress) {
      state.m_hasProgress = true;
      const auto stored = m_waveProgress.find(m_keys.Wave(number));
      if (stored != m_waveProgress.end()) {
        state.m_done = stored->second.m_done;
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
FleetKeeper::WorkOnWave(WaveState& aState)
{
  const MaintenanceWave& wave = aState.m_wave;
  const int limit = LimitOf(aState);
  int down = 0;
  for (const std::string& name : wave.m_machines) {
    const auto order = m_orders.find(name);
    const auto machine = m_machines.find(name);
    const bool isOrdered =
      order != m_orders.end() && order->second.m_wave == wave.m_number;
    const bool isDown = machine != m_machines.end() &&
                        machine->second.m_state == MachineState::Maintenance;
    down += isOrdered || isDown ? 1 : 0;
  }
  const double elapsed =
    absl::ToDoubleSeconds(m_env.m_loop.Now() - aState.m_knownAt);
  const double urgency =
    wave.m_durationS > 0 ? elapsed / wave.m_durationS : 1.0;
  bool isOpen = false;
  for (const std::string& name : wave.m_machines) {
    const auto machine = m_machines.find(name);
    if (machine == m_machines.end() || aState.m_done.contains(name)) {
      continue;
    }
    isOpen = true;
    const auto pause = m_pauseUntil.find(name);
    const bool isPaused =
      pause != m_pauseUntil.end() && m_env.m_loop.Now() < pause->second;
    if (m_orders.contains(name) || isPaused ||
        machine->second.m_state != MachineState::Up) {
      continue;
    }
    Worker* worker = WorkerOn(machine->second);
    if (worker == nullptr &&
        (urgency < kForceFrom || m_env.m_scheduler.MayRunTasksOn(name))) {
      // The store does not list the worker, which may be at work all the same.
      continue;
    }
    if (worker != nullptr && !worker->m_tasks.empty()) {
      if (MayTakeForUpkeep(machine->second, *worker, urgency)) {
        worker->m_isEvacuating = true;
        m_env.m_scheduler.EvacuateLongRunning(*worker);
      }
      continue;
    }
    if (worker != nullptr && m_env.m_scheduler.MayRunTasks(*worker)) {
      continue;
    }
    if (down < limit && m_env.m_loop.Now() >= m_pauseAllUntil && TakeToken(0)) {
      ++down;
      Maintain(machine->second, wave.m_number);
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
FleetKeeper::MayTakeForUpkeep(const MachineEntry& aMachine,
                              const Worker& aWorker,
                              double aUrgency)
{
  if (aWorker.m_isEvacuating || aUrgency >= kForceFrom) {
    return true;
  }
  if (aUrgency < kEvacuateFrom ||
      m_env.m_scheduler.Demand(aMachine.m_pool).m_waiting > 0) {
    return false;
  }
  // One machine of a pool at a time is emptied while there is time. Moving
  // long-running tasks takes longest, so more begin with these where many
  // machines have some.
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
FleetKeeper::Maintain(const MachineEntry& aMachine, std::int64_t aWave)
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
FleetKeeper::CallMaintain(const std::string& aMachine)
{
  m_env.m_machines.Maintain(
    aMachine,
    m_orders.at(aMachine).m_wave,
    m_authority,
    [this, aMachine, alive = m_alive](MachineOutcome aOutcome) {
      if (*alive) {
        OnMaintained(aMachine, aOutcome);
      }
    });
}

void
FleetKeeper::OnMaintained(const std::string& aMachine, MachineOutcome aOutcome)
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
          absl::StrCat("upkeep ordered; machine=",
                       aMachine,
                       " wave=",
                       order.m_wave,
                       " outcome=",
                       outcome));
  if (aOutcome == MachineOutcome::Accepted) {
    order.m_isAccepted = true;
    m_env.m_scheduler.OnWorkerEnded(order.m_workerId);
    NoteDone(aMachine, order.m_wave);
    return;
  }
  PauseAfter(aMachine, aOutcome);
  if (aOutcome == MachineOutcome::Unknown) {
    // It may still be carried out; the same call again tells, since it is
    // accepted when the upkeep is already done.
    m_env.m_loop.After(kRefusedPause, [this, aMachine, alive = m_alive] {
      const auto open = *alive ? m_orders.find(aMachine) : m_orders.end();
      if (!*alive || open == m_orders.end() || !MayOrder()) {
        return;
      }
      CallMaintain(aMachine);
    });
    return;
  }
  if (aOutcome == MachineOutcome::NotInWave ||
      aOutcome == MachineOutcome::Invalid) {
    NoteDone(aMachine, order.m_wave);
  }
  m_env.m_scheduler.SetEvacuating(order.m_workerId, false);
  m_orders.erase(found);
}

void
FleetKeeper::NoteDone(const std::string& aMachine, std::int64_t aWave)
{
  const auto found = m_waves.find(aWave);
  if (found == m_waves.end()) {
    return;
  }
  found->second.m_done.insert(aMachine);
  StoreWaveProgress(found->second);
}

bool
FleetKeeper::IsCompletedIn(const WaveState& aState, int aShard) const
{
  if (aShard == m_env.m_shard) {
    return aState.m_isCompleted;
  }
  const auto stored =
    m_waveProgress.find(keys::ShardKeys(aShard).Wave(aState.m_wave.m_number));
  return stored != m_waveProgress.end() && stored->second.m_isCompleted;
}

bool
FleetKeeper::IsCompletedEverywhere(const WaveState& aState) const
{
  for (int shard = 0; shard < m_env.m_layout.Count(); ++shard) {
    if (!IsCompletedIn(aState, shard)) {
      return false;
    }
  }
  return true;
}

void
FleetKeeper::PublishWave(const WaveState& aState, bool aIsCompleted)
{
  if (m_env.m_shard != 0) {
    // One writer, so that a late report cannot undo a newer one.
    return;
  }
  LogInfo(LogPart::Fleet,
          absl::StrCat("wave reported; wave=",
                       aState.m_wave.m_number,
                       " completed=",
                       aIsCompleted));
  m_env.m_scheduler.Put(m_env.m_waveStatusKey(aState.m_wave.m_number),
                        m_env.m_encodeWaveStatus(aIsCompleted));
}

}
