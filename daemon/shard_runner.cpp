#include "daemon/shard_runner.h"

#include "core/error.h"
#include "core/job_settings.h"
#include "core/log.h"
#include "net/event_loop.h"
#include "platform/kv_store_client.h"
#include "platform/machine_client.h"
#include "platform/wire_codec.h"
#include "platform/worker_client.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace bramleystall {

namespace {

/**
 * Worker entries that change within this time are read by one request to the
 * store. Each moved machine changes two entries, and each owner watches all of
 * them.
 */
constexpr absl::Duration kWorkerWatchDelay = absl::Milliseconds(80);

}

ShardRunner::ShardRunner(Environment aEnvironment,
                         int aShard,
                         StateChart aChart)
  : m_env(std::move(aEnvironment))
  , m_shard(aShard)
  , m_keys(aShard)
  , m_ownership(
      m_env.m_loop,
      m_env.m_store,
      m_keys,
      std::move(aChart),
      m_env.m_settings.m_daemon,
      m_env.m_priorityDelay,
      [this](const OwnershipGrant& aGrant) { Start(aGrant); },
      [this](const std::string&) { Stop(); },
      [this] { WhenStored([this] { m_ownership.Release(); }); })
{
}

void
ShardRunner::WhenStored(const std::function<void()>& aHook)
{
  if (!m_scheduler) {
    aHook();
    return;
  }
  // The hook may end the ownership and with it the scheduler, inside which this
  // callback runs.
  m_scheduler->AfterStored(
    [this, aHook] { m_env.m_loop.After(absl::ZeroDuration(), aHook); });
  m_env.m_loop.After(kMaxHandoverTime, aHook);
}

void
ShardRunner::OnConfigurationChanged()
{
  if (m_scheduler) {
    m_scheduler->OnConfigurationChanged();
  }
}

void
ShardRunner::OnWave(const MaintenanceWave& aWave)
{
  if (m_fleet) {
    m_fleet->OnWave(aWave);
  }
}

void
ShardRunner::OnWorkerItem(const StoreItem& aItem)
{
  const std::string id =
    aItem.m_key.substr(std::string(wire::kWorkerPrefix).size());
  if (aItem.m_isRemoved) {
    m_scheduler->OnWorkerRemoved(id);
    return;
  }
  try {
    const WorkerReport report = wire::DecodeWorkerReport(id, aItem.m_value);
    if (m_env.m_layout.OfMachine(report.m_machine) == m_shard) {
      m_scheduler->OnWorkerReport(report);
    }
  } catch (const Error& error) {
    LogWarning(
      LogPart::Workers,
      absl::StrCat(
        "ignored invalid worker entry; worker=", id, " ", error.what()));
  }
}

void
ShardRunner::Start(const OwnershipGrant& aGrant)
{
  const JobSettings& settings = m_env.m_settings;
  m_scheduler = std::make_unique<Scheduler>(
    Scheduler::Environment{
      .m_loop = m_env.m_loop,
      .m_store = m_env.m_store,
      .m_workers = m_env.m_workers,
      .m_metrics = m_env.m_metrics,
      .m_configuration = m_env.m_configuration,
      .m_mayOrder = [this] { return m_ownership.MayOrder(); },
      .m_ordersEndAt = [this] { return m_ownership.OrdersEndAt(); },
      .m_holdsLease = [this] { return m_ownership.HoldsLease(); },
      .m_onSuperseded = [this] { m_ownership.StepDown(); } },
    SchedulerSettings{ .m_maxWorkerLease = settings.m_maxWorkerLease,
                       .m_jobRetention = settings.m_jobRetention,
                       .m_stopTime = settings.m_stopTime,
                       .m_shardCount = m_env.m_layout.Count(),
                       .m_memoryLimit = m_env.m_memoryLimit },
    m_keys,
    aGrant);
  m_fleet = std::make_unique<FleetController>(
    FleetController::Environment{
      .m_loop = m_env.m_loop,
      .m_store = m_env.m_store,
      .m_machines = m_env.m_machines,
      .m_scheduler = *m_scheduler,
      .m_metrics = m_env.m_metrics,
      .m_layout = m_env.m_layout,
      .m_shard = m_shard,
      .m_configuration = m_env.m_configuration,
      .m_holdsLease = [this] { return m_ownership.HoldsLease(); },
      .m_waveStatusKey =
        [](std::int64_t aWave) {
          return absl::StrCat(wire::kWaveStatusPrefix, aWave);
        },
      .m_encodeWaveStatus = wire::EncodeWaveStatus },
    FleetSettings{ .m_moveTime = settings.m_moveTime,
                   .m_maintenanceTime = settings.m_maintenanceTime,
                   .m_ordersPerSecond =
                     settings.m_machineOrdersPerSecond / m_env.m_layout.Count(),
                   .m_readsPerSecond = settings.m_machineReadsPerSecond,
                   .m_machineTurn = settings.m_machineTurn },
    MachineAuthority{ .m_holder = settings.m_daemon,
                      .m_fencingToken = aGrant.m_fencingToken });
  for (const auto& [number, wave] : m_env.m_waves) {
    m_fleet->OnWave(wave);
  }
  m_workerMirror = std::make_unique<StoreMirror>(
    m_env.m_loop,
    m_env.m_store,
    wire::kWorkerPrefix,
    [this](const StoreItem& aItem) { OnWorkerItem(aItem); },
    [this](bool aIsSynchronized) {
      if (aIsSynchronized) {
        m_scheduler->OnWorkersListed();
      }
    },
    kWorkerWatchDelay);
}

void
ShardRunner::Stop()
{
  m_workerMirror.reset();
  m_fleet.reset();
  m_scheduler.reset();
}

}
