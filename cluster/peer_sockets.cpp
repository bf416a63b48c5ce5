#include "cluster/peer_sockets.h"

#include "core/error.h"

#include <absl/strings/str_cat.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <chrono>
#include <functional>
#include <future>
#include <thread>
#include <utility>
#include <vector>

namespace bramleystall {

namespace {

/** A document is at most 1 MB in the store. */
constexpr std::size_t kMaxMessageBytes = 4U << 20U;
/** Messages that wait for one peer; bounds the memory for a frozen peer. */
constexpr int kSendQueueMessages = 64;
constexpr int kReceiveQueueMessages = 256;
constexpr nng_duration kReconnectMinMs = 50;
constexpr nng_duration kReconnectMaxMs = 1000;

std::string
UrlOf(const std::string& aAddress)
{
  return absl::StrCat("tcp://", aAddress);
}

void
Check(int aResult, const char* aAction, const std::string& aAddress)
{
  if (aResult != 0) {
    throw Error(
      ErrorCode::Unavailable,
      absl::StrCat(aAction, " ", aAddress, ": ", nng_strerror(aResult)));
  }
}

/**
 * Runs a call to nng_close in a thread of its own. nng 1.5.2 sometimes never
 * returns from it while a peer connects, which must block neither the ticks
 * nor the exit of the process.
 */
std::future<void>
CloseInBackground(std::function<void()> aClose)
{
  std::packaged_task<void()> task(std::move(aClose));
  std::future<void> done = task.get_future();
  std::thread(std::move(task)).detach();
  return done;
}

}

struct PeerSockets::Outgoing
{
  explicit Outgoing(const std::string& aAddress);
  ~Outgoing() { nng_close(m_socket); }
  Outgoing(const Outgoing&) = delete;
  Outgoing& operator=(const Outgoing&) = delete;

  nng_socket m_socket = NNG_SOCKET_INITIALIZER;
  std::atomic<int> m_connections = 0;
};

PeerSockets::Outgoing::Outgoing(const std::string& aAddress)
{
  Check(nng_push0_open(&m_socket), "cannot open a socket for", aAddress);
  const auto onPipe = [](nng_pipe /*aPipe*/, nng_pipe_ev aEvent, void* aSelf) {
    auto& connections = static_cast<Outgoing*>(aSelf)->m_connections;
    connections += aEvent == NNG_PIPE_EV_ADD_POST ? 1 : -1;
  };
  nng_pipe_notify(m_socket, NNG_PIPE_EV_ADD_POST, onPipe, this);
  nng_pipe_notify(m_socket, NNG_PIPE_EV_REM_POST, onPipe, this);
  nng_socket_set_int(m_socket, NNG_OPT_SENDBUF, kSendQueueMessages);
  nng_socket_set_ms(m_socket, NNG_OPT_RECONNMINT, kReconnectMinMs);
  nng_socket_set_ms(m_socket, NNG_OPT_RECONNMAXT, kReconnectMaxMs);
  const int result =
    nng_dial(m_socket, UrlOf(aAddress).c_str(), nullptr, NNG_FLAG_NONBLOCK);
  if (result != 0) {
    nng_close(m_socket);
  }
  Check(result, "cannot connect to", aAddress);
}

PeerSockets::PeerSockets(const std::string& aListenAddress)
{
  Check(
    nng_pull0_open(&m_listener), "cannot open a socket for", aListenAddress);
  nng_socket_set_size(m_listener, NNG_OPT_RECVMAXSZ, kMaxMessageBytes);
  nng_socket_set_int(m_listener, NNG_OPT_RECVBUF, kReceiveQueueMessages);
  const int result =
    nng_listen(m_listener, UrlOf(aListenAddress).c_str(), nullptr, 0);
  if (result != 0) {
    nng_close(m_listener);
  }
  Check(result, "cannot listen on", aListenAddress);
  m_isListening = true;
}

PeerSockets::~PeerSockets()
{
  std::vector<std::future<void>> closing;
  for (auto& [address, outgoing] : m_outgoing) {
    closing.push_back(Close(std::move(outgoing)));
  }
  const auto deadline = std::chrono::steady_clock::now() +
                        absl::ToChronoMilliseconds(kCloseTimeout);
  for (const auto& done : closing) {
    done.wait_until(deadline);
  }
  CloseListener();
}

std::future<void>
PeerSockets::Close(std::unique_ptr<Outgoing> aOutgoing)
{
  return CloseInBackground([outgoing = std::shared_ptr<Outgoing>(std::move(
                              aOutgoing))]() mutable { outgoing.reset(); });
}

SendResult
PeerSockets::Send(const std::string& aAddress, const std::string& aBytes)
{
  auto& outgoing = m_outgoing[aAddress];
  if (!outgoing) {
    try {
      outgoing = std::make_unique<Outgoing>(aAddress);
    } catch (const Error&) {
      // The address came from a peer and may be malformed.
      m_outgoing.erase(aAddress);
      return SendResult::NotConnected;
    }
  }
  // Without a connection nng would keep the message and deliver it late.
  if (outgoing->m_connections <= 0) {
    return SendResult::NotConnected;
  }
  // nng copies the bytes.
  const int result = nng_send(outgoing->m_socket,
                              const_cast<char*>(aBytes.data()),
                              aBytes.size(),
                              NNG_FLAG_NONBLOCK);
  return result == 0 ? SendResult::Sent : SendResult::QueueFull;
}

std::optional<std::string>
PeerSockets::Receive()
{
  nng_msg* message = nullptr;
  if (nng_recvmsg(m_listener, &message, 0) != 0) {
    return std::nullopt;
  }
  std::string bytes(static_cast<const char*>(nng_msg_body(message)),
                    nng_msg_len(message));
  nng_msg_free(message);
  return bytes;
}

void
PeerSockets::KeepOnly(const std::set<std::string>& aAddresses)
{
  for (auto next = m_outgoing.begin(); next != m_outgoing.end();) {
    const auto outgoing = next++;
    if (!aAddresses.contains(outgoing->first)) {
      Close(std::move(outgoing->second));
      m_outgoing.erase(outgoing);
    }
  }
}

void
PeerSockets::CloseListener()
{
  if (!m_isListening.exchange(false)) {
    return;
  }
  CloseInBackground([listener = m_listener] {
    nng_close(listener);
  }).wait_for(absl::ToChronoMilliseconds(kCloseTimeout));
}

}
