#pragma once

#include <absl/time/time.h>

#include <atomic>
#include <string>
#include <thread>

namespace bramleystall {

/** HTTP server on the loopback that sends one response, its body in pieces. */
class SlowServer
{
public:
  struct Plan
  {
    std::string m_body;
    int m_status = 200;
    int m_pieces = 1;
    /** Time between two pieces. */
    absl::Duration m_pause;
  };

  /** Listens on a free port and serves one connection on a thread. */
  explicit SlowServer(Plan aPlan);
  ~SlowServer();
  SlowServer(const SlowServer&) = delete;
  SlowServer& operator=(const SlowServer&) = delete;

  std::string Address() const;

private:
  void Serve();

  Plan m_plan;
  int m_listener = -1;
  std::atomic<bool> m_isStopped = false;
  std::thread m_thread;
};

}
