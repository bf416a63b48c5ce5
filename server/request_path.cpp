#include "server/request_path.h"

#include "core/task_queue.h"

#include "core/clock.h"
#include "core/configuration.h"
#include "core/error.h"
#include "core/log.h"
#include "core/state_chart.h"
#include "server/caller_server.h"
#include "server/request_dispatcher.h"
#include "server/target_client.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

namespace bramleystall {

namespace {

// Bounds the delay until a passed deadline is detected; 50 wake-ups a second
// cost less than 0.1% of a core.
constexpr absl::Duration kTickInterval = absl::Milliseconds(20);
constexpr absl::Duration kIdlePollInterval = absl::Milliseconds(5);
// Time to read and refuse requests on the last accepted connections after the
// listening socket is closed.
constexpr absl::Duration kFinalRequestsReadTime = absl::Milliseconds(100);
// Limits the wait for callers that do not read their response.
constexpr absl::Duration kStopWriteTimeout = absl::Seconds(1);

}

struct RequestPath::Impl
{
  RequestPathSettings m_settings;
  RequestPathHooks m_hooks;
  Metrics& m_metrics;
  TargetClient m_client;
  std::unique_ptr<RequestDispatcher> m_dispatcher;
  std::unique_ptr<CallerServer> m_server;
  /** Destroyed first, since its tasks use the other members. */
  TaskQueue m_claims;
  std::mutex m_mutex;
  std::condition_variable m_stopSignal;
  bool m_isStopping = false;
  std::thread m_ticker;

  Impl(RequestPathSettings aSettings,
       RequestPathHooks aHooks,
       Metrics& aMetrics);
  ~Impl();

