#include "daemon/job_daemon.h"

#include "core/error.h"
#include "core/log.h"
#include "platform/wire_codec.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <csignal>
#include <utility>

namespace bramleystall {

namespace {

/** Four watches, and calls beside them. */
constexpr int kStoreConnections = 12;
/** A waiting lease renewal, and two for orders. */
constexpr int kConnectionsPerWorker = 3;
/** Largest body before the first configuration names a limit. */
constexpr std::size_t kMaxBodyBytes = 1U << 20U;
/** Without an answer of the store for this time the daemon is not ready. */
constexpr absl::Duration kStoreSilence = absl::Milliseconds(2500);
/** Time before the kill at which the process ends in any case. */
constexpr absl::Duration kExitMargin = absl::Milliseconds(700);
/** The balancer needs two misses, a second apart, to see the shutdown. */
constexpr absl::Duration kMinShutdown = absl::Milliseconds(2500);
/** What the owner needs at the peak of 350 workers, see docs/CAPACITY.md. */
constexpr double kOwnerCores = 0.5;
constexpr double kOwnerLinkMbps = 100;
constexpr absl::Duration kIdlePoll = absl::Milliseconds(50);
/** Longest time that the shutdown waits to store the progress. */
constexpr absl::Duration kHandoverTime = absl::Milliseconds(300);

/** How well a daemon can schedule, 0 to 1, by its scarcer resource. */
double
FitnessOf(const JobSettings& aSettings)
{
  return std::min({ 1.0,
                    aSettings.m_cores / kOwnerCores,
                    aSettings.m_linkMbps / kOwnerLinkMbps });
}

CallerCodec
MakeCallerCodec()
{
  return { .m_decodeJob = wire::DecodeSubmission,
           .m_encodeState = wire::EncodeJobState,
           .m_encodePending = wire::EncodePendingCount };
}

}

JobDaemon::JobDaemon(std::string aSettingsPath,
                     const std::string& aChartsFolder)
  : m_settingsPath(std::move(aSettingsPath))
  , m_settings(LoadJobSettings(m_settingsPath))
  , m_storeFetcher(m_loop, kStoreConnections)
  , m_workerFetcher(m_loop, kConnectionsPerWorker)
  , m_store(m_storeFetcher, m_settings.m_storeAddress)
  , m_workers(m_workerFetcher, m_settings.m_adviceAddress)
  , m_machines(m_workerFetcher, m_settings.m_machineAddress)
{
  m_operatorMirror = std::make_unique<StoreMirror>(
    m_loop,
    m_store,
    wire::kOperatorPrefix,
    [this](const StoreItem& aItem) { OnOperatorItem(aItem); },
    [](bool aIsSynchronized) {
      LogInfo(LogPart::Store,
              aIsSynchronized ? "store reached." : "store lost.");
    });
  m_ownership = std::make_unique<Ownership>(
    m_loop,
    m_store,
    StateChart::Load(absl::StrCat(aChartsFolder, "/owner_term.json")),
    m_settings.m_daemon,
    FitnessOf(m_settings),
    [this](const OwnershipGrant& aGrant) { StartScheduling(aGrant); },
    [this](const std::string&) { StopScheduling(); });
  m_front = std::make_unique<JobFront>(
    m_loop, m_store, m_metrics, MakeCallerCodec(), [this] {
      return m_configuration ? &*m_configuration : nullptr;
    });
  m_callerListener = std::make_unique<HttpListener>(
    m_loop,
    m_settings.m_callerAddress,
    kMaxBodyBytes,
    [this](const ListenerRequest& aRequest,
           const HttpListener::Responder& aRespond) {
      m_front->Handle(aRequest, aRespond);
    });
  m_readyListener = std::make_unique<HttpListener>(
    m_loop,
    m_settings.m_readyAddress,
    kMaxBodyBytes,
    [this](const ListenerRequest& aRequest,
           const HttpListener::Responder& aRespond) {
      HandleReady(aRequest, aRespond);
    });
}

JobDaemon::~JobDaemon() = default;

void
JobDaemon::Run()
{
  m_loop.OnSignal(SIGTERM, [this](int) { Shutdown(); });
  m_loop.OnSignal(SIGINT, [this](int) { Shutdown(); });
  m_loop.OnSignal(SIGHUP, [this](int) { Reload(); });
  LogInfo(LogPart::Main, "daemon started.");
  m_loop.Run();
  LogInfo(LogPart::Main, "daemon stopped.");
}

void
JobDaemon::OnOperatorItem(const StoreItem& aItem)
{
  try {
    if (aItem.m_key == wire::kConfigurationKey && !aItem.m_isRemoved) {
      ApplyConfiguration(aItem);
    } else if (aItem.m_key.starts_with(wire::kWavePrefix) &&
               !aItem.m_isRemoved) {
      ApplyWave(aItem);
    }
  } catch (const Error& error) {
    // What was accepted before stays in force.
    LogError(LogPart::Main, error.what());
  }
}

void
JobDaemon::ApplyConfiguration(const StoreItem& aItem)
{
  JobConfiguration next = wire::DecodeConfiguration(aItem.m_value);
  if (m_configuration && next.m_version <= m_configuration->m_version) {
    return;
  }
  LogInfo(LogPart::Main,
          absl::StrCat("configuration in force; version=",
                       next.m_version,
                       " queues=",
                       next.m_queues.size()));
  m_configuration = std::move(next);
  if (m_scheduler) {
    m_scheduler->OnConfigurationChanged();
  }
}

void
JobDaemon::ApplyWave(const StoreItem& aItem)
{
  MaintenanceWave wave = wire::DecodeWave(aItem.m_value);
  LogInfo(LogPart::Fleet,
          absl::StrCat("wave asked for; wave=",
                       wave.m_number,
                       " machines=",
                       wave.m_machines.size(),
                       " cap=",
                       wave.m_maxConcurrent));
  if (m_fleet) {
    m_fleet->OnWave(wave);
  }
  m_waves[wave.m_number] = std::move(wave);
}

void
JobDaemon::OnWorkerItem(const StoreItem& aItem)
{
  const std::string id =
    aItem.m_key.substr(std::string(wire::kWorkerPrefix).size());
  if (aItem.m_isRemoved) {
    m_scheduler->OnWorkerRemoved(id);
    return;
  }
  try {
    m_scheduler->OnWorkerReport(wire::DecodeWorkerReport(id, aItem.m_value));
  } catch (const Error& error) {
    LogWarning(LogPart::Workers,
               absl::StrCat("entry ignored; worker=", id, " ", error.what()));
  }
}

void
JobDaemon::StartScheduling(const OwnershipGrant& aGrant)
{
  static const JobConfiguration kNoConfiguration;
  const auto configuration = [this]() -> const JobConfiguration& {
    return m_configuration ? *m_configuration : kNoConfiguration;
  };
  m_scheduler = std::make_unique<Scheduler>(
    Scheduler::Environment{
      .m_loop = m_loop,
      .m_store = m_store,
      .m_workers = m_workers,
      .m_metrics = m_metrics,
      .m_configuration = configuration,
      .m_mayOrder = [this] { return m_ownership->MayOrder(); },
      .m_holdsLease = [this] { return m_ownership->HoldsLease(); },
      .m_onSuperseded = [this] { m_ownership->StepDown(); } },
    SchedulerSettings{ .m_maxWorkerLease = m_settings.m_maxWorkerLease,
                       .m_jobRetention = m_settings.m_jobRetention,
                       .m_stopTime = m_settings.m_stopTime },
    aGrant);
  m_fleet = std::make_unique<FleetKeeper>(
    FleetKeeper::Environment{
      .m_loop = m_loop,
      .m_store = m_store,
      .m_machines = m_machines,
      .m_scheduler = *m_scheduler,
      .m_metrics = m_metrics,
      .m_configuration = configuration,
      .m_holdsLease = [this] { return m_ownership->HoldsLease(); },
      .m_waveStatusKey =
        [](std::int64_t aWave) {
          return absl::StrCat(wire::kWaveStatusPrefix, aWave);
        },
      .m_encodeWaveStatus = wire::EncodeWaveStatus },
    FleetSettings{ .m_moveTime = m_settings.m_moveTime,
                   .m_upkeepTime = m_settings.m_upkeepTime,
                   .m_ordersPerSecond = m_settings.m_machineOrdersPerSecond,
                   .m_machineTurn = m_settings.m_machineTurn },
    MachineAuthority{ .m_holder = m_settings.m_daemon,
                      .m_fence = aGrant.m_fence });
  for (const auto& [number, wave] : m_waves) {
    m_fleet->OnWave(wave);
  }
  m_workerMirror = std::make_unique<StoreMirror>(
    m_loop,
    m_store,
    wire::kWorkerPrefix,
    [this](const StoreItem& aItem) { OnWorkerItem(aItem); },
    [this](bool aIsSynchronized) {
      if (aIsSynchronized) {
        m_scheduler->OnWorkersListed();
      }
    });
}

void
JobDaemon::StopScheduling()
{
  m_workerMirror.reset();
  m_fleet.reset();
  m_scheduler.reset();
}

bool
JobDaemon::IsReady() const
{
  return !m_isStopping && m_configuration.has_value() &&
         m_loop.Now() < m_operatorMirror->LastAnswerAt() + kStoreSilence;
}

void
JobDaemon::HandleReady(const ListenerRequest& aRequest,
                       const HttpListener::Responder& aRespond)
{
  if (aRequest.m_path == "/metrics") {
    aRespond({ .m_body = m_metrics.Render(), .m_contentType = "text/plain" });
    return;
  }
  aRespond({ .m_status = IsReady() ? 200 : 503 });
}

void
JobDaemon::Reload()
{
  try {
    m_settings = LoadJobSettings(m_settingsPath);
    LogInfo(LogPart::Main, "settings read again.");
  } catch (const Error& error) {
    LogError(LogPart::Main,
             absl::StrCat("settings kept as they were; error=", error.what()));
  }
}

void
JobDaemon::Shutdown()
{
  if (m_isStopping) {
    return;
  }
  m_isStopping = true;
  m_stopBy = m_loop.Now() + m_settings.m_grace - kExitMargin;
  LogInfo(LogPart::Main, "stop signal; finishing requests in flight.");
  m_callerListener->CloseConnectionsAfterResponse();
  const auto resign = [this] { m_ownership->Resign(); };
  if (m_scheduler) {
    m_scheduler->AfterStored(
      [this, resign] { m_loop.After(absl::ZeroDuration(), resign); });
  }
  m_loop.After(m_scheduler ? kHandoverTime : absl::ZeroDuration(), resign);
  m_loop.After(std::min(kMinShutdown, m_settings.m_grace - kExitMargin),
               [this] { ExitWhenIdle(); });
}

void
JobDaemon::ExitWhenIdle()
{
  m_callerListener->StopAccepting();
  if (m_callerListener->OpenRequests() == 0 || m_loop.Now() >= m_stopBy) {
    m_loop.Stop();
    return;
  }
  m_loop.After(kIdlePoll, [this] { ExitWhenIdle(); });
}

}
