#pragma once

#include "cluster/claim_owner.h"
#include "cluster/claim_table.h"
#include "cluster/cluster_settings.h"
#include "cluster/membership.h"
#include "cluster/messages.h"
#include "cluster/slot_ledger.h"
#include "core/claim_outcome.h"
#include "dispatch/slot_usage.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bramleystall {

class Metrics;

/** A claim that takes longer ends as OwnerUnreachable. */
inline constexpr absl::Duration kClaimTimeout = absl::Seconds(1);

/** What this daemon knows about a member. */
struct MemberView
{
  std::string m_daemon;
  std::string m_dataCentre;
  std::uint64_t m_incarnation = 0;
  Liveness m_liveness = Liveness::Alive;
  std::uint64_t m_configurationVersion = 0;
  std::string m_configurationDigest;
  std::uint64_t m_fleetRevision = 0;
  std::map<std::string, int> m_inFlight;
  std::map<std::string, int> m_probeStates;
  /** Monotonic time; the current time for this daemon itself. */
  absl::Time m_lastHeard;
};

/** Current time on both clocks. */
struct CallTime
{
  /** Monotonic clock, which also counts while the system is suspended. */
  absl::Time m_now;
  absl::Time m_wall;
};

using ClaimCallback = std::function<void(ClaimOutcome)>;

/** Actions that the caller of ClusterProtocol must take after a call. */
struct ProtocolEffects
{
  struct FinishedClaim
  {
    ClaimCallback m_done;
    ClaimOutcome m_outcome = ClaimOutcome::OwnerUnreachable;
  };
  struct RequestedDocument
  {
    std::string m_daemon;
    DocumentKind m_kind = DocumentKind::Configuration;
  };

  std::vector<FinishedClaim> m_finishedClaims;
  /** Documents to send with SendDocument. */
  std::vector<RequestedDocument> m_requestedDocuments;
  std::vector<DocumentReply> m_receivedDocuments;
};

/**
 * Protocol between the daemons: heartbeats, documents, claims and slot tokens.
 * It has no clock, socket or thread of its own and sends messages through a
 * function that must not block. Not thread-safe.
 */
class ClusterProtocol
{
public:
  /** Sends to an address; false when nothing was sent. */
  using SendBytes =
    std::function<bool(const std::string& aAddress, const std::string& aBytes)>;

  /** Claims are numbered from `aFirstClaimNumber` on. A random number keeps
   * replies to an earlier process from matching a claim of this one. */
  ClusterProtocol(ClusterSettings aSettings,
                  SendBytes aSend,
                  SlotLedger::SetAllowance aSetAllowance,
                  Metrics& aMetrics,
                  std::uint64_t aFirstClaimNumber,
                  const CallTime& aTime);

  /** Sends the messages that are due. Call it every 100 ms. */
  ProtocolEffects Tick(LocalState aState,
                       const std::vector<SlotUsage>& aUsages,
                       const CallTime& aTime);

  /** Handles a message; malformed ones are counted and dropped. */
  ProtocolEffects Receive(const std::string& aBytes, const CallTime& aTime);

  /** Claims a request id; a later call may return the outcome. */
  ProtocolEffects Claim(const std::string& aRequestId,
                        ClaimCallback aDone,
                        const CallTime& aTime);

  void SendDocument(const std::string& aDaemon, DocumentReply aReply);

  /** Tells all members that this daemon leaves. `aIsClean` means that it has
   * nothing in flight. */
  void Leave(bool aIsClean);

  /** Ends pending claims as OwnerUnreachable. */
  ProtocolEffects EndClaims();

  /** Replaces FindClaimOwner, to compare it with other rules. */
  using OwnerRule =
    std::function<const OwnerCandidate*(const std::vector<OwnerCandidate>&,
                                        const Uuid7&)>;
  void SetOwnerRule(OwnerRule aRule) { m_findOwner = std::move(aRule); }

  /** Whether Tick should be called at once. */
  bool WantsTick() const { return m_slots.WantsTick(); }

  bool IsReady(absl::Time aNow) const;

  std::vector<MemberView> Members(absl::Time aNow) const;

  /** Addresses of all seeds and members, to which messages may be sent. */
  std::set<std::string> Addresses() const;

