#pragma once

#include "net/connection_table.h"
#include "net/read_pacer.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

struct MHD_Daemon;

namespace bramleystall {

class EventLoop;
class Metrics;

/** A complete request as read by the listener. */
struct ListenerRequest
{
  std::string m_method;
  /** Path without the query. */
  std::string m_path;
  std::string m_host;
  std::string m_body;
  /** Value of the header that identifies the caller's tenant; empty for none.
   */
  std::string m_apiKey;
};

struct ListenerResponse
{
  int m_status = 200;
  std::string m_body;
  std::string m_contentType = "application/json";
  /** Value of the Retry-After header in seconds; 0 omits the header. */
  int m_retryAfterS = 0;
};

struct HttpListenerSettings
{
  /** "IP:PORT". */
  std::string m_address;
  /** Name in metrics and logs. */
  std::string m_name;
  /** Limits of all connections of the listener together. */
  RequestBudgetLimits m_limits;
  absl::Duration m_readTimeout = ProcessLimits().m_requestReadTimeout;
  /** Largest body in bytes, asked for each request. A request with a larger one
   * gets the status 413, before its body is read if the length is declared. */
  std::function<std::size_t()> m_maxBodyBytes;
};

/**
 * HTTP/1.1 server on an event loop, based on libmicrohttpd. The handler is
 * called once a request is complete and may respond immediately or later.
 */
class HttpListener
{
public:
  /** Sends the response; later calls for the same request do nothing. */
  using Responder = std::function<void(ListenerResponse)>;
  using Handler = std::function<void(ListenerRequest, Responder)>;

  /** Starts to listen. aMetrics outlives the object. Throws Error: InvalidInput
   * if the address is malformed, Unavailable if it cannot be used. */
  HttpListener(EventLoop& aLoop,
               HttpListenerSettings aSettings,
               Metrics& aMetrics,
               Handler aHandler);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  /** Sets the name of the header that becomes ListenerRequest::m_apiKey. */
  void SetApiKeyHeader(std::string aName) { m_apiKeyHeader = std::move(aName); }

  /** Closes each connection after its next response, from now on. */
  void CloseConnectionsAfterResponse() { m_closesAfterResponse = true; }

  /** Stops accepting new connections; open ones are still served. */
  void StopAccepting();

  /** Number of requests that wait for their response. */
  std::size_t OpenRequests() const { return m_openExchanges.size(); }

  void SetLimits(RequestBudgetLimits aLimits)
  {
    m_connections.SetLimits(aLimits);
  }

  /** Whether a request was refused within the last second because the limits
   * of the listener were reached. */
  bool IsRefusing() const { return m_connections.IsRefusing(); }

private:
  struct Exchange;
  struct Callbacks;

  void Dispatch(Exchange& aExchange);
  void TickConnections();
  void RunDaemon();
  void ScheduleRun();
  void OnReady();
  /** There is one turn in each iteration of the loop. */
  void BeginReadTurn();
  /** Reads from connections that wait for their turn. */
  void RunReadTurn();
  void ScheduleReadTurn();

  EventLoop& m_loop;
  std::function<std::size_t()> m_maxBodyBytes;
  ConnectionTable m_connections;
  ReadPacer m_pacer;
  std::uint64_t m_tickTimer = 0;
  /** 0 while no turn is scheduled. */
  std::uint64_t m_readTimer = 0;
  /** Start of the iteration in which the last turn began. */
  absl::Time m_readTurnAt = absl::InfinitePast();
  Handler m_handler;
  /** Empty for none. */
  std::string m_apiKeyHeader;
  bool m_closesAfterResponse = false;
  bool m_hasStoppedAccepting = false;
  bool m_isRunScheduled = false;
  std::uint64_t m_runTimer = 0;
  int m_epollDescriptor = -1;
  std::size_t m_nextId = 1;
  MHD_Daemon* m_daemon = nullptr;
  std::map<std::size_t, Exchange*> m_openExchanges;
};

}
