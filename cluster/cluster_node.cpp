#include "cluster/cluster_node.h"

#include "cluster/peer_sockets.h"
#include "core/clock.h"
#include "core/log.h"
#include "core/metrics.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

namespace bramleystall {

namespace {

/** A shorter interval costs processor time for each worker. Hints for slot
 * tokens trigger a tick at once. */
constexpr auto kTickInterval = std::chrono::milliseconds(100);
/** Time for nng to write the goodbye messages to the network. */
constexpr auto kGoodbyeFlushTime = std::chrono::milliseconds(50);

CallTime
TimeNow()
{
  return { MonotonicNow(), absl::Now() };
}

std::uint64_t
RandomNumber()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

}

ClusterNode::ClusterNode(ClusterSettings aSettings,
                         ClusterHooks aHooks,
                         Metrics& aMetrics)
  : m_settings(std::move(aSettings))
  , m_hooks(std::move(aHooks))
  , m_metrics(aMetrics)
{
}

ClusterNode::~ClusterNode()
{
  Shutdown(false);
}

void
ClusterNode::Start()
{
  const std::lock_guard lock(m_mutex);
  m_sockets = std::make_unique<PeerSockets>(m_settings.m_listenAddress);
  m_protocol = std::make_unique<ClusterProtocol>(
    m_settings,
    [this](const std::string& aAddress, const std::string& aBytes) {
      return SendBytes(aAddress, aBytes);
    },
    m_hooks.m_setSlotAllowance,
    m_metrics,
    RandomNumber(),
    TimeNow());
  m_isRunning = true;
  m_ticker = std::thread([this] { RunTicks(); });
  m_receiver = std::thread([this] { RunReceiver(); });
  LogInfo(LogPart::Peers,
          absl::StrCat("listening on ", m_settings.m_listenAddress));
}

void
ClusterNode::Stop()
{
  Shutdown(true);
}

std::vector<MemberView>
ClusterNode::Members() const
{
  const std::lock_guard lock(m_mutex);
  return m_protocol ? m_protocol->Members(MonotonicNow())
                    : std::vector<MemberView>();
}

void
ClusterNode::Claim(const std::string& aRequestId, ClaimCallback aDone)
{
  ProtocolEffects effects;
  {
    const std::lock_guard lock(m_mutex);
    if (m_isRunning) {
      effects = m_protocol->Claim(aRequestId, std::move(aDone), TimeNow());
    } else {
      effects.m_finishedClaims.push_back(
        { std::move(aDone), ClaimOutcome::OwnerUnreachable });
    }
  }
  Perform(effects);
}

bool
ClusterNode::IsReady() const
{
  const std::lock_guard lock(m_mutex);
  return m_isRunning && m_protocol->IsReady(MonotonicNow());
}

void
ClusterNode::RunTicks()
{
  std::unique_lock lock(m_mutex);
  while (m_isRunning) {
    m_wantsTick = false;
    lock.unlock();
    Tick();
    lock.lock();
    m_wake.wait_for(
      lock, kTickInterval, [this] { return !m_isRunning || m_wantsTick; });
  }
}

void
ClusterNode::RunReceiver()
{
  while (const auto bytes = m_sockets->Receive()) {
    ProtocolEffects effects;
    {
      const std::lock_guard lock(m_mutex);
      if (!m_isRunning) {
        return;
      }
      effects = m_protocol->Receive(*bytes, TimeNow());
      if (m_protocol->WantsTick() && !m_wantsTick) {
        m_wantsTick = true;
        m_wake.notify_all();
      }
    }
    Perform(effects);
  }
}

void
ClusterNode::Tick()
{
  LocalState state = m_hooks.m_localState();
  const std::vector<SlotUsage> usages = m_hooks.m_slotUsages();
  ProtocolEffects effects;
  {
    const std::lock_guard lock(m_mutex);
    if (!m_isRunning) {
      return;
    }
    effects = m_protocol->Tick(std::move(state), usages, TimeNow());
    m_sockets->KeepOnly(m_protocol->Addresses());
  }
  Perform(effects);
}

void
ClusterNode::Shutdown(bool aSendGoodbye)
{
  std::vector<SlotUsage> usages;
  if (aSendGoodbye) {
    usages = m_hooks.m_slotUsages();
  }
  const bool isClean = std::ranges::all_of(
    usages, [](const SlotUsage& aUsage) { return aUsage.m_inFlight == 0; });
  ProtocolEffects effects;
  {
    const std::lock_guard lock(m_mutex);
    if (!m_isRunning) {
      return;
    }
    m_isRunning = false;
    if (aSendGoodbye) {
      m_protocol->Leave(isClean);
    }
    effects = m_protocol->EndClaims();
  }
  m_wake.notify_all();
  if (aSendGoodbye) {
    std::this_thread::sleep_for(kGoodbyeFlushTime);
  }
  m_sockets->CloseListener();
  m_ticker.join();
  m_receiver.join();
  m_sockets.reset();
  Perform(effects);
}

void
ClusterNode::Perform(const ProtocolEffects& aEffects)
{
  for (const auto& [daemon, kind] : aEffects.m_requestedDocuments) {
    DocumentReply reply{ kind, m_hooks.m_document(kind) };
    const std::lock_guard lock(m_mutex);
    if (m_isRunning) {
      m_protocol->SendDocument(daemon, std::move(reply));
    }
  }
  for (const DocumentReply& reply : aEffects.m_receivedDocuments) {
    m_hooks.m_onDocument(reply.m_kind, reply.m_content);
  }
  for (const auto& [done, outcome] : aEffects.m_finishedClaims) {
    done(outcome);
  }
}

bool
ClusterNode::SendBytes(const std::string& aAddress, const std::string& aBytes)
{
  const SendResult result = m_sockets->Send(aAddress, aBytes);
  if (result == SendResult::Sent) {
    return true;
  }
  m_metrics.Count(
    "bramleystall_peer_dropped_total",
    { { "reason", std::string(NameOf(kSendResultNames, result)) } });
  return false;
}

}
