#pragma once

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace bramleystall {

/**
 * HTTP/1.1 target that answers each request without a body at once with a fixed
 * response, one thread for each connection. For throughput measurements only.
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
  void AcceptAll();
  void Serve(int aSocket);

  int m_listener = -1;
  int m_port = 0;
  std::atomic<bool> m_stopping = false;
  std::mutex m_mutex;
  std::vector<int> m_sockets;
  std::vector<std::thread> m_connections;
  std::thread m_acceptor;
};

}
