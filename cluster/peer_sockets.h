#pragma once

#include "core/enum_names.h"

#include <absl/time/time.h>
#include <nng/nng.h>

#include <atomic>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace bramleystall {

enum class SendResult
{
  Sent,
  /** There is no connection; nothing was sent. */
  NotConnected,
  /** The peer does not read and its queue is full; nothing was sent. */
  QueueFull,
};

inline constexpr EnumNames<SendResult, 3> kSendResultNames = { {
  { SendResult::Sent, "sent" },
  { SendResult::NotConnected, "not_connected" },
  { SendResult::QueueFull, "queue_full" },
} };

/** Longest time by which closing sockets delays the stop of a daemon. */
inline constexpr absl::Duration kCloseTimeout = absl::Seconds(1);

/**
 * nng sockets of one daemon: a pull socket that all peers send to, and a push
 * socket for each peer. Sending never blocks, so a dead or frozen peer delays
 * no other one. A request/reply socket would wait for such a peer.
 */
class PeerSockets
{
public:
  /** Listens on "IP:port". Throws Error (Unavailable) when it cannot. */
  explicit PeerSockets(const std::string& aListenAddress);
  ~PeerSockets();
  PeerSockets(const PeerSockets&) = delete;
  PeerSockets& operator=(const PeerSockets&) = delete;

  /** Sends to "IP:port"; connects in the background when needed. */
  SendResult Send(const std::string& aAddress, const std::string& aBytes);

  /** Waits for a message; nothing after CloseListener. Thread-safe. */
  std::optional<std::string> Receive();

  /** Closes the connections to all other addresses. */
  void KeepOnly(const std::set<std::string>& aAddresses);

  /** Ends Receive. Thread-safe; waits kCloseTimeout at most. */
  void CloseListener();

private:
  struct Outgoing;

  /** Closes a socket without waiting for it. */
  static std::future<void> Close(std::unique_ptr<Outgoing> aOutgoing);

  nng_socket m_listener = NNG_SOCKET_INITIALIZER;
  std::atomic<bool> m_isListening = false;
  std::map<std::string, std::unique_ptr<Outgoing>> m_outgoing;
};

}