  RequestDispatcherHooks DispatcherHooks();
  CallerServerHooks ServerHooks();
  void RunTicker();
  void WaitUntilIdle(absl::Duration aTimeout);
};

RequestPath::Impl::Impl(RequestPathSettings aSettings,
                        RequestPathHooks aHooks,
                        Metrics& aMetrics)
  : m_settings(std::move(aSettings))
  , m_hooks(std::move(aHooks))
  , m_metrics(aMetrics)
  , m_client(m_settings.m_connectionsPerTarget, m_settings.m_maxResponseBytes)
{
  if (!m_hooks.m_claim) {
    throw Error(ErrorCode::InvalidInput, "server: the claim hook is missing");
  }
  m_dispatcher = std::make_unique<RequestDispatcher>(
    DispatcherHooks(),
    StateChart::Load(m_settings.m_requestAttemptChart),
    m_metrics);
  m_server = std::make_unique<CallerServer>(
    CallerServerSettings{ m_settings.m_listenAddress,
                          m_settings.m_listenPort,
                          m_settings.m_httpThreads,
                          m_settings.m_maxRequestBytes,
                          m_settings.m_limits,
                          m_settings.m_readTimeout },
    ServerHooks(),
    m_metrics);
}

RequestPath::Impl::~Impl()
{
  {
    const std::lock_guard lock(m_mutex);
    m_isStopping = true;
  }
  m_stopSignal.notify_all();
  if (m_ticker.joinable()) {
    m_ticker.join();
  }
  // The server can stop only after every suspended connection has a response.
  m_server->StopListening();
  m_dispatcher->AbortAll();
  m_client.Stop();
  // Stopping the server closes all connections, including those whose response
  // is not completely written.
  WaitUntilIdle(kStopWriteTimeout);
  m_server->Stop();
}

void
RequestPath::Impl::WaitUntilIdle(absl::Duration aTimeout)
{
  const absl::Time deadline = MonotonicNow() + aTimeout;
  const auto isBusy = [this] {
    return m_dispatcher->Unfinished() > 0 || m_server->OpenExchanges() > 0;
  };
  while (isBusy() && MonotonicNow() < deadline) {
    absl::SleepFor(kIdlePollInterval);
  }
}

RequestDispatcherHooks
RequestPath::Impl::DispatcherHooks()
{
  RequestDispatcherHooks hooks;
  hooks.m_send = [this](TargetRequest aRequest, TargetClient::Done aDone) {
    m_client.Send(std::move(aRequest), std::move(aDone));
  };
  // Claims run on a separate thread to avoid a deadlock: the cluster node sets
  // allowances while it holds its lock, and a higher allowance may start a
  // claim, which needs the same lock.
  hooks.m_claim = [this](const std::string& aId,
                         std::function<void(ClaimOutcome)> aDone) {
    m_claims.Post([this, aId, done = std::move(aDone)]() mutable {
      m_hooks.m_claim(aId, std::move(done));
    });
  };
  hooks.m_mayStart = m_hooks.m_mayStart;
  hooks.m_now = MonotonicNow;
  return hooks;
}

CallerServerHooks
RequestPath::Impl::ServerHooks()
{
  CallerServerHooks hooks;
  hooks.m_onRequest = [this](std::shared_ptr<CallerExchange> aExchange) {
    m_dispatcher->OnRequest(std::move(aExchange));
  };
  hooks.m_onHangUp = [this](std::uint64_t aId) {
    return m_dispatcher->OnHangUp(aId);
  };
  hooks.m_makeRejection = [this](const HttpRequest& aRequest,
                                 int aStatus,
                                 const std::string& aDetail) {
    return m_dispatcher->MakeRejection(aRequest, aStatus, aDetail);
  };
  return hooks;
}

void
RequestPath::Impl::RunTicker()
{
  std::unique_lock lock(m_mutex);
  while (!m_isStopping) {
    lock.unlock();
    m_dispatcher->Tick();
    m_server->Tick();
    lock.lock();
    m_stopSignal.wait_for(lock,
                          absl::ToChronoMilliseconds(kTickInterval),
                          [this] { return m_isStopping; });
  }
}

RequestPath::RequestPath(RequestPathSettings aSettings,
                         RequestPathHooks aHooks,
                         Metrics& aMetrics)
  : m_impl(
      std::make_unique<Impl>(std::move(aSettings), std::move(aHooks), aMetrics))
{
}

RequestPath::~RequestPath() = default;

void
RequestPath::Start()
{
  m_impl->m_client.Start();
  m_impl->m_ticker = std::thread([impl = m_impl.get()] { impl->RunTicker(); });
  m_impl->m_server->Start();
  LogInfo(LogPart::Server,
          absl::StrCat("listening for callers on ",
                       m_impl->m_settings.m_listenAddress,
                       ":",
                       m_impl->m_server->Port()));
}

int
RequestPath::Port() const
{
  return m_impl->m_server->Port();
}

void
RequestPath::ApplyConfiguration(
  std::shared_ptr<const Configuration> aConfiguration)
{
  m_impl->m_dispatcher->ApplyConfiguration(std::move(aConfiguration));
}

void
RequestPath::ApplyTargets(const std::vector<TargetInfo>& aTargets)
{
  m_impl->m_dispatcher->ApplyTargets(aTargets);
}

int
RequestPath::SetSlotAllowance(const std::string& aVm, int aAllowance)
{
  return m_impl->m_dispatcher->SetSlotAllowance(aVm, aAllowance);
}

std::vector<SlotUsage>
RequestPath::SlotUsages() const
{
  return m_impl->m_dispatcher->SlotUsages();
}

std::map<std::string, int>
RequestPath::InFlightByVm() const
{
  return m_impl->m_dispatcher->InFlightByVm();
}

RequestPathStatus
RequestPath::Status() const
{
  return m_impl->m_dispatcher->Status();
}

bool
RequestPath::IsRefusing() const
{
  return m_impl->m_server->IsRefusing();
}

void
RequestPath::Drain(absl::Duration aTimeout)
{
  m_impl->m_dispatcher->StartDraining();
  const absl::Time deadline = MonotonicNow() + aTimeout;
  m_impl->WaitUntilIdle(aTimeout);
  m_impl->m_server->StopListening();
  // Requests on the last accepted connections are read and refused.
  absl::SleepFor(std::clamp(
    deadline - MonotonicNow(), absl::ZeroDuration(), kFinalRequestsReadTime));
  m_impl->WaitUntilIdle(deadline - MonotonicNow());
}

}
