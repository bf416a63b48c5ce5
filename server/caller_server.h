#pragma once

#include "server/caller_exchange.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace bramleystall {

struct CallerServerSettings
{
  /** Numeric address to listen on. */
  std::string m_listenAddress = "127.0.0.1";
  /** 0 for any free port. */
  int m_listenPort = 0;
  int m_threads = 2;
  std::size_t m_maxRequestBytes = 1U << 20U;
};

struct CallerServerHooks
{
  /** A complete request arrived; its exchange gets a response later. */
  std::function<void(std::shared_ptr<CallerExchange>)> m_onRequest;
  /** The caller of a request without response hung up. Returns false when the
   * exchange is not known yet. */
  std::function<bool(std::uint64_t aExchangeId)> m_onHangUp;
  /** Response to a request that is not passed on: 400 or 413. */
  std::function<HttpResponse(const HttpRequest& aRequest,
                             int aStatus,
                             const std::string& aDetail)>
    m_makeRejection;
};

/**
 * HTTP/1.1 server for callers (libmicrohttpd with internal polling threads).
 * Each connection is suspended while its request waits for the response.
 */
class CallerServer
{
public:
  CallerServer(CallerServerSettings aSettings, CallerServerHooks aHooks);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /** Starts to listen. Throws Error (Unavailable) when the port is in use. */
  void Start();

  /** Port that the server listens on. */
  int Port() const;

  /** Closes the listening socket; open connections continue. */
  void StopListening();

  /** Requests that were passed on and whose response is not completely written
   * yet. */
  int OpenExchanges() const;

  /** Ends the server. Every exchange must have its response before. */
  void Stop();

  struct Impl;

private:
  std::unique_ptr<Impl> m_impl;
};

}
