#pragma once

#include <absl/time/time.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace bramleystall {

/** What each connection of a crowd sends. */
struct CrowdRequest
{
  /** Request line and headers, or the part of them that is sent. */
  std::string m_head;
  /** Sent again and again after the head. */
  std::string m_bodyBlock;
  /** Bytes sent after the head; the connection then stays open. */
  std::size_t m_bodyBytes = 0;
  /** Most bytes that a connection sends before the next one's turn. */
  std::size_t m_pieceBytes = std::size_t{ 1 } << 20U;
  /** Makes the head of the crowd's request with a number, from 0; if set, it is
   * used instead of m_head. */
  std::function<std::string(std::size_t aNumber)> m_makeHead = nullptr;
  /** Whether responses are read. */
  bool m_readsResponses = true;
};

/**
 * Connections to one loopback port that all send the same request, complete or
 * not, and stay open until the object is destroyed. Responses are discarded, or
 * not read at all.
 */
class ClientCrowd
{
public:
  ClientCrowd(std::uint16_t aPort, CrowdRequest aRequest);
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  /**
   * Opens the connections and sends until each has sent everything, or was
   * closed by the server, or until no connection makes progress for aStallTime,
   * or until aMaxTime. Calls aSample about every 20 ms.
   */
  void Run(std::size_t aConnections,
           const std::function<void()>& aSample,
           absl::Duration aStallTime = absl::Seconds(1),
           absl::Duration aMaxTime = absl::Seconds(60));

  /**
   * Opens the connections and sends until aIsStopped is set; opens a new
   * connection in place of each one that was closed by the server or has got a
   * response. Adds the sent bytes to aSentBytes. For a thread of its own.
   */
  void RunReturning(std::size_t aConnections,
                    const std::atomic<bool>& aIsStopped,
                    std::atomic<std::size_t>& aSentBytes);

  /** Connections that the server has not closed. */
  std::size_t OpenCount() const;

private:
  struct Connection
  {
    int m_socket = -1;
    std::string m_head;
    std::size_t m_sent = 0;
    bool m_isClosed = false;
    bool m_hasResponse = false;
  };

  std::size_t RequestBytes(const Connection& aConnection) const;
  Connection Connect();
  void ConnectAll(std::size_t aConnections);
  /** Both return whether the connection made progress. */
  bool SendPiece(Connection& aConnection) const;
  bool DiscardResponse(Connection& aConnection) const;

  std::uint16_t m_port;
  CrowdRequest m_request;
  std::size_t m_requestCount = 0;
  std::vector<Connection> m_connections;
};

}
