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

/**
 * Connection of this daemon to the others: membership, spread of documents,
 * claims of request ids and slot tokens. Runs ClusterProtocol with one thread
 * for ticks and one that receives. Thread-safe.
 */
class ClusterNode
{
public:
  ClusterNode(ClusterSettings aSettings,
              ClusterHooks aHooks,
              Metrics& aMetrics);
  /** Stops without a goodbye, as a failure would, when still running. */
  ~ClusterNode();
  ClusterNode(const ClusterNode&) = delete;
  ClusterNode& operator=(const ClusterNode&) = delete;

  /** Listens and joins. Throws Error (Unavailable) when it cannot listen. */
  void Start();

  /** Sends a goodbye to all members and ends the threads. The slots of a
   * daemon that stops with requests in flight stay reserved for them. */
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
