#pragma once

#include "cluster/cluster_protocol.h"
#include "cluster/cluster_settings.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace bramleystall {

class Metrics;
class PeerSockets;

/**
 * Callbacks into the daemon. They run in the threads of the node.
 * `m_setSlotAllowance` must not call the node; the others may.
 */
struct ClusterHooks
{
  std::function<LocalState()> m_localState;
  /** Serialized form of the daemon's newest document; empty if none. */
  std::function<std::string(DocumentKind)> m_document;
  /** Receives a document from a peer that announced a newer version. */
  std::function<void(DocumentKind, const std::string&)> m_onDocument;
  std::function<std::vector<SlotUsage>()> m_slotUsages;
  /** Sets the slot tokens at a worker; returns the larger of the allowance
   * and the requests in flight. */
  std::function<int(const std::string& aVm, int aAllowance)> m_setSlotAllowance;
};

/**
 * Membership of this daemon in the cluster: exchanges heartbeats, documents,
 * claims of request ids and slot tokens with the other daemons. Runs
 * ClusterProtocol with one thread for ticks and one for received messages.
 * Thread-safe.
 */
class ClusterNode
{
public:
  ClusterNode(ClusterSettings aSettings,
              ClusterHooks aHooks,
              Metrics& aMetrics);
  /** Stops a running node without a goodbye, like a crash. */
  ~ClusterNode();
  ClusterNode(const ClusterNode&) = delete;
  ClusterNode& operator=(const ClusterNode&) = delete;

  /** Listens and joins. Throws Error (Unavailable) when it cannot listen. */
  void Start();

  /** Sends a goodbye to all members and joins the threads. The slots of a
   * daemon that stops with requests in flight stay reserved for them. */
  void Stop();

  /** All known daemons, this one included. */
  std::vector<MemberView> Members() const;

  /**
   * Claims a request id. Calls `aDone` once within kClaimTimeout and a tick,
   * from the calling thread or one of the node's, with no lock held.
   */
  void Claim(const std::string& aRequestId, ClaimCallback aDone);

  /**
   * Whether this daemon may send requests to targets: it has joined, was not
   * paused since its last tick, and is among the kMaxActiveDaemons. Check it
   * before each new attempt, since a paused daemon may have lost its slot
   * tokens.
   */
  bool IsReady() const;

private:
  void RunTicks();
  void RunReceiver();
  void Tick();
  void Shutdown(bool aSendGoodbye);
  void Perform(const ProtocolEffects& aEffects);
  bool SendBytes(const std::string& aAddress, const std::string& aBytes);

  ClusterSettings m_settings;
  ClusterHooks m_hooks;
  Metrics& m_metrics;

  mutable std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_isRunning = false;
  bool m_wantsTick = false;
  std::unique_ptr<PeerSockets> m_sockets;
  std::unique_ptr<ClusterProtocol> m_protocol;
  std::thread m_ticker;
  std::thread m_receiver;
};

}
