#pragma once

#include "cluster/claim_table.h"
#include "cluster/membership.h"
#include "cluster/messages.h"
#include "cluster/peer_sockets.h"
#include "cluster/slot_ledger.h"
#include "core/claim_outcome.h"
#include "dispatch/slot_usage.h"

#include <absl/time/time.h>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace bramleystall {

class Metrics;

/** Result of a claim is OwnerUnreachable when it takes longer. */
inline constexpr absl::Duration kClaimTimeout = absl::Seconds(1);

/** A daemon that may be reached at an address, "127.0.0.1:port". */
struct PeerAddress
{
  std::string m_daemon;
  std::string m_dataCentre;
  std::string m_address;
};

struct ClusterSettings
{
  std::string m_daemon;
  std::string m_dataCentre;
  /** Address to listen on, which the others connect to. */
  std::string m_listenAddress;
  /** Daemons to contact; the own entry is ignored. */
  std::vector<PeerAddress> m_seeds;
  /** Longest time that a request may run at a worker. */
  absl::Duration m_maxDeadline = absl::Seconds(30);
  int m_slotsPerWorker = 8;
};

/**
 * What the node needs from the daemon. The hooks are called from the threads
 * of the node. `m_setSlotAllowance` must not call the node; the others may.
 */
struct ClusterHooks
{
  std::function<LocalState()> m_localState;
  /** Serialized newest document this daemon has, empty if none. */
  std::function<std::string(DocumentKind)> m_document;
  /** A document from a peer that announced a newer one. */
  std::function<void(DocumentKind, const std::string&)> m_onDocument;
  std::function<std::vector<SlotUsage>()> m_slotUsages;
  /** Sets the slot tokens at a worker; returns the larger of the allowance
   * and the requests in flight. */
  std::function<int(const std::string& aVm, int aAllowance)> m_setSlotAllowance;
};

/** A daemon as this one sees it. */
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
  /** Monotonic time; now for this daemon. */
  absl::Time m_lastHeard;
};

/**
 * Connection of this daemon to the others: membership, spread of documents,
 * claims of request ids and slot tokens. Thread-safe.
 */
class ClusterNode
{
public:
  using ClaimCallback = std::function<void(ClaimOutcome)>;

  ClusterNode(ClusterSettings aSettings,
              ClusterHooks aHooks,
              Metrics& aMetrics);
  /** Stops without a goodbye, as a failure would, when still running. */
  ~ClusterNode();
  ClusterNode(const ClusterNode&) = delete;
  ClusterNode& operator=(const ClusterNode&) = delete;

  /** Listens and joins. Throws Error (Unavailable) when it cannot listen. */
  void Start();

  /** Sends a goodbye to all members and ends the threads. */
  void Stop();

  /** All known daemons, this one included. */
  std::vector<MemberView> Members() const;

  /**
   * Claims the id of a request. Calls `aDone` once within kClaimTimeout and a
   * tick, from this thread or one of the node's, without locks.
   */
  void Claim(const std::string& aRequestId, ClaimCallback aDone);

  /**
   * Whether this daemon may send requests to targets: it has joined, was not
   * paused since its last tick, and is not a ninth daemon. Check it before
   * each new attempt, since a paused daemon may have lost its slot tokens.
   */
  bool IsReady() const;

private:
  struct PendingClaim
  {
    ClaimCallback m_done;
    IncarnationId m_owner;
    ClaimRequest m_request;
    absl::Time m_deadline;
    bool m_isSent = false;
  };

  /** Newer document that a peer announced. */
  struct Announcement
  {
    std::string m_daemon;
    std::uint64_t m_version = 0;
    absl::Time m_askAt;
  };

  /** Calls to make after the mutex is released. */
  using Deferred = std::vector<std::function<void()>>;

  void RunTicks();
  void RunReceiver();
  void Shutdown(bool aSendGoodbye);
  void Tick();
  void OnBytes(const std::string& aBytes);
  void Advance(absl::Time aNow, Deferred& aDeferred);
  void AfterRejoin(Deferred& aDeferred);
  void UpdateSlotView(absl::Time aNow);
  void SendHeartbeats(absl::Time aNow);
  bool SendHeartbeat(const std::string& aDaemon, const std::string& aAddress);
  void Greet(const std::string& aDaemon, absl::Time aNow);
  void SendGreetings(absl::Time aNow);
  bool Send(const std::string& aDaemon, MessageBody aBody);
  bool SendTo(const std::string& aAddress, MessageBody aBody);
  void SendAll(std::vector<SlotMessage> aMessages);
  void Dispatch(const Message& aMessage, absl::Time aNow, Deferred& aDeferred);
  void OnHeartbeat(const Message& aMessage,
                   const Heartbeat& aHeartbeat,
                   absl::Time aNow,
                   Deferred& aDeferred);
  void NoteAnnouncement(DocumentKind aKind,
                        const std::string& aDaemon,
                        std::uint64_t aVersion,
                        absl::Time aNow);
  void AskForDocuments(absl::Time aNow);
  void OnClaimRequest(const Message& aMessage, const ClaimRequest& aRequest);
  void OnClaimReply(const Message& aMessage,
                    const ClaimReply& aReply,
                    Deferred& aDeferred);
  ClaimReplyCode GrantClaim(const ClaimRequest& aRequest);
  void FinishClaim(std::map<std::uint64_t, PendingClaim>::iterator aClaim,
                   ClaimOutcome aOutcome,
                   Deferred& aDeferred);
  void ExpireClaims(absl::Time aNow, Deferred& aDeferred);
  /** Outcome when it is known at once, else the claim is pending. */
  bool BeginClaim(const std::string& aRequestId,
                  ClaimCallback& aDone,
                  ClaimOutcome& aOutcome);
  std::uint64_t OwnVersion(DocumentKind aKind) const;
  void CountDropped(const std::string& aReason);

  ClusterSettings m_settings;
  ClusterHooks m_hooks;
  Metrics& m_metrics;

  mutable std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_isRunning = false;
  bool m_isStopping = false;
  bool m_wantsTick = false;
  std::unique_ptr<PeerSockets> m_sockets;
  std::unique_ptr<Membership> m_membership;
  SlotLedger m_slots;
  ClaimTable m_claims;
  LocalState m_localState;
  std::map<std::uint64_t, PendingClaim> m_pendingClaims;
  std::uint64_t m_lastClaim;
  std::map<DocumentKind, Announcement> m_announcements;
  /** Daemons that still need a first heartbeat, with the time to give up. */
  std::map<std::string, absl::Time> m_greetings;
  absl::Time m_nextLocalHeartbeat;
  absl::Time m_nextRemoteHeartbeat;

  std::thread m_ticker;
  std::thread m_receiver;
};

}
