#include "daemon/daemon.h"

#include "cluster/cluster_node.h"
#include "cluster/decider_lease.h"
#include "cluster/document_cache.h"
#include "cluster/document_watcher.h"
#include "cluster/fleet_observations.h"
#include "consul/configuration_publisher.h"
#include "consul/consul_store.h"
#include "consul/consul_vm_control.h"
#include "consul/consul_vm_list.h"
#include "consul/order_writer.h"
#include "core/clock.h"
#include "core/error.h"
#include "core/log.h"
#include "daemon/decider_loop.h"
#include "daemon/explain_source.h"
#include "daemon/status_report.h"
#include "daemon/store_keys.h"
#include "server/admin_server.h"
#include "server/request_path.h"
#include "server/target_prober.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <optional>
#include <utility>

namespace bramleystall {

namespace {

/** Interval at which the readiness and the set of probed VMs are updated. */
constexpr absl::Duration kHousekeepingInterval = absl::Milliseconds(250);

/** Age up to which the node's readiness is valid. Other daemons lend the slot
 * tokens of a paused daemon after 3 s at the earliest, when they consider it
 * dead. */
constexpr absl::Duration kMaxReadinessAge = absl::Seconds(2);

/** Longest request deadline that the schema of service files allows. */
constexpr absl::Duration kMaxRequestDeadline = absl::Minutes(1);

std::string
AddressOf(const ListenAddress& aListen)
{
  return absl::StrCat(aListen.m_address, ":", aListen.m_port);
}

ConsulSettings
MakeConsulSettings(const PlatformSettings& aSettings)
{
  ConsulSettings settings;
  settings.m_baseUrl = aSettings.m_url;
  settings.m_timeout = aSettings.m_timeout;
  return settings;
}

RequestPathSettings
MakeRequestPathSettings(const DaemonSettings& aDaemonSettings,
                        const std::string& aChartsFolder)
{
  const CallerSettings& callers = aDaemonSettings.m_callers;
  const ProcessLimits& limits = aDaemonSettings.m_limits;
  RequestPathSettings settings;
  settings.m_listenAddress = callers.m_listen.m_address;
  settings.m_listenPort = callers.m_listen.m_port;
  settings.m_httpThreads = callers.m_threads;
  settings.m_maxRequestBytes = callers.m_maxRequestBytes;
  settings.m_maxResponseBytes = callers.m_maxResponseBytes;
  settings.m_requestAttemptChart =
    absl::StrCat(aChartsFolder, "/request_attempt.json");
  settings.m_limits =
    RequestBudgetLimits::ForProcess(limits.m_memoryMb, limits.m_maxDescriptors);
  settings.m_readTimeout = limits.m_requestReadTimeout;
  return settings;
}

ClusterSettings
MakeClusterSettings(const DaemonSettings& aSettings)
{
  ClusterSettings settings;
  settings.m_daemon = aSettings.m_daemon;
  settings.m_dataCentre = aSettings.m_dataCentre;
  settings.m_listenAddress = AddressOf(aSettings.m_peers.m_listen);
  settings.m_maxDeadline = kMaxRequestDeadline;
  std::ranges::transform(
    aSettings.m_peers.m_seeds,
    std::back_inserter(settings.m_seeds),
    [](const PeerSeed& aSeed) {
      return PeerAddress{ aSeed.m_daemon, aSeed.m_dataCentre, aSeed.m_address };
    });
  return settings;
}

DeciderLeaseSettings
MakeLeaseSettings(const DaemonSettings& aSettings)
{
  DeciderLeaseSettings settings;
  settings.m_daemon = aSettings.m_daemon;
  settings.m_key = kDeciderKey;
  settings.m_ttl = aSettings.m_leaseTtl;
  return settings;
}

/** Ready VMs, which may receive new work. */
std::vector<TargetInfo>
ReadyTargets(const FleetDocument& aDocument)
{
  std::vector<TargetInfo> targets;
  for (const auto& [name, vm] : aDocument.m_vms) {
    if (vm.m_state == VmState::Ready) {
      targets.push_back({ name, vm.m_address, vm.m_pool, vm.m_rack });
    }
  }
  return targets;
}

/** Consecutive successful probes as a positive number, consecutive failures as
 * a negative one. */
int
ProbeReportOf(const ProbeState& aState)
{
  return aState.m_consecutiveFailures > 0 ? -aState.m_consecutiveFailures
                                          : aState.m_consecutiveSuccesses;
}

AdminResponse
JsonResponse(int aStatus, std::string aBody)
{
  AdminResponse response;
  response.m_status = aStatus;
  response.m_body = std::move(aBody);
  return response;
}

}

struct Daemon::Impl
{
  Impl(DaemonSettings aSettings, const std::string& aChartsFolder);

