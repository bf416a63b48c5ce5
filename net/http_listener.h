#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

struct MHD_Daemon;

namespace bramleystall {

class EventLoop;

/** A complete request that the listener has read. */
struct ListenerRequest
{
  std::string m_method;
  /** Path without the query. */
  std::string m_path;
  std::string m_host;
  std::string m_body;
};

/** Response of the program to one request. */
struct ListenerResponse
{
  int m_status = 200;
  std::string m_body;
  std::string m_contentType = "application/json";
  /** Seconds for the Retry-After header; 0 leaves the header out. */
  int m_retryAfterS = 0;
};

/**
 * HTTP/1.1 server on an event loop, over libmicrohttpd. A request is handed to
 * the handler once it is complete; the handler may respond at once or later.
 */
class HttpListener
{
public:
  /** Sends the response; later calls for the same request do nothing. */
  using Responder = std::function<void(ListenerResponse)>;
  using Handler = std::function<void(ListenerRequest, Responder)>;

  /**
   * Listens on "IP:PORT". Requests with a larger body are answered with 413.
   * Throws Error (Unavailable) when the address cannot be used.
   */
  HttpListener(EventLoop& aLoop,
               const std::string& aAddress,
               std::size_t aMaxBodyBytes,
               Handler aHandler);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  /** From now on each response closes its connection. */
  void CloseConnectionsAfterResponse() { m_closesAfterResponse = true; }

  /** Stops accepting connections; open ones are still served. */
  void StopAccepting();

  /** Requests that wait for their response. */
  std::size_t OpenRequests() const { return m_openExchanges.size(); }

private:
  struct Exchange;
  struct Callbacks;

  void Dispatch(Exchange& aExchange);
  void RunDaemon();
  void ScheduleRun();

  EventLoop& m_loop;
  std::size_t m_maxBodyBytes;
  Handler m_handler;
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
