#pragma once

#include <string>
#include <thread>
#include <unordered_map>

namespace bramleystall {

/**
 * HTTP/1.1 target for throughput measurements. It responds to each request at
 * once with a fixed response and supports only requests without a body. One
 * thread serves all connections, so that measurements with a new connection for
 * each request do not include the start of threads.
 */
class EchoServer
{
public:
  /** Listens on a free loopback port. Throws Error (Unavailable). */
  EchoServer();
  ~EchoServer();
  EchoServer(const EchoServer&) = delete;
  EchoServer& operator=(const EchoServer&) = delete;

  int Port() const { return m_port; }

private:
  void Run();
  void AcceptAll();
  void Serve(int aSocket);

  int m_listener = -1;
  int m_epoll = -1;
  int m_stopEvent = -1;
  int m_port = 0;
  /** Received bytes of the incomplete request of each connection. */
  std::unordered_map<int, std::string> m_received;
  std::thread m_thread;
};

}