  const Membership& Peers() const { return m_membership; }
  const SlotLedger& Slots() const { return m_slots; }

private:
  struct PendingClaim
  {
    ClaimCallback m_done;
    IncarnationId m_owner;
    ClaimRequest m_request;
    absl::Time m_deadline;
    bool m_isSent = false;
  };
  using PendingClaims = std::map<std::uint64_t, PendingClaim>;

  /** Newer document version that a peer announced. */
  struct Announcement
  {
    std::string m_daemon;
    std::uint64_t m_version = 0;
    absl::Time m_requestAt;
  };

  void Advance(const CallTime& aTime, ProtocolEffects& aEffects);
  void ResetAfterRejoin(ProtocolEffects& aEffects);
  void UpdateSlotView(absl::Time aNow);
  void SendHeartbeats(const CallTime& aTime);
  bool SendHeartbeat(const std::string& aDaemon,
                     const std::string& aAddress,
                     absl::Time aWall);
  void QueueFirstHeartbeat(const std::string& aDaemon, absl::Time aNow);
  void SendFirstHeartbeats(const CallTime& aTime);
  bool Send(const std::string& aDaemon, MessageBody aBody);
  bool SendTo(const std::string& aAddress, MessageBody aBody);
  void SendAll(std::vector<SlotMessage> aMessages);

  // One handler for each kind of message.
  void Handle(const IncarnationId& aSender,
              const Heartbeat& aHeartbeat,
              const CallTime& aTime,
              ProtocolEffects& aEffects);
  void Handle(const IncarnationId& aSender,
              const DocumentRequest& aRequest,
              const CallTime& aTime,
              ProtocolEffects& aEffects);
  void Handle(const IncarnationId& aSender,
              const DocumentReply& aReply,
              const CallTime& aTime,
              ProtocolEffects& aEffects);
  void Handle(const IncarnationId& aSender,
              const ClaimRequest& aRequest,
              const CallTime& aTime,
              ProtocolEffects& aEffects);
  void Handle(const IncarnationId& aSender,
              const ClaimReply& aReply,
              const CallTime& aTime,
              ProtocolEffects& aEffects);
  void Handle(const IncarnationId& aSender,
              const SlotRequest& aRequest,
              const CallTime& aTime,
              ProtocolEffects& aEffects);
  void Handle(const IncarnationId& aSender,
              const SlotReply& aReply,
              const CallTime& aTime,
              ProtocolEffects& aEffects);
  void Handle(const IncarnationId& aSender,
              const Goodbye& aGoodbye,
              const CallTime& aTime,
              ProtocolEffects& aEffects);

  void RespondToHeartbeat(const std::string& aDaemon,
                          HeartbeatResult aResult,
                          const CallTime& aTime);
  void QueueUnheardMembers(const std::vector<MemberEntry>& aEntries,
                           absl::Time aNow);
  void RecordAnnouncement(DocumentKind aKind,
                          const std::string& aDaemon,
                          std::uint64_t aVersion,
                          absl::Time aNow);
  void RequestDocuments(absl::Time aNow);
  /** Returns the outcome if it is known at once; else the claim is pending. */
  std::optional<ClaimOutcome> BeginClaim(const std::string& aRequestId,
                                         ClaimCallback& aDone,
                                         const CallTime& aTime);
  ClaimReplyCode GrantClaim(const ClaimRequest& aRequest,
                            const CallTime& aTime);
  void FinishClaim(PendingClaims::iterator aClaim,
                   ClaimOutcome aOutcome,
                   ProtocolEffects& aEffects);
  void FinishAllClaims(ProtocolEffects& aEffects);
  void ExpireClaims(absl::Time aNow, ProtocolEffects& aEffects);
  std::uint64_t LocalVersion(DocumentKind aKind) const;
  void CountClaim(ClaimOutcome aOutcome);
  void CountDropped(const std::string& aReason);

  ClusterSettings m_settings;
  SendBytes m_send;
  Metrics& m_metrics;
  Membership m_membership;
  SlotLedger m_slots;
  ClaimTable m_claims;
  OwnerRule m_findOwner = FindClaimOwner;
  LocalState m_localState;
  PendingClaims m_pendingClaims;
  std::uint64_t m_lastClaimNumber;
  std::map<DocumentKind, Announcement> m_announcements;
  /** Daemons that still need a first heartbeat, with the deadline for it. */
  std::map<std::string, absl::Time> m_firstHeartbeats;
  absl::Time m_nextLocalHeartbeat;
  absl::Time m_nextRemoteHeartbeat;
};

}
