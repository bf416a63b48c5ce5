#pragma once

#include "net/connection_table.h"
#include "server/caller_exchange.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace bramleystall {

class Metrics;

struct CallerServerSettings
{
  /** Numeric IP address to listen on. */
  std::string m_listenAddress = "127.0.0.1";
  /** 0 lets the system choose a free port. */
  int m_listenPort = 0;
  int m_threads = 2;
  std::size_t m_maxRequestBytes = 1U << 20U;
  /** Limits of all connections together. */
  RequestBudgetLimits m_limits =
    RequestBudgetLimits::ForProcess(ProcessLimits().m_memoryMb,
                                    ProcessLimits().m_maxDescriptors);
  absl::Duration m_readTimeout = ProcessLimits().m_requestReadTimeout;
};

struct CallerServerHooks
{
  /** A complete request was received. The response to its exchange may be set
   * later, from any thread. */
  std::function<void(std::shared_ptr<CallerExchange>)> m_onRequest;
  /** The caller closed the connection before its response. Returns false when
   * the exchange is not known yet. */
  std::function<bool(std::uint64_t aExchangeId)> m_onHangUp;
  /** Makes the response to a request that is rejected before m_onRequest, with
   * status 400, 413 or 503. */
  std::function<HttpResponse(const HttpRequest& aRequest,
                             int aStatus,
                             const std::string& aDetail)>
    m_makeRejection;
};

/**
 * HTTP/1.1 server for callers (libmicrohttpd with internal polling threads).
 * A connection is suspended while its request waits for the response.
 */
class CallerServer
{
public:
  /** aMetrics outlives the object. */
  CallerServer(CallerServerSettings aSettings,
               CallerServerHooks aHooks,
               Metrics& aMetrics);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /** Starts to listen. Throws Error (Unavailable) when the port is in use. */
  void Start();

  /** Port that the server listens on; 0 before Start. */
  int Port() const;

  /** Closes the listening socket. Open connections continue, including those
   * in the accept queue. */
  void StopListening();

  /** Number of requests that were given to m_onRequest and whose response is
   * not completely written yet. */
  int OpenExchanges() const;

  /** Closes connections whose request is incomplete for too long; to be called
   * at least once a second. */
  void Tick();

  /** Whether a request was refused within the last second because the limits
   * of the server were reached. */
  bool IsRefusing() const;

  /** Stops the server. Every exchange must have its response before. */
  void Stop();

  struct Impl;

private:
  std::unique_ptr<Impl> m_impl;
};

}
