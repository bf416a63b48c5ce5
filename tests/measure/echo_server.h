#pragma once

#include <string>
#include <thread>
#include <unordered_map>

namespace bramleystall {

/**
 * HTTP/1.1 target that answers each request without a body at once with a fixed
 * response. One thread serves all connections, so that measurements with a new
 * connection for each request do not measure the start of threads. For
 * throughput measurements only.
 */
class EchoServer
{
public:
  /** Listens on a free port. Throws Error (Unavailable). */
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
  /** Bytes received of the next request, by connection. */
  std::unordered_map<int, std::string> m_received;
  std::thread m_thread;
};

}
