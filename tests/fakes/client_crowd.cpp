#include "tests/fakes/client_crowd.h"

#include <absl/time/clock.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <iterator>
#include <stdexcept>
#include <string_view>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bramleystall {

namespace {

constexpr absl::Duration kSampleInterval = absl::Milliseconds(20);
constexpr absl::Duration kIdlePause = absl::Milliseconds(2);

}

ClientCrowd::ClientCrowd(std::uint16_t aPort, CrowdRequest aRequest)
  : m_port(aPort)
  , m_request(std::move(aRequest))
{
}

ClientCrowd::~ClientCrowd()
{
  for (const Connection& connection : m_connections) {
    close(connection.m_socket);
  }
}

std::size_t
ClientCrowd::RequestBytes(const Connection& aConnection) const
{
  return aConnection.m_head.size() + m_request.m_bodyBytes;
}

ClientCrowd::Connection
ClientCrowd::Connect()
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(m_port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int descriptor =
    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    throw std::runtime_error("crowd: no descriptor for a connection");
  }
  const int result = connect(
    descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  const std::size_t number = m_requestCount++;
  return { .m_socket = descriptor,
           .m_head = m_request.m_makeHead ? m_request.m_makeHead(number)
                                          : m_request.m_head,
           .m_isClosed = result != 0 && errno != EINPROGRESS };
}

void
ClientCrowd::ConnectAll(std::size_t aConnections)
{
  m_connections.reserve(aConnections);
  std::generate_n(std::back_inserter(m_connections), aConnections, [this] {
    return Connect();
  });
}

bool
ClientCrowd::SendPiece(Connection& aConnection) const
{
  std::size_t left = m_request.m_pieceBytes;
  while (!aConnection.m_isClosed && left > 0 &&
         aConnection.m_sent < RequestBytes(aConnection)) {
    std::string_view next = aConnection.m_head;
    if (aConnection.m_sent < next.size()) {
      next.remove_prefix(aConnection.m_sent);
    } else {
      const std::size_t position = aConnection.m_sent - next.size();
      next = m_request.m_bodyBlock;
      next.remove_prefix(position % next.size());
    }
    next = next.substr(
      0, std::min(left, RequestBytes(aConnection) - aConnection.m_sent));
    const ssize_t sent = send(aConnection.m_socket,
                              next.data(),
                              next.size(),
                              MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0) {
      aConnection.m_isClosed =
        errno != EAGAIN && errno != EWOULDBLOCK && errno != ENOTCONN;
      break;
    }
    aConnection.m_sent += static_cast<std::size_t>(sent);
    left -= static_cast<std::size_t>(sent);
  }
  return left < m_request.m_pieceBytes;
}

bool
ClientCrowd::DiscardResponse(Connection& aConnection) const
{
  if (!m_request.m_readsResponses) {
    return false;
  }
  std::array<char, 4096> buffer{};
  const ssize_t received =
    recv(aConnection.m_socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
  const bool isOpen =
    received > 0 || (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK ||
                                      errno == ENOTCONN));
  aConnection.m_isClosed = aConnection.m_isClosed || !isOpen;
  aConnection.m_hasResponse = aConnection.m_hasResponse || received > 0;
  return received >= 0 || !isOpen;
}

void
ClientCrowd::Run(std::size_t aConnections,
                 const std::function<void()>& aSample,
                 absl::Duration aStallTime,
                 absl::Duration aMaxTime)
{
  ConnectAll(aConnections);
  const absl::Time end = absl::Now() + aMaxTime;
  absl::Time lastProgress = absl::Now();
  absl::Time nextSample = absl::Now();
  while (absl::Now() < end && absl::Now() < lastProgress + aStallTime) {
    bool hasProgress = false;
    for (Connection& connection : m_connections) {
      if (connection.m_isClosed) {
        continue;
      }
      hasProgress = SendPiece(connection) || hasProgress;
      hasProgress = DiscardResponse(connection) || hasProgress;
      if (absl::Now() >= nextSample) {
        aSample();
        nextSample = absl::Now() + kSampleInterval;
      }
    }
    if (hasProgress) {
      lastProgress = absl::Now();
    } else {
      absl::SleepFor(kIdlePause);
    }
  }
  aSample();
}

void
ClientCrowd::RunReturning(std::size_t aConnections,
                          const std::atomic<bool>& aIsStopped,
                          std::atomic<std::size_t>& aSentBytes)
{
  ConnectAll(aConnections);
  while (!aIsStopped) {
    bool hasProgress = false;
    for (Connection& connection : m_connections) {
      const std::size_t sentBefore = connection.m_sent;
      hasProgress = SendPiece(connection) || hasProgress;
      aSentBytes += connection.m_sent - sentBefore;
      hasProgress = DiscardResponse(connection) || hasProgress;
      if (connection.m_isClosed || connection.m_hasResponse) {
        close(connection.m_socket);
        connection = Connect();
      }
    }
    if (!hasProgress) {
      absl::SleepFor(kIdlePause);
    }
  }
}

std::size_t
ClientCrowd::OpenCount() const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(m_connections, [](const Connection& aConnection) {
      return !aConnection.m_isClosed;
    }));
}

}
