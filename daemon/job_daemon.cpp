#include "daemon/job_daemon.h"

#include "core/error.h"
#include "core/log.h"
#include "daemon/configuration_update.h"
#include "platform/wire_codec.h"
#include "scheduler/shard_memory.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <csignal>
#include <utility>

namespace bramleystall {

namespace {

/** Four watches, and other requests at the same time. */
constexpr int kStoreConnections = 12;
/** One for a pending lease renewal, and two for orders. */
constexpr int kConnectionsPerWorker = 3;
/** To the machine service and to the advice service each. */
constexpr int kServiceConnections = 3;
/** Largest request body without a configuration, or if it sets no limit. */
constexpr std::size_t kMaxBodyBytes = 1U << 20U;
/** Memory of the readiness port's connections together: for each a buffer of 16
 * KiB and 8 KiB of overhead. Its requests have no body. */
constexpr RequestBudgetLimits kReadyLimits{
  .m_bytes = kMaxOperatorConnections * 24 * 1024,
  .m_connections = kMaxOperatorConnections
};
/** Without a response from the store for this time the daemon is not ready. */
constexpr absl::Duration kStoreResponseTimeout = absl::Milliseconds(2500);
/** The process ends this long before the kill signal in any case. */
constexpr absl::Duration kKillMargin = absl::Milliseconds(700);
/** The load balancer needs two failed readiness checks, one second apart, to
 * detect the shutdown. */
constexpr absl::Duration kMinShutdownTime = absl::Milliseconds(2500);
/** Resources of a daemon that can own a shard at peak load, see
 * docs/CAPACITY.md. */
constexpr double kPeakOwnerCores = 0.5;
constexpr double kPeakOwnerLinkMbps = 100;
constexpr absl::Duration kIdlePollInterval = absl::Milliseconds(50);
/** Priority delay of a candidate without resources, so that one with more
 * resources acquires the shard first. */
constexpr absl::Duration kLowResourcePriorityDelay = absl::Milliseconds(300);
/** Priority delay for each shard that a candidate already owns. */
constexpr absl::Duration kOwnedShardPriorityDelay = absl::Milliseconds(150);

/** Fraction, at most 1, that a daemon has of the resources that a shard takes
 * at peak load, by its scarcer resource. */
double
ResourceFraction(const JobSettings& aSettings)
{
  return std::min({ 1.0,
                    aSettings.m_cores / kPeakOwnerCores,
                    aSettings.m_linkMbps / kPeakOwnerLinkMbps });
}

CallerCodec
MakeCallerCodec()
{
  return { .m_decodeJob = wire::DecodeSubmission,
           .m_encodeState = wire::EncodeJobState,
           .m_encodePending = wire::EncodePendingCount };
}

}

JobDaemon::JobDaemon(std::string aSettingsPath, std::string aChartsFolder)
  : m_settingsPath(std::move(aSettingsPath))
  , m_settings(LoadJobSettings(m_settingsPath))
  , m_storeFetcher(m_loop, kStoreConnections, AfterTimeout::ReplaceConnections)
  , m_workerFetcher(m_loop, kConnectionsPerWorker)
  , m_serviceFetcher(m_loop,
                     kServiceConnections,
                     AfterTimeout::ReplaceConnections)
  , m_store(m_storeFetcher, m_settings.m_storeAddress)
  , m_workers(m_workerFetcher, m_serviceFetcher, m_settings.m_adviceAddress)
  , m_machines(m_serviceFetcher, m_settings.m_machineAddress)
  , m_chartsFolder(std::move(aChartsFolder))
{
  m_operatorMirror = std::make_unique<StoreMirror>(
    m_loop,
    m_store,
    wire::kOperatorPrefix,
    [this](const StoreItem& aItem) { OnOperatorItem(aItem); },
    [](bool aIsSynchronized) {
      LogInfo(LogPart::Store,
              aIsSynchronized ? "store is reachable."
                              : "store is unreachable; retrying.");
    });
  m_layoutReader = std::make_unique<LayoutReader>(
    m_loop,
    m_store,
    m_machines,
    m_settings.m_daemon,
    [this](const ShardLayout& aLayout) { OnLayout(aLayout); });
  m_jobRequestHandler = std::make_unique<JobRequestHandler>(
    m_loop,
    m_store,
    m_metrics,
    MakeCallerCodec(),
    [this] { return m_configuration ? &*m_configuration : nullptr; },
    [this] { return m_layout ? &*m_layout : nullptr; });
  m_callerListener = std::make_unique<HttpListener>(
    m_loop,
    HttpListenerSettings{ .m_address = m_settings.m_callerAddress,
                          .m_name = "callers",
                          .m_limits = CallerLimits(),
                          .m_readTimeout =
                            m_settings.m_limits.m_requestReadTimeout,
                          .m_maxBodyBytes = [this] { return MaxBodyBytes(); } },
    m_metrics,
    [this](const ListenerRequest& aRequest,
           const HttpListener::Responder& aRespond) {
      m_jobRequestHandler->Handle(aRequest, aRespond);
    });
  m_callerListener->SetApiKeyHeader(wire::kApiKeyHeader);
  m_readyListener = std::make_unique<HttpListener>(
    m_loop,
    HttpListenerSettings{ .m_address = m_settings.m_readyAddress,
                          .m_name = "ready",
                          .m_limits = kReadyLimits,
                          .m_readTimeout =
                            m_settings.m_limits.m_requestReadTimeout,
                          .m_maxBodyBytes = [] { return std::size_t{ 0 }; } },
    m_metrics,
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
    // The configuration and the waves that were accepted before stay in effect.
    LogError(LogPart::Main, error.what());
  }
}

void
JobDaemon::ApplyConfiguration(const StoreItem& aItem)
{
  if (!UpdateConfiguration(m_configuration, aItem.m_value)) {
    return;
  }
  LogInfo(
    LogPart::Main,
    absl::StrCat("configuration in force; version=",
                 m_configuration->m_version,
                 " queues=",
                 m_configuration->m_queues.size(),
                 m_configuration->m_tenants
                   ? absl::StrCat(" tenants=",
                                  m_configuration->m_tenants->Tenants().size())
                   : ""));
  for (const auto& shard : m_shards) {
    shard->OnConfigurationChanged();
  }
}

void
JobDaemon::ApplyWave(const StoreItem& aItem)
{
  MaintenanceWave wave = wire::DecodeWave(aItem.m_value);
  LogInfo(LogPart::Fleet,
          absl::StrCat("wave requested; wave=",
                       wave.m_number,
                       " machines=",
                       wave.m_machines.size(),
                       " cap=",
                       wave.m_maxConcurrent));
  for (const auto& shard : m_shards) {
    shard->OnWave(wave);
  }
  m_waves[wave.m_number] = std::move(wave);
}

void
JobDaemon::OnLayout(const ShardLayout& aLayout)
{
  static const JobConfiguration kEmptyConfiguration;
  m_layout = aLayout;
  const StateChart chart =
    StateChart::Load(absl::StrCat(m_chartsFolder, "/owner_term.json"));
  for (int shard = 0; shard < m_layout->Count(); ++shard) {
    m_shards.push_back(std::make_unique<ShardRunner>(
      ShardRunner::Environment{
        .m_loop = m_loop,
        .m_metrics = m_metrics,
        .m_store = m_store,
        .m_workers = m_workers,
        .m_machines = m_machines,
        .m_settings = m_settings,
        .m_layout = *m_layout,
        .m_waves = m_waves,
        .m_configuration = [this]() -> const JobConfiguration& {
          return m_configuration ? *m_configuration : kEmptyConfiguration;
        },
        .m_priorityDelay = [this] { return PriorityDelay(); },
        .m_memoryLimit =
          [this] {
            return ShardMemoryLimit(m_settings.m_limits.m_memoryMb,
                                    OwnedShardCount());
          } },
      shard,
      chart));
  }
  m_ownershipMirror = std::make_unique<StoreMirror>(
    m_loop,
    m_store,
    keys::kOwnershipPrefix,
    [this](const StoreItem& aItem) {
      for (const auto& shard : m_shards) {
        shard->Owner().OnItem(aItem);
      }
    },
    [this](bool aIsSynchronized) {
      for (const auto& shard : m_shards) {
        shard->Owner().OnSynchronized(aIsSynchronized);
      }
    });
}

absl::Duration
JobDaemon::PriorityDelay() const
{
  return kLowResourcePriorityDelay * (1.0 - ResourceFraction(m_settings)) +
         kOwnedShardPriorityDelay * OwnedShardCount();
}

std::int64_t
JobDaemon::OwnedShardCount() const
{
  return std::ranges::count_if(m_shards, [](const auto& aShard) {
    return aShard->Owner().IsOwnerOrAcquiring();
  });
}

void
JobDaemon::ResignAll()
{
  for (const auto& shard : m_shards) {
    shard->Owner().Resign();
  }
}

bool
JobDaemon::IsReady() const
{
  return !m_isStopping && !m_callerListener->IsRefusing() &&
         m_configuration.has_value() && m_layout.has_value() &&
         m_loop.Now() <
           m_operatorMirror->LastResponseAt() + kStoreResponseTimeout;
}

RequestBudgetLimits
JobDaemon::CallerLimits() const
{
  return RequestBudgetLimits::ForProcess(m_settings.m_limits.m_memoryMb,
                                         m_settings.m_limits.m_maxDescriptors);
}

std::size_t
JobDaemon::MaxBodyBytes() const
{
  return m_configuration && m_configuration->m_maxBodyBytes > 0
           ? m_configuration->m_maxBodyBytes
           : kMaxBodyBytes;
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
    m_callerListener->SetLimits(CallerLimits());
    LogInfo(LogPart::Main, "settings reloaded.");
  } catch (const Error& error) {
    LogError(
      LogPart::Main,
      absl::StrCat("settings not reloaded, keeping the previous ones; error=",
                   error.what()));
  }
}

