#include "cluster/cluster_node.h"

#include "cluster/claim_owner.h"
#include "core/clock.h"
#include "core/log.h"
#include "core/metrics.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <random>
#include <set>
#include <utility>

namespace bramleystall {

namespace {

constexpr auto kTickInterval = std::chrono::milliseconds(50);
/** The watch on the store normally delivers a document first. */
constexpr absl::Duration kDocumentGrace = absl::Milliseconds(200);
/** A first heartbeat is repeated each tick while nng connects. */
constexpr absl::Duration kGreetingTimeout = absl::Seconds(2);
constexpr absl::Duration kDocumentRetry = absl::Seconds(1);
/** Time for nng to hand the goodbye to the network. */
constexpr auto kGoodbyeTime = std::chrono::milliseconds(50);

const std::string kBytesMetric = "bramleystall_peer_bytes_total";
const std::string kDroppedMetric = "bramleystall_peer_dropped_total";
const std::string kHeartbeatMetric = "bramleystall_peer_heartbeats_total";
const std::string kClaimMetric = "bramleystall_claims_total";
const std::string kClaimServedMetric = "bramleystall_claims_served_total";
const std::string kRejoinMetric = "bramleystall_peer_rejoins_total";
const std::string kDocumentMetric = "bramleystall_peer_documents_total";

std::string
KindName(MessageKind aKind)
{
  return std::string(NameOf(kMessageKindNames, aKind));
}

ClaimOutcome
OutcomeOf(ClaimReplyCode aCode)
{
  switch (aCode) {
    case ClaimReplyCode::Granted:
      return ClaimOutcome::Granted;
    case ClaimReplyCode::Duplicate:
      return ClaimOutcome::Duplicate;
    case ClaimReplyCode::TooOld:
      return ClaimOutcome::TooOld;
    case ClaimReplyCode::FromFuture:
      return ClaimOutcome::FromFuture;
    case ClaimReplyCode::NotOwner:
    case ClaimReplyCode::Blocked:
      break;
  }
  return ClaimOutcome::OwnerUnreachable;
}

ClaimReplyCode
ReplyOf(ClaimOutcome aOutcome)
{
  switch (aOutcome) {
    case ClaimOutcome::Granted:
      return ClaimReplyCode::Granted;
    case ClaimOutcome::Duplicate:
      return ClaimReplyCode::Duplicate;
    case ClaimOutcome::TooOld:
      return ClaimReplyCode::TooOld;
    case ClaimOutcome::FromFuture:
      return ClaimReplyCode::FromFuture;
    case ClaimOutcome::OwnerUnreachable:
    case ClaimOutcome::InvalidId:
      break;
  }
  return ClaimReplyCode::Blocked;
}

MemberView
ViewOf(const Member& aMember)
{
  return { aMember.m_entry.m_daemon,
           aMember.m_entry.m_dataCentre,
           aMember.m_entry.m_incarnation,
           aMember.m_liveness,
           aMember.m_state.m_configurationVersion,
           aMember.m_state.m_configurationDigest,
           aMember.m_state.m_fleetRevision,
           aMember.m_state.m_inFlight,
           aMember.m_state.m_probeStates,
           aMember.m_lastHeard };
}

}

ClusterNode::ClusterNode(ClusterSettings aSettings,
                         ClusterHooks aHooks,
                         Metrics& aMetrics)
  : m_settings(std::move(aSettings))
  , m_hooks(std::move(aHooks))
  , m_metrics(aMetrics)
  , m_slots({ m_settings.m_daemon,
              m_settings.m_slotsPerWorker,
              m_settings.m_maxDeadline },
            m_hooks.m_setSlotAllowance)
  // A random start keeps replies to an earlier process from matching.
  , m_lastClaim(std::random_device{}())
{
  m_lastClaim <<= 32U;
}

ClusterNode::~ClusterNode()
{
  Shutdown(false);
}

void
ClusterNode::Start()
{
  const LocalState state = m_hooks.m_localState();
  const std::lock_guard lock(m_mutex);
  const absl::Time now = MonotonicNow();
  m_localState = state;
  m_sockets = std::make_unique<PeerSockets>(m_settings.m_listenAddress);
  m_membership = std::make_unique<Membership>(
    MembershipSettings{ m_settings.m_daemon,
                        m_settings.m_dataCentre,
                        m_settings.m_listenAddress },
    now,
    absl::Now());
  m_isRunning = true;
  m_nextLocalHeartbeat = now;
  m_nextRemoteHeartbeat = now;
  for (const PeerAddress& seed : m_settings.m_seeds) {
    if (seed.m_daemon != m_settings.m_daemon) {
      Greet(seed.m_daemon, now);
    }
  }
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
  std::vector<MemberView> views;
  if (!m_membership) {
    return views;
  }
  Member self;
  self.m_entry = m_membership->SelfEntry();
  self.m_lastHeard = MonotonicNow();
  self.m_state = m_localState;
  views.push_back(ViewOf(self));
  for (const auto& [daemon, member] : m_membership->Others()) {
    views.push_back(ViewOf(member));
  }
  return views;
}

void
ClusterNode::Claim(const std::string& aRequestId, ClaimCallback aDone)
{
  ClaimOutcome outcome = ClaimOutcome::OwnerUnreachable;
  Deferred deferred;
  bool isKnown = false;
  {
    const std::lock_guard lock(m_mutex);
    if (m_isRunning) {
      Advance(MonotonicNow(), deferred);
      isKnown = BeginClaim(aRequestId, aDone, outcome);
    } else {
      isKnown = true;
    }
  }
  for (const auto& call : deferred) {
    call();
  }
  if (isKnown) {
    m_metrics.Count(
      kClaimMetric,
      { { "outcome", std::string(NameOf(kClaimOutcomeNames, outcome)) } });
    aDone(outcome);
  }
}

bool
ClusterNode::IsReady() const
{
  const std::lock_guard lock(m_mutex);
  return m_isRunning && m_membership->HasJoined() &&
         !m_membership->IsPaused(MonotonicNow()) && m_membership->IsActive();
}

void
ClusterNode::RunTicks()
{
  std::unique_lock lock(m_mutex);
  while (!m_isStopping) {
    m_wantsTick = false;
    lock.unlock();
    Tick();
    lock.lock();
    m_wake.wait_for(
      lock, kTickInterval, [this] { return m_isStopping || m_wantsTick; });
  }
}

void
ClusterNode::RunReceiver()
{
  while (const auto bytes = m_sockets->Receive()) {
    OnBytes(*bytes);
  }
}

void
ClusterNode::Shutdown(bool aSendGoodbye)
{
  std::vector<SlotUsage> usages;
  if (aSendGoodbye) {
    usages = m_hooks.m_slotUsages();
  }
  Deferred deferred;
  {
    const std::lock_guard lock(m_mutex);
    if (!m_isRunning) {
      return;
    }
    m_isRunning = false;
    m_isStopping = true;
    const bool isClean = std::ranges::all_of(
      usages, [](const SlotUsage& aUsage) { return aUsage.m_inFlight == 0; });
    if (aSendGoodbye) {
      for (const auto& [daemon, member] : m_membership->Others()) {
        Send(daemon, Goodbye{ isClean });
      }
    }
    while (!m_pendingClaims.empty()) {
      FinishClaim(
        m_pendingClaims.begin(), ClaimOutcome::OwnerUnreachable, deferred);
    }
  }
  m_wake.notify_all();
  if (aSendGoodbye) {
    std::this_thread::sleep_for(kGoodbyeTime);
  }
  m_sockets->CloseListener();
  m_ticker.join();
  m_receiver.join();
  m_sockets.reset();
  for (const auto& call : deferred) {
    call();
  }
}

void
ClusterNode::Tick()
{
  LocalState state = m_hooks.m_localState();
  const std::vector<SlotUsage> usages = m_hooks.m_slotUsages();
  Deferred deferred;
  {
    const std::lock_guard lock(m_mutex);
    if (!m_isRunning) {
      return;
    }
    const absl::Time now = MonotonicNow();
    Advance(now, deferred);
    if (state.m_configurationVersion != m_localState.m_configurationVersion) {
      m_nextLocalHeartbeat = now;
      m_nextRemoteHeartbeat = now;
    }
    if (state.m_fleetRevision != m_localState.m_fleetRevision) {
      m_nextLocalHeartbeat = now;
    }
    m_localState = std::move(state);
    SendHeartbeats(now);
    SendGreetings(now);
    AskForDocuments(now);
    ExpireClaims(now, deferred);
    const bool mayHold = m_membership->HasJoined() && m_membership->IsActive();
    SendAll(m_slots.Tick(usages, mayHold, now));
  }
  for (const auto& call : deferred) {
    call();
  }
}

void
ClusterNode::OnBytes(const std::string& aBytes)
{
  const auto message = DecodeMessage(aBytes);
  if (!message) {
    CountDropped("malformed");
    return;
  }
  m_metrics.Count(
    kBytesMetric,
    { { "direction", "received" }, { "kind", KindName(message->Kind()) } },
    aBytes.size());
  Deferred deferred;
  {
    const std::lock_guard lock(m_mutex);
    if (!m_isRunning) {
      return;
    }
    const absl::Time now = MonotonicNow();
    Advance(now, deferred);
    Dispatch(*message, now, deferred);
    if (m_slots.WantsTick() && !m_wantsTick) {
      m_wantsTick = true;
      m_wake.notify_all();
    }
  }
  for (const auto& call : deferred) {
    call();
  }
}

void
ClusterNode::Advance(absl::Time aNow, Deferred& aDeferred)
{
  if (m_membership->Advance(aNow, absl::Now())) {
    m_metrics.Count(kRejoinMetric, { { "reason", "paused" } });
    LogWarning(LogPart::Peers,
               "this process was paused; it rejoins as a new incarnation");
    AfterRejoin(aDeferred);
  }
  UpdateSlotView(aNow);
}

void
ClusterNode::AfterRejoin(Deferred& aDeferred)
{
  m_slots.ReturnAll();
  while (!m_pendingClaims.empty()) {
    FinishClaim(
      m_pendingClaims.begin(), ClaimOutcome::OwnerUnreachable, aDeferred);
  }
  m_nextLocalHeartbeat = absl::InfinitePast();
  m_nextRemoteHeartbeat = absl::InfinitePast();
}

void
ClusterNode::UpdateSlotView(absl::Time aNow)
{
  std::vector<DeadHolder> dead;
  const auto add = [&dead](const Member& aMember) {
    dead.push_back(
      { { aMember.m_entry.m_daemon, aMember.m_entry.m_incarnation },
        aMember.m_lastHeard,
        aMember.m_entry.m_clean });
  };
  for (const auto& [daemon, member] : m_membership->Others()) {
    if (m_membership->IsLocal(member) && member.m_liveness == Liveness::Dead) {
      add(member);
    }
  }
  std::ranges::for_each(m_membership->Past(), add);
  m_slots.SetView(m_membership->LocalView(), dead, aNow);
}

void
ClusterNode::SendHeartbeats(absl::Time aNow)
{
  const bool isLocalDue = aNow >= m_nextLocalHeartbeat;
  const bool isRemoteDue = aNow >= m_nextRemoteHeartbeat;
  if (!isLocalDue && !isRemoteDue) {
    return;
  }
  m_membership->NextSequence(aNow);
  std::map<std::string, std::string> targets;
  std::set<std::string> addresses;
  for (const PeerAddress& seed : m_settings.m_seeds) {
    addresses.insert(seed.m_address);
    const bool isLocal = seed.m_dataCentre == m_settings.m_dataCentre;
    if (isLocal ? isLocalDue : isRemoteDue) {
      targets[seed.m_daemon] = seed.m_address;
    }
  }
  for (const auto& [daemon, member] : m_membership->Others()) {
    addresses.insert(member.m_entry.m_address);
    // Dead members are told that they are, in case they run again.
    const bool isFrequent =
      m_membership->IsLocal(member) && member.m_liveness != Liveness::Dead;
    targets.erase(daemon);
    if (isFrequent ? isLocalDue : isRemoteDue) {
      targets[daemon] = member.m_entry.m_address;
    }
  }
  targets.erase(m_settings.m_daemon);
  for (const auto& [daemon, address] : targets) {
    SendHeartbeat(daemon, address);
  }
  m_sockets->KeepOnly(addresses);
  if (isLocalDue) {
    m_nextLocalHeartbeat = aNow + kHeartbeatInterval;
  }
  if (isRemoteDue) {
    m_nextRemoteHeartbeat = aNow + kRemoteHeartbeatInterval;
  }
}

bool
ClusterNode::SendHeartbeat(const std::string& aDaemon,
                           const std::string& aAddress)
{
  if (!SendTo(
        aAddress,
        m_membership->MakeHeartbeat(aDaemon, m_localState, absl::Now()))) {
    return false;
  }
  m_metrics.Count(kHeartbeatMetric, { { "direction", "sent" } });
  return true;
}

void
ClusterNode::Greet(const std::string& aDaemon, absl::Time aNow)
{
  m_greetings[aDaemon] = aNow + kGreetingTimeout;
}

void
ClusterNode::SendGreetings(absl::Time aNow)
{
  for (auto next = m_greetings.begin(); next != m_greetings.end();) {
    const auto greeting = next++;
    const auto& [daemon, giveUp] = *greeting;
    const auto member = m_membership->Others().find(daemon);
    const auto seed =
      std::ranges::find(m_settings.m_seeds, daemon, &PeerAddress::m_daemon);
    std::string address;
    if (member != m_membership->Others().end()) {
      address = member->second.m_entry.m_address;
    } else if (seed != m_settings.m_seeds.end()) {
      address = seed->m_address;
    }
    if (aNow >= giveUp || address.empty() || SendHeartbeat(daemon, address)) {
      m_greetings.erase(greeting);
    }
  }
}

bool
ClusterNode::Send(const std::string& aDaemon, MessageBody aBody)
{
  const auto member = m_membership->Others().find(aDaemon);
  if (member == m_membership->Others().end()) {
    CountDropped("unknown_receiver");
    return false;
  }
  return SendTo(member->second.m_entry.m_address, std::move(aBody));
}

bool
ClusterNode::SendTo(const std::string& aAddress, MessageBody aBody)
{
  const Message message{ m_settings.m_daemon,
                         m_membership->Incarnation(),
                         std::move(aBody) };
  const std::string bytes = EncodeMessage(message);
  const SendResult result = m_sockets->Send(aAddress, bytes);
  if (result != SendResult::Sent) {
    CountDropped(std::string(NameOf(kSendResultNames, result)));
    return false;
  }
  m_metrics.Count(
    kBytesMetric,
    { { "direction", "sent" }, { "kind", KindName(message.Kind()) } },
    bytes.size());
  return true;
}

void
ClusterNode::SendAll(std::vector<SlotMessage> aMessages)
{
  for (SlotMessage& message : aMessages) {
    std::visit([&](auto& aBody) { Send(message.m_receiver, std::move(aBody)); },
               message.m_body);
  }
}

void
ClusterNode::Dispatch(const Message& aMessage,
                      absl::Time aNow,
                      Deferred& aDeferred)
{
  const IncarnationId sender{ aMessage.m_daemon, aMessage.m_incarnation };
  if (const auto* heartbeat = std::get_if<Heartbeat>(&aMessage.m_body)) {
    OnHeartbeat(aMessage, *heartbeat, aNow, aDeferred);
  } else if (const auto* ask = std::get_if<DocumentRequest>(&aMessage.m_body)) {
    aDeferred.push_back([this, kind = ask->m_kind, daemon = aMessage.m_daemon] {
      DocumentReply reply{ kind, m_hooks.m_document(kind) };
      const std::lock_guard lock(m_mutex);
      if (m_isRunning && !reply.m_content.empty()) {
        Send(daemon, std::move(reply));
      }
    });
  } else if (const auto* document =
               std::get_if<DocumentReply>(&aMessage.m_body)) {
    m_metrics.Count(
      kDocumentMetric,
      { { "kind",
          std::string(NameOf(kDocumentKindNames, document->m_kind)) } });
    aDeferred.push_back([this, reply = *document] {
      m_hooks.m_onDocument(reply.m_kind, reply.m_content);
    });
  } else if (const auto* claim = std::get_if<ClaimRequest>(&aMessage.m_body)) {
    OnClaimRequest(aMessage, *claim);
  } else if (const auto* result = std::get_if<ClaimReply>(&aMessage.m_body)) {
    OnClaimReply(aMessage, *result, aDeferred);
  } else if (const auto* request = std::get_if<SlotRequest>(&aMessage.m_body)) {
    SendAll(m_slots.OnRequest(sender, *request, aNow));
  } else if (const auto* reply = std::get_if<SlotReply>(&aMessage.m_body)) {
    m_slots.OnReply(sender, *reply, aNow);
  } else if (const auto* goodbye = std::get_if<Goodbye>(&aMessage.m_body)) {
    m_membership->ApplyGoodbye(sender, goodbye->m_clean, aNow, absl::Now());
    UpdateSlotView(aNow);
  }
}

void
ClusterNode::OnHeartbeat(const Message& aMessage,
                         const Heartbeat& aHeartbeat,
                         absl::Time aNow,
                         Deferred& aDeferred)
{
  m_metrics.Count(kHeartbeatMetric, { { "direction", "received" } });
  const std::uint64_t incarnation = m_membership->Incarnation();
  const std::string& daemon = aMessage.m_daemon;
  const HeartbeatResult result = m_membership->Apply(
    daemon, aMessage.m_incarnation, aHeartbeat, aNow, absl::Now());
  if (m_membership->Incarnation() != incarnation) {
    m_metrics.Count(kRejoinMetric, { { "reason", "reported_dead" } });
    LogWarning(LogPart::Peers,
               absl::StrCat(daemon,
                            " regards this daemon as dead; it rejoins as a "
                            "new incarnation"));
    AfterRejoin(aDeferred);
  }
  UpdateSlotView(aNow);
  for (const MemberEntry& entry : aHeartbeat.m_members) {
    const auto member = m_membership->Others().find(entry.m_daemon);
    const bool isUnheard =
      member != m_membership->Others().end() && !member->second.m_heardDirectly;
    if (isUnheard && member->second.m_liveness != Liveness::Dead) {
      Greet(entry.m_daemon, aNow);
    }
  }
  switch (result) {
    case HeartbeatResult::UnknownSender:
      CountDropped("unknown_incarnation");
      return;
    case HeartbeatResult::SenderIsDead:
      CountDropped("dead_incarnation");
      SendHeartbeat(daemon,
                    m_membership->Others().at(daemon).m_entry.m_address);
      return;
    case HeartbeatResult::NewMember:
      LogInfo(LogPart::Peers, absl::StrCat(daemon, " joined"));
      Greet(daemon, aNow);
      break;
    case HeartbeatResult::Known:
      break;
  }
  const Member& member = m_membership->Others().at(daemon);
  NoteAnnouncement(DocumentKind::Configuration,
                   daemon,
                   aHeartbeat.m_state.m_configurationVersion,
                   aNow);
  if (m_membership->IsLocal(member)) {
    NoteAnnouncement(
      DocumentKind::Fleet, daemon, aHeartbeat.m_state.m_fleetRevision, aNow);
  }
}

void
ClusterNode::NoteAnnouncement(DocumentKind aKind,
                              const std::string& aDaemon,
                              std::uint64_t aVersion,
                              absl::Time aNow)
{
  if (aVersion <= OwnVersion(aKind)) {
    return;
  }
  Announcement& announcement = m_announcements[aKind];
  if (announcement.m_version == 0) {
    announcement.m_askAt = aNow + kDocumentGrace;
  }
  if (aVersion > announcement.m_version) {
    announcement.m_daemon = aDaemon;
    announcement.m_version = aVersion;
  }
}

void
ClusterNode::AskForDocuments(absl::Time aNow)
{
  for (auto& [kind, announcement] : m_announcements) {
    if (announcement.m_version <= OwnVersion(kind)) {
      announcement = {};
      continue;
    }
    if (aNow < announcement.m_askAt) {
      continue;
    }
    Send(announcement.m_daemon, DocumentRequest{ kind });
    announcement.m_askAt = aNow + kDocumentRetry;
    // The next heartbeat names a daemon again, in case this one is gone.
    announcement.m_version = OwnVersion(kind) + 1;
  }
}

void
ClusterNode::OnClaimRequest(const Message& aMessage,
                            const ClaimRequest& aRequest)
{
  const ClaimReplyCode code = GrantClaim(aRequest);
  m_metrics.Count(
    kClaimServedMetric,
    { { "result", std::string(NameOf(kClaimReplyCodeNames, code)) } });
  Send(aMessage.m_daemon, ClaimReply{ aRequest.m_number, code });
}

void
ClusterNode::OnClaimReply(const Message& aMessage,
                          const ClaimReply& aReply,
                          Deferred& aDeferred)
{
  const auto claim = m_pendingClaims.find(aReply.m_number);
  if (claim == m_pendingClaims.end() ||
      claim->second.m_owner !=
        IncarnationId{ aMessage.m_daemon, aMessage.m_incarnation }) {
    CountDropped("late_claim_reply");
    return;
  }
  FinishClaim(claim, OutcomeOf(aReply.m_code), aDeferred);
}

ClaimReplyCode
ClusterNode::GrantClaim(const ClaimRequest& aRequest)
{
  if (!m_membership->MayClaim(MonotonicNow())) {
    return ClaimReplyCode::Blocked;
  }
  const Uuid7 id{ aRequest.m_idHigh, aRequest.m_idLow };
  const auto candidates = m_membership->OwnerCandidates();
  const OwnerCandidate* const owner = FindClaimOwner(candidates, id);
  const bool isOwner = owner && owner->m_daemon == m_settings.m_daemon &&
                       owner->m_incarnation == m_membership->Incarnation();
  if (!isOwner || aRequest.m_ownerIncarnation != owner->m_incarnation) {
    return ClaimReplyCode::NotOwner;
  }
  return ReplyOf(m_claims.Claim(id, absl::Now()));
}

void
ClusterNode::FinishClaim(std::map<std::uint64_t, PendingClaim>::iterator aClaim,
                         ClaimOutcome aOutcome,
                         Deferred& aDeferred)
{
  m_metrics.Count(
    kClaimMetric,
    { { "outcome", std::string(NameOf(kClaimOutcomeNames, aOutcome)) } });
  aDeferred.push_back(
    [done = std::move(aClaim->second.m_done), aOutcome] { done(aOutcome); });
  m_pendingClaims.erase(aClaim);
}

void
ClusterNode::ExpireClaims(absl::Time aNow, Deferred& aDeferred)
{
  const auto& others = m_membership->Others();
  for (auto next = m_pendingClaims.begin(); next != m_pendingClaims.end();) {
    const auto claim = next++;
    PendingClaim& pending = claim->second;
    const auto owner = others.find(pending.m_owner.m_daemon);
    const bool isOwnerAlive =
      owner != others.end() && owner->second.m_liveness != Liveness::Dead &&
      owner->second.m_entry.m_incarnation == pending.m_owner.m_incarnation;
    if (aNow >= pending.m_deadline || !isOwnerAlive) {
      FinishClaim(claim, ClaimOutcome::OwnerUnreachable, aDeferred);
    } else if (!pending.m_isSent) {
      pending.m_isSent = Send(pending.m_owner.m_daemon, pending.m_request);
    }
  }
}

bool
ClusterNode::BeginClaim(const std::string& aRequestId,
                        ClaimCallback& aDone,
                        ClaimOutcome& aOutcome)
{
  const auto id = Uuid7::Parse(aRequestId);
  if (!id) {
    aOutcome = ClaimOutcome::InvalidId;
    return true;
  }
  aOutcome = ClaimTable::CheckAge(*id, absl::Now());
  if (aOutcome != ClaimOutcome::Granted) {
    return true;
  }
  aOutcome = ClaimOutcome::OwnerUnreachable;
  const absl::Time now = MonotonicNow();
  const auto candidates = m_membership->OwnerCandidates();
  const OwnerCandidate* const owner = FindClaimOwner(candidates, *id);
  if (!m_membership->MayClaim(now) || !owner || owner->IsDead()) {
    return true;
  }
  const ClaimRequest request{
    ++m_lastClaim, owner->m_incarnation, id->m_high, id->m_low
  };
  if (owner->m_daemon == m_settings.m_daemon) {
    aOutcome = OutcomeOf(GrantClaim(request));
    return true;
  }
  PendingClaim& pending = m_pendingClaims[request.m_number];
  pending.m_done = std::move(aDone);
  pending.m_owner = { owner->m_daemon, owner->m_incarnation };
  pending.m_request = request;
  pending.m_deadline = now + kClaimTimeout;
  pending.m_isSent = Send(owner->m_daemon, request);
  return false;
}

std::uint64_t
ClusterNode::OwnVersion(DocumentKind aKind) const
{
  return aKind == DocumentKind::Configuration
           ? m_localState.m_configurationVersion
           : m_localState.m_fleetRevision;
}

void
ClusterNode::CountDropped(const std::string& aReason)
{
  m_metrics.Count(kDroppedMetric, { { "reason", aReason } });
}

}
