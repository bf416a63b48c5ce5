#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace bramleystall {

/**
 * Detects callers that hang up (close the connection) while their request
 * waits. libmicrohttpd does not poll suspended connections, so a separate
 * thread watches their sockets with epoll, without reading from them. A caller
 * that shuts down its sending side counts as hung up.
 */
class CallerWatch
{
public:
  /** Returns false when the exchange is not known yet; the hang-up is then
   * reported again. */
  using OnHangUp = std::function<bool(std::uint64_t aExchangeId)>;

  explicit CallerWatch(OnHangUp aOnHangUp);
  ~CallerWatch();
  CallerWatch(const CallerWatch&) = delete;
  CallerWatch& operator=(const CallerWatch&) = delete;

  /** Starts the thread. Throws Error (Internal) when epoll cannot be set up. */
  void Start();
  void Stop();

  /** Watches a socket until Remove; reports its hang-up once. */
  void Add(std::uint64_t aExchangeId, int aSocket);

  /** Stops watching a socket. Must be called before the connection may be
   * closed. */
  void Remove(std::uint64_t aExchangeId);

private:
  void Run();
  void Report(std::uint64_t aExchangeId);

  OnHangUp m_onHangUp;
  int m_epoll = -1;
  int m_stopEvent = -1;
  std::mutex m_mutex;
  std::unordered_map<std::uint64_t, int> m_sockets;
  std::thread m_thread;
};

}