  void Start();
  void Shutdown();

  void OnConfiguration(std::shared_ptr<const Configuration> aConfiguration);
  void OnFleetDocument(const FleetDocument& aDocument);
  LocalState MakeLocalState();
  std::map<std::string, int> ReportedProbes(
    const FleetDocument& aDocument) const;
  std::string DocumentText(DocumentKind aKind) const;
  void OfferDocument(DocumentKind aKind, const std::string& aText);
  std::map<std::string, int> PoolDemand() const;
  std::optional<StoreValue> LatestOrders() const;
  void RunHousekeeping(const std::stop_token& aStop);
  void UpdateProbedVms();
  void RecordReadiness();
  bool MayStartWork() const;
  bool IsReady() const;
  AdminHooks MakeAdminHooks();
  AdminResponse Status() const;
  AdminResponse Explain(const std::string& aKind, const std::string& aName);
  AdminResponse Orders();
  AdminResponse AddOrder(const std::string& aBody);

  const DaemonSettings m_settings;
  const StateChart m_configurationChart;
  const std::shared_ptr<const StateChart> m_lifecycleChart;
  Metrics m_metrics;
  ConsulStore m_store;
  ConsulVmList m_vmList;
  ConsulVmControl m_vmControl;
  RequestPath m_requestPath;
  TargetProber m_prober;
  DocumentCache m_documents;
  ClusterNode m_node;
  DeciderLease m_lease;
  DeciderLoop m_decider;
  ExplainSource m_explainSource;
  mutable std::mutex m_ordersMutex;
  std::optional<StoreValue> m_latestOrders;
  DocumentWatcher m_configurationWatcher;
  DocumentWatcher m_fleetWatcher;
  DocumentWatcher m_ordersWatcher;
  AdminServer m_admin;
  /** Fleet revision that has been applied: no VM that drains in it or in an
   * earlier one gets new work. */
  std::atomic<std::uint64_t> m_appliedFleetRevision{ 0 };
  std::atomic<std::int64_t> m_inEffectMillis{ 0 };
  /** Monotonic time in ms at which the node was last found ready. */
  std::atomic<std::int64_t> m_lastReadyMillis{ 0 };
  std::atomic<bool> m_isStopping{ false };
  std::jthread m_housekeepingThread;
};

Daemon::Impl::Impl(DaemonSettings aSettings, const std::string& aChartsFolder)
  : m_settings(std::move(aSettings))
  , m_configurationChart(StateChart::Load(
      absl::StrCat(aChartsFolder, "/configuration_version.json")))
  , m_lifecycleChart(std::make_shared<const StateChart>(
      StateChart::Load(absl::StrCat(aChartsFolder, "/vm_lifecycle.json"))))
  , m_store(MakeConsulSettings(m_settings.m_platform), &m_metrics)
  , m_vmList(MakeConsulSettings(m_settings.m_platform), &m_metrics)
  , m_vmControl(MakeConsulSettings(m_settings.m_platform), &m_metrics)
  , m_requestPath(MakeRequestPathSettings(m_settings, aChartsFolder),
                  { [this](const std::string& aId, ClaimCallback aDone) {
                     m_node.Claim(aId, std::move(aDone));
                   },
                    [this] { return MayStartWork(); } },
                  m_metrics)
  , m_prober(ProbeSettings{}, m_metrics)
  , m_documents(
      m_settings.m_dataCentre,
      m_configurationChart,
      { [this](auto aConfiguration) { OnConfiguration(aConfiguration); },
        [this](const auto& aDocument) { OnFleetDocument(*aDocument); } },
      m_metrics)
  , m_node(MakeClusterSettings(m_settings),
           { [this] { return MakeLocalState(); },
             [this](DocumentKind aKind) { return DocumentText(aKind); },
             [this](DocumentKind aKind, const std::string& aText) {
               OfferDocument(aKind, aText);
             },
             [this] { return m_requestPath.SlotUsages(); },
             [this](const std::string& aVm, int aAllowance) {
               return m_requestPath.SetSlotAllowance(aVm, aAllowance);
             } },
           m_metrics)
  , m_lease(m_store,
            StateChart::Load(absl::StrCat(aChartsFolder, "/decider_term.json")),
            MakeLeaseSettings(m_settings),
            &m_metrics)
  , m_decider({ m_store, m_vmList, m_vmControl },
              m_lease,
              m_lifecycleChart,
              { [this] { return m_node.Members(); },
                [this] { return m_documents.CurrentConfiguration(); },
                [this] { return PoolDemand(); },
                [this] { return LatestOrders(); } },
              m_metrics)
  , m_explainSource(m_store)
  , m_configurationWatcher(
      m_store,
      ConfigurationPublisher::kCurrentKey,
      {},
      [this](const std::optional<StoreValue>& aValue) {
        if (aValue) {
          m_documents.OfferConfiguration(aValue->m_value);
        }
      },
      &m_metrics)
  , m_fleetWatcher(
      m_store,
      FleetDocumentKey(m_settings.m_dataCentre),
      {},
      [this](const std::optional<StoreValue>& aValue) {
        if (aValue) {
          m_documents.OfferFleetDocument(aValue->m_value);
        }
      },
      &m_metrics)
  , m_ordersWatcher(
      m_store,
      OrderWriter::kKey,
      {},
      [this](const std::optional<StoreValue>& aValue) {
        const std::lock_guard lock(m_ordersMutex);
        m_latestOrders = aValue;
      },
      &m_metrics)
  , m_admin(m_settings.m_admin.m_address,
            m_settings.m_admin.m_port,
            MakeAdminHooks(),
            m_metrics)
{
}

void
Daemon::Impl::Start()
{
  m_requestPath.Start();
  m_node.Start();
  m_prober.Start();
  m_configurationWatcher.Start();
  m_fleetWatcher.Start();
  m_ordersWatcher.Start();
  m_decider.Start();
  m_admin.Start();
  m_housekeepingThread = std::jthread(
    [this](const std::stop_token& aStop) { RunHousekeeping(aStop); });
}

void
Daemon::Impl::Shutdown()
{
  m_isStopping = true;
  // Pending watches would otherwise delay the stop by up to their time-out.
  m_store.StopWatches();
  m_decider.Stop();
  m_requestPath.Drain(m_settings.m_drainTimeout);
  m_housekeepingThread.request_stop();
  m_housekeepingThread.join();
  m_configurationWatcher.Stop();
  m_fleetWatcher.Stop();
  m_ordersWatcher.Stop();
  m_prober.Stop();
  m_node.Stop();
  m_admin.Stop();
}

void
Daemon::Impl::OnConfiguration(
  std::shared_ptr<const Configuration> aConfiguration)
{
  m_requestPath.ApplyConfiguration(std::move(aConfiguration));
  m_inEffectMillis = ToMillis(absl::Now());
}

void
Daemon::Impl::OnFleetDocument(const FleetDocument& aDocument)
{
  m_requestPath.ApplyTargets(ReadyTargets(aDocument));
  // From here on, no VM that drains in this revision gets new work.
  m_appliedFleetRevision = aDocument.m_revision;
}

LocalState
Daemon::Impl::MakeLocalState()
{
  LocalState state;
  // The revision is read before the requests in flight, so that a request that
  // started under an older revision is counted.
  state.m_fleetRevision = m_appliedFleetRevision;
  if (const auto configuration = m_documents.CurrentConfiguration()) {
    state.m_configurationVersion = configuration->m_version;
    state.m_configurationDigest = configuration->m_digest;
  }
  const auto document = m_documents.CurrentFleetDocument();
  if (!document) {
    return state;
  }
  const auto inFlight = m_requestPath.InFlightByVm();
  for (const auto& [name, vm] : document->m_vms) {
    const auto found = inFlight.find(name);
    if (vm.m_state == VmState::Draining && found != inFlight.end()) {
      state.m_inFlight[name] = found->second;
    }
  }
  state.m_probeStates = ReportedProbes(*document);
  return state;
}

std::map<std::string, int>
Daemon::Impl::ReportedProbes(const FleetDocument& aDocument) const
{
  std::map<std::string, int> reports;
  for (const auto& [name, probe] : m_prober.States()) {
    const auto vm = aDocument.m_vms.find(name);
    const int report = ProbeReportOf(probe);
    const bool isReported = report < kSteadySuccesses ||
                            vm == aDocument.m_vms.end() ||
                            IsAlwaysReported(vm->second.m_state);
    if (isReported) {
      reports[name] = report;
    }
  }
  return reports;
}

std::string
Daemon::Impl::DocumentText(DocumentKind aKind) const
{
  return aKind == DocumentKind::Configuration ? m_documents.ConfigurationText()
                                              : m_documents.FleetDocumentText();
}

void
Daemon::Impl::OfferDocument(DocumentKind aKind, const std::string& aText)
{
  if (aKind == DocumentKind::Configuration) {
    m_documents.OfferConfiguration(aText);
    return;
  }
  m_documents.OfferFleetDocument(aText);
}

std::map<std::string, int>
Daemon::Impl::PoolDemand() const
{
  std::map<std::string, int> demand;
  const auto configuration = m_documents.CurrentConfiguration();
  if (!configuration) {
    return demand;
  }
  for (const ServiceStatus& service : m_requestPath.Status().m_services) {
    const ServiceSpec* const spec =
      configuration->FindService(service.m_service);
    if (spec) {
      demand[spec->m_pool] += service.m_queued + service.m_inFlight;
    }
  }
  return demand;
}

std::optional<StoreValue>
Daemon::Impl::LatestOrders() const
{
  const std::lock_guard lock(m_ordersMutex);
  return m_latestOrders;
}

void
Daemon::Impl::RunHousekeeping(const std::stop_token& aStop)
{
  while (!aStop.stop_requested()) {
    RecordReadiness();
    UpdateProbedVms();
    m_admin.Tick();
    absl::SleepFor(kHousekeepingInterval);
  }
}

void
Daemon::Impl::RecordReadiness()
{
  // The time is read before the check, so that a pause of the process after the
  // check makes the readiness expire.
  const std::int64_t now = ToMillis(MonotonicNow());
  if (m_node.IsReady()) {
    m_lastReadyMillis = now;
  }
}

bool
Daemon::Impl::MayStartWork() const
{
  const absl::Duration age =
    MonotonicNow() - FromMillis(m_lastReadyMillis.load());
  return age < kMaxReadinessAge;
}

void
Daemon::Impl::UpdateProbedVms()
{
  const auto document = m_documents.CurrentFleetDocument();
  if (!document) {
    return;
  }
  const auto members = m_node.Members();
  std::map<std::string, ProbeTarget> targets;
  for (const auto& [name, vm] : document->m_vms) {
    const bool isProbedHere =
      vm.m_state != VmState::Gone &&
      FindProber(name, m_settings.m_dataCentre, members) == m_settings.m_daemon;
    if (isProbedHere) {
      targets[name] = { vm.m_address, IsAlwaysReported(vm.m_state) };
    }
  }
  m_prober.SetTargets(targets);
}

bool
Daemon::Impl::IsReady() const
{
  return !m_isStopping && !m_requestPath.IsRefusing() && m_node.IsReady() &&
         m_documents.CurrentConfiguration() &&
         m_documents.CurrentFleetDocument();
}

AdminHooks
Daemon::Impl::MakeAdminHooks()
{
  AdminHooks hooks;
  hooks.m_health = [] { return JsonResponse(200, R"({"status":"ok"})"); };
  hooks.m_ready = [this] {
    return IsReady() ? JsonResponse(200, R"({"status":"ready"})")
                     : JsonResponse(503, R"({"status":"not ready"})");
  };
  hooks.m_status = [this] { return Status(); };
  hooks.m_explain = [this](const std::string& aKind, const std::string& aName) {
    return Explain(aKind, aName);
  };
  hooks.m_orders = [this] { return Orders(); };
  hooks.m_addOrder = [this](const std::string& aBody) {
    return AddOrder(aBody);
  };
  return hooks;
}

AdminResponse
Daemon::Impl::Status() const
{
  StatusInputs inputs;
  inputs.m_daemon = m_settings.m_daemon;
  inputs.m_dataCentre = m_settings.m_dataCentre;
  inputs.m_isReady = IsReady();
  inputs.m_isDecider = m_lease.MayDecide();
  inputs.m_term = m_lease.Term();
  inputs.m_configuration = m_documents.CurrentConfiguration();
  inputs.m_inEffectMillis = m_inEffectMillis;
  inputs.m_fleetDocument = m_documents.CurrentFleetDocument();
  inputs.m_members = m_node.Members();
  inputs.m_requests = m_requestPath.Status();
  inputs.m_pools = m_decider.Pools();
  inputs.m_monotonicNow = MonotonicNow();
  return JsonResponse(200, MakeStatusReport(inputs));
}

AdminResponse
Daemon::Impl::Explain(const std::string& aKind, const std::string& aName)
{
  const auto configuration = m_documents.CurrentConfiguration();
  if (!configuration) {
    throw Error(ErrorCode::Unavailable, "no configuration is in effect yet");
  }
  std::vector<std::string> dataCentres = { m_settings.m_dataCentre };
  std::ranges::transform(m_node.Members(),
                         std::back_inserter(dataCentres),
                         &MemberView::m_dataCentre);
  return JsonResponse(
    200,
    m_explainSource.MakeExplanation(
      *configuration, dataCentres, m_decider.Pools(), aKind, aName));
}

AdminResponse
Daemon::Impl::Orders()
{
  return JsonResponse(
    200, OrderWriter(m_store, SystemWriterHooks()).Read().Serialize());
}

AdminResponse
Daemon::Impl::AddOrder(const std::string& aBody)
{
  Order order = ParseOrder(aBody);
  if (order.m_id.empty()) {
    order.m_id = NewOrderId();
  }
  order.m_state = OrderState::Pending;
  order.m_createdMillis = ToMillis(absl::Now());
  OrderWriter(m_store, SystemWriterHooks()).Append(order);
  LogInfo(LogPart::Admin,
          absl::StrCat("accepted order ",
                       order.m_id,
                       " (",
                       std::string(NameOf(kOrderKindNames, order.m_kind)),
                       ")."));
  return JsonResponse(200, SerializeOrder(order));
}

Daemon::Daemon(DaemonSettings aSettings, const std::string& aChartsFolder)
  : m_impl(std::make_unique<Impl>(std::move(aSettings), aChartsFolder))
{
}

Daemon::~Daemon() = default;

void
Daemon::Start()
{
  m_impl->Start();
}

void
Daemon::Shutdown()
{
  m_impl->Shutdown();
}

}
