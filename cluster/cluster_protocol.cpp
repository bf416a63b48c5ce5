#include "cluster/cluster_protocol.h"

#include "core/log.h"
#include "core/metrics.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace bramleystall {

namespace {

/** Leaves time for the store's watch to deliver the document first. */
constexpr absl::Duration kDocumentRequestDelay = absl::Milliseconds(200);
constexpr absl::Duration kDocumentRetryDelay = absl::Seconds(1);
/** A first heartbeat is retried each tick until the connection is open. */
constexpr absl::Duration kFirstHeartbeatTimeout = absl::Seconds(2);

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
ReplyCodeOf(ClaimOutcome aOutcome)
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

ClusterProtocol::ClusterProtocol(ClusterSettings aSettings,
                                 SendBytes aSend,
                                 SlotLedger::SetAllowance aSetAllowance,
                                 Metrics& aMetrics,
                                 std::uint64_t aFirstClaimNumber,
                                 const CallTime& aTime)
  : m_settings(std::move(aSettings))
  , m_send(std::move(aSend))
  , m_metrics(aMetrics)
  , m_membership({ m_settings.m_daemon,
                   m_settings.m_dataCentre,
                   m_settings.m_listenAddress },
                 aTime.m_now,
                 aTime.m_wall)
  , m_slots({ m_settings.m_daemon,
              m_settings.m_slotsPerWorker,
              m_settings.m_maxDeadline },
            std::move(aSetAllowance))
  , m_lastClaimNumber(aFirstClaimNumber)
  , m_nextLocalHeartbeat(aTime.m_now)
  , m_nextRemoteHeartbeat(aTime.m_now)
{
  for (const PeerAddress& seed : m_settings.m_seeds) {
    if (seed.m_daemon != m_settings.m_daemon) {
      QueueFirstHeartbeat(seed.m_daemon, aTime.m_now);
    }
  }
}

ProtocolEffects
ClusterProtocol::Tick(LocalState aState,
                      const std::vector<SlotUsage>& aUsages,
                      const CallTime& aTime)
{
  ProtocolEffects effects;
  Advance(aTime, effects);
  // A document change is announced at once.
  if (aState.m_configurationVersion != m_localState.m_configurationVersion) {
    m_nextLocalHeartbeat = aTime.m_now;
    m_nextRemoteHeartbeat = aTime.m_now;
  }
  if (aState.m_fleetRevision != m_localState.m_fleetRevision) {
    m_nextLocalHeartbeat = aTime.m_now;
  }
  m_localState = std::move(aState);
  SendHeartbeats(aTime);
  SendFirstHeartbeats(aTime);
  RequestDocuments(aTime.m_now);
  ExpireClaims(aTime.m_now, effects);
  const bool mayHold = m_membership.HasJoined() && m_membership.IsActive();
  SendAll(m_slots.Tick(aUsages, mayHold, aTime.m_now));
  return effects;
}

ProtocolEffects
ClusterProtocol::Receive(const std::string& aBytes, const CallTime& aTime)
{
  ProtocolEffects effects;
  const auto message = DecodeMessage(aBytes);
  if (!message) {
    CountDropped("malformed");
    return effects;
  }
  m_metrics.Count(
    kBytesMetric,
    { { "direction", "received" }, { "kind", KindName(message->Kind()) } },
    aBytes.size());
  Advance(aTime, effects);
  const IncarnationId sender{ message->m_daemon, message->m_incarnation };
  if (sender.m_daemon == m_settings.m_daemon) {
    CountDropped("own_name");
    return effects;
  }
  std::visit([&](const auto& aBody) { Handle(sender, aBody, aTime, effects); },
             message->m_body);
  return effects;
}

ProtocolEffects
ClusterProtocol::Claim(const std::string& aRequestId,
                       ClaimCallback aDone,
                       const CallTime& aTime)
{
  ProtocolEffects effects;
  Advance(aTime, effects);
  if (const auto outcome = BeginClaim(aRequestId, aDone, aTime)) {
    CountClaim(*outcome);
    effects.m_finishedClaims.push_back({ std::move(aDone), *outcome });
  }
  return effects;
}

void
ClusterProtocol::SendDocument(const std::string& aDaemon, DocumentReply aReply)
{
  if (!aReply.m_content.empty()) {
    Send(aDaemon, std::move(aReply));
  }
}

void
ClusterProtocol::Leave(bool aIsClean)
{
  for (const auto& [daemon, member] : m_membership.Others()) {
    Send(daemon, Goodbye{ aIsClean });
  }
}

ProtocolEffects
ClusterProtocol::EndClaims()
{
  ProtocolEffects effects;
  FinishAllClaims(effects);
  return effects;
}

bool
ClusterProtocol::IsReady(absl::Time aNow) const
{
  return m_membership.HasJoined() && !m_membership.IsPaused(aNow) &&
         m_membership.IsActive();
}

std::vector<MemberView>
ClusterProtocol::Members(absl::Time aNow) const
{
  Member self;
  self.m_entry = m_membership.SelfEntry();
  self.m_lastHeard = aNow;
  self.m_state = m_localState;
  std::vector<MemberView> views = { ViewOf(self) };
  views.reserve(m_membership.Others().size() + 1);
  for (const auto& [daemon, member] : m_membership.Others()) {
    views.push_back(ViewOf(member));
  }
  return views;
}

std::set<std::string>
ClusterProtocol::Addresses() const
{
  std::set<std::string> addresses;
  for (const PeerAddress& seed : m_settings.m_seeds) {
    addresses.insert(seed.m_address);
  }
  for (const auto& [daemon, member] : m_membership.Others()) {
    addresses.insert(member.m_entry.m_address);
  }
  return addresses;
}

void
ClusterProtocol::Advance(const CallTime& aTime, ProtocolEffects& aEffects)
{
  if (m_membership.Advance(aTime.m_now, aTime.m_wall)) {
    m_metrics.Count(kRejoinMetric, { { "reason", "paused" } });
    LogWarning(LogPart::Peers,
               "this process was paused; it rejoins as a new incarnation");
    ResetAfterRejoin(aEffects);
  }
  UpdateSlotView(aTime.m_now);
}

void
ClusterProtocol::ResetAfterRejoin(ProtocolEffects& aEffects)
{
  m_slots.ReturnAll();
  FinishAllClaims(aEffects);
  m_nextLocalHeartbeat = absl::InfinitePast();
  m_nextRemoteHeartbeat = absl::InfinitePast();
}

void
ClusterProtocol::UpdateSlotView(absl::Time aNow)
{
  std::vector<DeadHolder> dead;
  const auto add = [&dead](const Member& aMember) {
    dead.push_back(
      { { aMember.m_entry.m_daemon, aMember.m_entry.m_incarnation },
        aMember.m_lastHeard,
        aMember.m_entry.m_isClean });
  };
  for (const auto& [daemon, member] : m_membership.Others()) {
    if (m_membership.IsLocal(member) && member.m_liveness == Liveness::Dead) {
      add(member);
    }
  }
  std::ranges::for_each(m_membership.EarlierIncarnations(), add);
  // Before it has joined, this daemon does not know which tokens the others
  // hold, so it must lend none.
  m_slots.SetView(m_membership.HasJoined() ? m_membership.LocalView()
                                           : std::vector<IncarnationId>(),
                  dead,
                  aNow);
}

void
ClusterProtocol::SendHeartbeats(const CallTime& aTime)
{
  const bool isLocalDue = aTime.m_now >= m_nextLocalHeartbeat;
  const bool isRemoteDue = aTime.m_now >= m_nextRemoteHeartbeat;
  if (!isLocalDue && !isRemoteDue) {
    return;
  }
  m_membership.NextSequence(aTime.m_now);
  std::map<std::string, std::string> targets;
  for (const PeerAddress& seed : m_settings.m_seeds) {
    const bool isLocal = seed.m_dataCentre == m_settings.m_dataCentre;
    if (isLocal ? isLocalDue : isRemoteDue) {
      targets[seed.m_daemon] = seed.m_address;
    }
  }
  for (const auto& [daemon, member] : m_membership.Others()) {
    // A dead member learns from a heartbeat that it is regarded as dead, in
    // case it runs again.
    const bool isFrequent =
      m_membership.IsLocal(member) && member.m_liveness != Liveness::Dead;
    targets.erase(daemon);
    if (isFrequent ? isLocalDue : isRemoteDue) {
      targets[daemon] = member.m_entry.m_address;
    }
  }
  targets.erase(m_settings.m_daemon);
  for (const auto& [daemon, address] : targets) {
    SendHeartbeat(daemon, address, aTime.m_wall);
  }
  if (isLocalDue) {
    m_nextLocalHeartbeat = aTime.m_now + kHeartbeatInterval;
  }
  if (isRemoteDue) {
    m_nextRemoteHeartbeat = aTime.m_now + kRemoteHeartbeatInterval;
  }
}

bool
ClusterProtocol::SendHeartbeat(const std::string& aDaemon,
                               const std::string& aAddress,
                               absl::Time aWall)
{
  Heartbeat heartbeat =
    m_membership.MakeHeartbeat(aDaemon, m_localState, aWall);
  if (!SendTo(aAddress, std::move(heartbeat))) {
    return false;
  }
  m_metrics.Count(kHeartbeatMetric, { { "direction", "sent" } });
  return true;
}

void
ClusterProtocol::QueueFirstHeartbeat(const std::string& aDaemon,
                                     absl::Time aNow)
{
  m_firstHeartbeats[aDaemon] = aNow + kFirstHeartbeatTimeout;
}

void
ClusterProtocol::SendFirstHeartbeats(const CallTime& aTime)
{
  for (auto next = m_firstHeartbeats.begin();
       next != m_firstHeartbeats.end();) {
    const auto current = next++;
    const auto& [daemon, deadline] = *current;
    const auto member = m_membership.Others().find(daemon);
    const auto seed =
      std::ranges::find(m_settings.m_seeds, daemon, &PeerAddress::m_daemon);
    std::string address;
    if (member != m_membership.Others().end()) {
      address = member->second.m_entry.m_address;
    } else if (seed != m_settings.m_seeds.end()) {
      address = seed->m_address;
    }
    if (aTime.m_now >= deadline || address.empty() ||
        SendHeartbeat(daemon, address, aTime.m_wall)) {
      m_firstHeartbeats.erase(current);
    }
  }
}

bool
ClusterProtocol::Send(const std::string& aDaemon, MessageBody aBody)
{
  const auto member = m_membership.Others().find(aDaemon);
  if (member == m_membership.Others().end()) {
    CountDropped("unknown_receiver");
    return false;
  }
  return SendTo(member->second.m_entry.m_address, std::move(aBody));
}

bool
ClusterProtocol::SendTo(const std::string& aAddress, MessageBody aBody)
{
  const Message message{ m_settings.m_daemon,
                         m_membership.Incarnation(),
                         std::move(aBody) };
  const std::string bytes = EncodeMessage(message);
  if (!m_send(aAddress, bytes)) {
    return false;
  }
  m_metrics.Count(
    kBytesMetric,
    { { "direction", "sent" }, { "kind", KindName(message.Kind()) } },
    bytes.size());
  return true;
}

void
ClusterProtocol::SendAll(std::vector<SlotMessage> aMessages)
{
  for (SlotMessage& message : aMessages) {
    std::visit([&](auto& aBody) { Send(message.m_receiver, std::move(aBody)); },
               message.m_body);
  }
}

void
ClusterProtocol::Handle(const IncarnationId& aSender,
                        const Heartbeat& aHeartbeat,
                        const CallTime& aTime,
                        ProtocolEffects& aEffects)
{
  m_metrics.Count(kHeartbeatMetric, { { "direction", "received" } });
  const std::uint64_t incarnation = m_membership.Incarnation();
  const std::string& daemon = aSender.m_daemon;
  const HeartbeatResult result = m_membership.Apply(
    daemon, aSender.m_incarnation, aHeartbeat, aTime.m_now, aTime.m_wall);
  if (m_membership.Incarnation() != incarnation) {
    m_metrics.Count(kRejoinMetric, { { "reason", "reported_dead" } });
    LogWarning(LogPart::Peers,
               absl::StrCat(daemon,
                            " regards this daemon as dead; it rejoins as a "
                            "new incarnation"));
    ResetAfterRejoin(aEffects);
  }
  UpdateSlotView(aTime.m_now);
  QueueUnheardMembers(aHeartbeat.m_members, aTime.m_now);
  RespondToHeartbeat(daemon, result, aTime);
  if (result != HeartbeatResult::Known &&
      result != HeartbeatResult::NewMember) {
    return;
  }
  RecordAnnouncement(DocumentKind::Configuration,
                     daemon,
                     aHeartbeat.m_state.m_configurationVersion,
                     aTime.m_now);
  if (m_membership.IsLocal(m_membership.Others().at(daemon))) {
    RecordAnnouncement(DocumentKind::Fleet,
                       daemon,
                       aHeartbeat.m_state.m_fleetRevision,
                       aTime.m_now);
  }
}

void
ClusterProtocol::Handle(const IncarnationId& aSender,
                        const DocumentRequest& aRequest,
                        const CallTime& /*aTime*/,
                        ProtocolEffects& aEffects)
{
  aEffects.m_requestedDocuments.push_back(
    { aSender.m_daemon, aRequest.m_kind });
}

void
ClusterProtocol::Handle(const IncarnationId& /*aSender*/,
                        const DocumentReply& aReply,
                        const CallTime& /*aTime*/,
                        ProtocolEffects& aEffects)
{
  m_metrics.Count(
    kDocumentMetric,
    { { "kind", std::string(NameOf(kDocumentKindNames, aReply.m_kind)) } });
  aEffects.m_receivedDocuments.push_back(aReply);
}

void
ClusterProtocol::Handle(const IncarnationId& aSender,
                        const ClaimRequest& aRequest,
                        const CallTime& aTime,
                        ProtocolEffects& /*aEffects*/)
{
  const ClaimReplyCode code = GrantClaim(aRequest, aTime);
  m_metrics.Count(
    kClaimServedMetric,
    { { "result", std::string(NameOf(kClaimReplyCodeNames, code)) } });
  Send(aSender.m_daemon, ClaimReply{ aRequest.m_number, code });
}

void
ClusterProtocol::Handle(const IncarnationId& aSender,
                        const ClaimReply& aReply,
                        const CallTime& /*aTime*/,
                        ProtocolEffects& aEffects)
{
  const auto claim = m_pendingClaims.find(aReply.m_number);
  if (claim == m_pendingClaims.end() || claim->second.m_owner != aSender) {
    CountDropped("late_claim_reply");
    return;
  }
  FinishClaim(claim, OutcomeOf(aReply.m_code), aEffects);
}

void
ClusterProtocol::Handle(const IncarnationId& aSender,
                        const SlotRequest& aRequest,
                        const CallTime& aTime,
                        ProtocolEffects& /*aEffects*/)
{
  SendAll(m_slots.OnRequest(aSender, aRequest, aTime.m_now));
}

void
ClusterProtocol::Handle(const IncarnationId& aSender,
                        const SlotReply& aReply,
                        const CallTime& aTime,
                        ProtocolEffects& /*aEffects*/)
{
  m_slots.OnReply(aSender, aReply, aTime.m_now);
}

void
ClusterProtocol::Handle(const IncarnationId& aSender,
                        const Goodbye& aGoodbye,
                        const CallTime& aTime,
                        ProtocolEffects& /*aEffects*/)
{
  m_membership.ApplyGoodbye(
    aSender, aGoodbye.m_isClean, aTime.m_now, aTime.m_wall);
  UpdateSlotView(aTime.m_now);
}

void
ClusterProtocol::RespondToHeartbeat(const std::string& aDaemon,
                                    HeartbeatResult aResult,
                                    const CallTime& aTime)
{
  switch (aResult) {
    case HeartbeatResult::UnknownSender:
      CountDropped("unknown_incarnation");
      return;
    case HeartbeatResult::SenderIsDead:
      CountDropped("dead_incarnation");
      QueueFirstHeartbeat(aDaemon, aTime.m_now);
      return;
    case HeartbeatResult::NewMember:
      LogInfo(LogPart::Peers, absl::StrCat(aDaemon, " joined"));
      QueueFirstHeartbeat(aDaemon, aTime.m_now);
      return;
    case HeartbeatResult::Known:
      return;
  }
}

void
ClusterProtocol::QueueUnheardMembers(const std::vector<MemberEntry>& aEntries,
                                     absl::Time aNow)
{
  for (const MemberEntry& entry : aEntries) {
    const auto member = m_membership.Others().find(entry.m_daemon);
    const bool isUnheard =
      member != m_membership.Others().end() && !member->second.m_heardDirectly;
    if (isUnheard && member->second.m_liveness != Liveness::Dead) {
      QueueFirstHeartbeat(entry.m_daemon, aNow);
    }
  }
}

void
ClusterProtocol::RecordAnnouncement(DocumentKind aKind,
                                    const std::string& aDaemon,
                                    std::uint64_t aVersion,
                                    absl::Time aNow)
{
  if (aVersion <= LocalVersion(aKind)) {
    return;
  }
  Announcement& announcement = m_announcements[aKind];
  if (announcement.m_version == 0) {
    announcement.m_requestAt = aNow + kDocumentRequestDelay;
  }
  if (aVersion > announcement.m_version) {
    announcement.m_daemon = aDaemon;
    announcement.m_version = aVersion;
  }
}

void
ClusterProtocol::RequestDocuments(absl::Time aNow)
{
  for (auto& [kind, announcement] : m_announcements) {
    if (announcement.m_version <= LocalVersion(kind)) {
      announcement = {};
      continue;
    }
    if (aNow < announcement.m_requestAt) {
      continue;
    }
    Send(announcement.m_daemon, DocumentRequest{ kind });
    announcement.m_requestAt = aNow + kDocumentRetryDelay;
    // Lets a later heartbeat select another daemon, in case this one fails.
    announcement.m_version = LocalVersion(kind) + 1;
  }
}

ClaimReplyCode
ClusterProtocol::GrantClaim(const ClaimRequest& aRequest, const CallTime& aTime)
{
  if (!m_membership.MayClaim(aTime.m_now)) {
    return ClaimReplyCode::Blocked;
  }
  const Uuid7 id{ aRequest.m_idHigh, aRequest.m_idLow };
  const auto candidates = m_membership.OwnerCandidates();
  const OwnerCandidate* const owner = m_findOwner(candidates, id);
  const bool isOwner = owner && owner->m_daemon == m_settings.m_daemon &&
                       owner->m_incarnation == m_membership.Incarnation();
  if (!isOwner || aRequest.m_ownerIncarnation != owner->m_incarnation) {
    return ClaimReplyCode::NotOwner;
  }
  return ReplyCodeOf(m_claims.Claim(id, aTime.m_wall));
}

std::optional<ClaimOutcome>
ClusterProtocol::BeginClaim(const std::string& aRequestId,
                            ClaimCallback& aDone,
                            const CallTime& aTime)
{
  const auto id = Uuid7::Parse(aRequestId);
  if (!id) {
    return ClaimOutcome::InvalidId;
  }
  const ClaimOutcome age = ClaimTable::CheckAge(*id, aTime.m_wall);
  if (age != ClaimOutcome::Granted) {
    return age;
  }
  const auto candidates = m_membership.OwnerCandidates();
  const OwnerCandidate* const owner = m_findOwner(candidates, *id);
  if (!m_membership.MayClaim(aTime.m_now) || !owner || owner->IsDead()) {
    return ClaimOutcome::OwnerUnreachable;
  }
  const ClaimRequest request{
    ++m_lastClaimNumber, owner->m_incarnation, id->m_high, id->m_low
  };
  if (owner->m_daemon == m_settings.m_daemon) {
    return OutcomeOf(GrantClaim(request, aTime));
  }
  PendingClaim& pending = m_pendingClaims[request.m_number];
  pending.m_done = std::move(aDone);
  pending.m_owner = { owner->m_daemon, owner->m_incarnation };
  pending.m_request = request;
  pending.m_deadline = aTime.m_now + kClaimTimeout;
  pending.m_isSent = Send(owner->m_daemon, request);
  return std::nullopt;
}

void
ClusterProtocol::FinishClaim(PendingClaims::iterator aClaim,
                             ClaimOutcome aOutcome,
                             ProtocolEffects& aEffects)
{
  CountClaim(aOutcome);
  aEffects.m_finishedClaims.push_back(
    { std::move(aClaim->second.m_done), aOutcome });
  m_pendingClaims.erase(aClaim);
}

void
ClusterProtocol::FinishAllClaims(ProtocolEffects& aEffects)
{
  while (!m_pendingClaims.empty()) {
    FinishClaim(
      m_pendingClaims.begin(), ClaimOutcome::OwnerUnreachable, aEffects);
  }
}

void
ClusterProtocol::ExpireClaims(absl::Time aNow, ProtocolEffects& aEffects)
{
  const auto& others = m_membership.Others();
  for (auto next = m_pendingClaims.begin(); next != m_pendingClaims.end();) {
    const auto claim = next++;
    PendingClaim& pending = claim->second;
    const auto owner = others.find(pending.m_owner.m_daemon);
    const bool isOwnerAlive =
      owner != others.end() && owner->second.m_liveness != Liveness::Dead &&
      owner->second.m_entry.m_incarnation == pending.m_owner.m_incarnation;
    if (aNow >= pending.m_deadline || !isOwnerAlive) {
      FinishClaim(claim, ClaimOutcome::OwnerUnreachable, aEffects);
    } else if (!pending.m_isSent) {
      pending.m_isSent = Send(pending.m_owner.m_daemon, pending.m_request);
    }
  }
}

std::uint64_t
ClusterProtocol::LocalVersion(DocumentKind aKind) const
{
  return aKind == DocumentKind::Configuration
           ? m_localState.m_configurationVersion
           : m_localState.m_fleetRevision;
}

void
ClusterProtocol::CountClaim(ClaimOutcome aOutcome)
{
  m_metrics.Count(
    kClaimMetric,
    { { "outcome", std::string(NameOf(kClaimOutcomeNames, aOutcome)) } });
}

void
ClusterProtocol::CountDropped(const std::string& aReason)
{
  m_metrics.Count(kDroppedMetric, { { "reason", aReason } });
}

}