void
JobDaemon::Shutdown()
{
  if (m_isStopping) {
    return;
  }
  m_isStopping = true;
  m_shutdownDeadline =
    m_loop.Now() + m_settings.m_terminationGracePeriod - kKillMargin;
  LogInfo(LogPart::Main, "received stop signal; finishing requests in flight.");
  m_callerListener->CloseConnectionsAfterResponse();
  bool isOwner = false;
  for (const auto& shard : m_shards) {
    isOwner = isOwner || shard->Jobs() != nullptr;
    shard->WhenStored([&ownership = shard->Owner()] { ownership.Resign(); });
  }
  m_loop.After(isOwner ? ShardRunner::kMaxHandoverTime : absl::ZeroDuration(),
               [this] { ResignAll(); });
  m_loop.After(std::min(kMinShutdownTime,
                        m_settings.m_terminationGracePeriod - kKillMargin),
               [this] { ExitWhenIdle(); });
}

void
JobDaemon::ExitWhenIdle()
{
  m_callerListener->StopAccepting();
  if (m_callerListener->OpenRequests() == 0 ||
      m_loop.Now() >= m_shutdownDeadline) {
    m_loop.Stop();
    return;
  }
  m_loop.After(kIdlePollInterval, [this] { ExitWhenIdle(); });
}

}
