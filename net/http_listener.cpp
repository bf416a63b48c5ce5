#include "net/http_listener.h"

#include "core/error.h"
#include "net/event_loop.h"
#include "net/listener_callbacks.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <utility>

namespace bramleystall {

namespace {

/** Time after which an idle connection is closed. */
constexpr unsigned kIdleTimeoutS = 30;
/** The budget allows 2,000 connections; evicted ones are open until the library
 * has handled their shutdown. */
constexpr unsigned kMaxConnections = 2064;
/** Buffer size of one connection; the default of 32 KiB is not needed. */
constexpr std::size_t kConnectionMemoryBytes = 16384;

constexpr absl::Duration kTickInterval = absl::Seconds(1);
/** 512,000 parts a second: a body of 262,144 chunks of one byte takes 0.5 s of
 * the 3 s that its caller waits. */
constexpr ReadTurnLimits kReadTurnLimits{ .m_parts = 1024,
                                          .m_connectionParts = 128 };
constexpr absl::Duration kReadTurnInterval = absl::Milliseconds(2);
/** Retry-After of a refused request. */
constexpr int kRetryAfterS = 1;

const ListenerResponse kTooLarge{ 413, R"({"error":"the body is too large"})" };

sockaddr_in
ParseAddress(const std::string& aAddress)
{
  const std::size_t colon = aAddress.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  unsigned port = 0;
  const bool isValid =
    colon != std::string::npos &&
    inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &address.sin_addr) ==
      1 &&
    absl::SimpleAtoi(aAddress.substr(colon + 1), &port) && port < 65536;
  if (!isValid) {
    throw Error(ErrorCode::InvalidInput,
                absl::StrCat("'", aAddress, "' is not an IPv4 address:port"));
  }
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

}

struct HttpListener::Exchange
{
  HttpListener* m_listener = nullptr;
  MHD_Connection* m_connection = nullptr;
  ConnectionTable::Connection* m_entry = nullptr;
  ListenerRequest m_request;
  ListenerResponse m_response;
  ReadTurns::Reader m_reader;
  std::size_t m_id = 0;
  bool m_isDispatched = false;
  bool m_isSuspended = false;
  bool m_hasResponse = false;
};

struct HttpListener::Callbacks
{
  static MHD_Result OnAccess(void* aSelf,
                             MHD_Connection* aConnection,
                             const char* aUrl,
                             const char* aMethod,
                             const char* /*aVersion*/,
                             const char* aData,
                             std::size_t* aDataSize,
                             void** aState)
  {
    auto* self = static_cast<HttpListener*>(aSelf);
    auto* exchange = static_cast<Exchange*>(*aState);
    if (exchange == nullptr) {
      exchange = new Exchange;
      exchange->m_listener = self;
      exchange->m_connection = aConnection;
      exchange->m_entry = &EntryOf(aConnection);
      exchange->m_request.m_method = aMethod;
      exchange->m_request.m_path = aUrl;
      const char* host = MHD_lookup_connection_value(
        aConnection, MHD_HEADER_KIND, MHD_HTTP_HEADER_HOST);
      exchange->m_request.m_host = host == nullptr ? "" : host;
      const char* apiKey =
        self->m_apiKeyHeader.empty()
          ? nullptr
          : MHD_lookup_connection_value(
              aConnection, MHD_HEADER_KIND, self->m_apiKeyHeader.c_str());
      // libmicrohttpd keeps whitespace behind a value, which is no part of it.
      exchange->m_request.m_apiKey = std::string(
        absl::StripAsciiWhitespace(apiKey == nullptr ? "" : apiKey));
      *aState = exchange;
      return Admit(*exchange);
    }
    if (*aDataSize > 0) {
      if (!self->m_pacer.MayRead(*aConnection, exchange->m_reader)) {
        return MHD_YES;
      }
      const Admission admission = self->m_connections.Append(
        *exchange->m_entry, aData, *aDataSize, self->m_maxBodyBytes());
      *aDataSize = 0;
      return admission == Admission::Admitted ? MHD_YES : MHD_NO;
    }
    if (!exchange->m_isDispatched) {
      auto body = self->m_connections.Complete(*exchange->m_entry);
      if (!body) {
        return MHD_NO;
      }
      exchange->m_request.m_body = std::move(*body);
      self->Dispatch(*exchange);
      if (!exchange->m_hasResponse) {
        exchange->m_isSuspended = true;
        MHD_suspend_connection(aConnection);
        return MHD_YES;
      }
    }
    return SendResponse(*exchange);
  }

  /** Sends the response to a complete request. */
  static MHD_Result SendResponse(Exchange& aExchange)
  {
    const Admission admission =
      aExchange.m_listener->m_connections.BeginResponse(
        *aExchange.m_entry, aExchange.m_response.m_body.size());
    return admission == Admission::Admitted ? QueueResponse(aExchange) : MHD_NO;
  }

  /** Decides on a request whose headers were read. */
  static MHD_Result Admit(Exchange& aExchange)
  {
    HttpListener& self = *aExchange.m_listener;
    const std::uint64_t length = DeclaredLength(aExchange.m_connection);
    if (length > self.m_maxBodyBytes()) {
      self.m_connections.CountRefusal(ListenerRefusal::LengthOverLimit);
      return Refuse(aExchange, kTooLarge);
    }
    const ListenerRequest& request = aExchange.m_request;
    switch (self.m_connections.AdmitRequest(
      *aExchange.m_entry,
      sizeof(Exchange) + request.m_path.size() + request.m_host.size(),
      length)) {
      case Admission::Admitted:
        return MHD_YES;
      case Admission::Refused:
        self.m_connections.CountRefusal(ListenerRefusal::NoRoom);
        return Refuse(aExchange,
                      { .m_status = MHD_HTTP_SERVICE_UNAVAILABLE,
                        .m_body = R"({"error":"too many requests are open"})",
                        .m_retryAfterS = kRetryAfterS });
      case Admission::Closed:
        break;
    }
    return MHD_NO;
  }

  static MHD_Result Refuse(Exchange& aExchange, ListenerResponse aResponse)
  {
    aExchange.m_response = std::move(aResponse);
    aExchange.m_isDispatched = true;
    aExchange.m_hasResponse = true;
    return QueueResponse(aExchange);
  }

  /** The result is the initial state of the request. */
  static void* OnUri(void* aSelf,
                     const char* /*aUri*/,
                     MHD_Connection* aConnection)
  {
    static_cast<HttpListener*>(aSelf)->m_connections.BeginRequest(
      EntryOf(aConnection));
    return nullptr;
  }

  static MHD_Result QueueResponse(Exchange& aExchange)
  {
    const ListenerResponse& response = aExchange.m_response;
    // The exchange outlives the response.
    MHD_Response* mhdResponse =
      MHD_create_response_from_buffer(response.m_body.size(),
                                      const_cast<char*>(response.m_body.data()),
                                      MHD_RESPMEM_PERSISTENT);
    if (mhdResponse == nullptr) {
      return MHD_NO;
    }
    MHD_add_response_header(mhdResponse,
                            MHD_HTTP_HEADER_CONTENT_TYPE,
                            response.m_contentType.c_str());
    if (response.m_retryAfterS > 0) {
      MHD_add_response_header(mhdResponse,
                              MHD_HTTP_HEADER_RETRY_AFTER,
                              std::to_string(response.m_retryAfterS).c_str());
    }
    if (aExchange.m_listener->m_closesAfterResponse) {
      MHD_add_response_header(mhdResponse, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    const MHD_Result result =
      MHD_queue_response(aExchange.m_connection,
                         static_cast<unsigned>(response.m_status),
                         mhdResponse);
    MHD_destroy_response(mhdResponse);
    return result;
  }

  static void OnCompleted(void* aSelf,
                          MHD_Connection* /*aConnection*/,
                          void** aState,
                          MHD_RequestTerminationCode /*aCode*/)
  {
    auto* exchange = static_cast<Exchange*>(*aState);
    if (exchange != nullptr) {
      auto* self = static_cast<HttpListener*>(aSelf);
      self->m_openExchanges.erase(exchange->m_id);
      self->m_connections.FinishRequest(*exchange->m_entry);
      delete exchange;
      *aState = nullptr;
    }
  }
};

HttpListener::HttpListener(EventLoop& aLoop,
                           HttpListenerSettings aSettings,
                           Metrics& aMetrics,
                           Handler aHandler)
  : m_loop(aLoop)
  , m_maxBodyBytes(std::move(aSettings.m_maxBodyBytes))
  , m_connections(
      { .m_listener = aSettings.m_name,
        .m_limits = aSettings.m_limits,
        .m_bufferBytes = kConnectionMemoryBytes,
        .m_readTimeout = aSettings.m_readTimeout,
        .m_idleTimeout = absl::Seconds(static_cast<int>(kIdleTimeoutS)) },
      aMetrics)
  , m_pacer(kReadTurnLimits, m_connections, [this] { ScheduleReadTurn(); })
  , m_handler(std::move(aHandler))
{
  const sockaddr_in address = ParseAddress(aSettings.m_address);
  m_daemon = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME,
                              0,
                              AcceptConnection,
                              &m_connections,
                              Callbacks::OnAccess,
                              this,
                              MHD_OPTION_SOCK_ADDR,
                              &address,
                              MHD_OPTION_NOTIFY_COMPLETED,
                              Callbacks::OnCompleted,
                              this,
                              MHD_OPTION_NOTIFY_CONNECTION,
                              NotifyConnection,
                              &m_connections,
                              MHD_OPTION_URI_LOG_CALLBACK,
                              Callbacks::OnUri,
                              this,
                              MHD_OPTION_CONNECTION_TIMEOUT,
                              kIdleTimeoutS,
                              MHD_OPTION_CONNECTION_LIMIT,
                              kMaxConnections,
                              MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                              kConnectionMemoryBytes,
                              MHD_OPTION_LISTENING_ADDRESS_REUSE,
                              1U,
                              MHD_OPTION_END);
  if (m_daemon == nullptr) {
    throw Error(ErrorCode::Unavailable,
                absl::StrCat("cannot listen on ", aSettings.m_address));
  }
  LimitReceiveBuffers(
    MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_LISTEN_FD)->listen_fd);
  const MHD_DaemonInfo* info =
    MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD);
  m_epollDescriptor = info->epoll_fd;
  m_loop.Watch(
    m_epollDescriptor, EPOLLIN, [this](std::uint32_t) { OnReady(); });
  TickConnections();
}

HttpListener::~HttpListener()
{
  m_loop.Unwatch(m_epollDescriptor);
  m_loop.Cancel(m_tickTimer);
  m_loop.Cancel(m_readTimer);
  if (m_isRunScheduled) {
    m_loop.Cancel(m_runTimer);
  }
  m_pacer.Stop();
  for (auto& [id, exchange] : m_openExchanges) {
    if (exchange->m_isSuspended) {
      MHD_resume_connection(exchange->m_connection);
    }
  }
  MHD_stop_daemon(m_daemon);
}

void
HttpListener::StopAccepting()
{
  if (m_hasStoppedAccepting) {
    return;
  }
  m_hasStoppedAccepting = true;
  const int listening = MHD_quiesce_daemon(m_daemon);
  if (listening >= 0) {
    close(listening);
  }
}

void
HttpListener::RunDaemon()
{
  MHD_run(m_daemon);
  // Data that libmicrohttpd has already buffered raises no new epoll event.
  MHD_UNSIGNED_LONG_LONG timeoutMs = 0;
  if (MHD_get_timeout(m_daemon, &timeoutMs) == MHD_YES && timeoutMs == 0) {
    ScheduleRun();
  }
}

void
HttpListener::OnReady()
{
  // The connections that wait have a turn of their own.
  if (!m_pacer.HasWaiting()) {
    BeginReadTurn();
  }
  RunDaemon();
}

void
HttpListener::BeginReadTurn()
{
  if (std::exchange(m_readTurnAt, m_loop.Now()) != m_loop.Now()) {
    m_pacer.BeginTurn();
  }
}

void
HttpListener::TickConnections()
{
  m_connections.Tick();
  m_tickTimer = m_loop.After(kTickInterval, [this] { TickConnections(); });
}

void
HttpListener::ScheduleRun()
{
  if (m_isRunScheduled) {
    return;
  }
  m_isRunScheduled = true;
  m_runTimer = m_loop.After(absl::ZeroDuration(), [this] {
    m_isRunScheduled = false;
    OnReady();
  });
}

void
HttpListener::ScheduleReadTurn()
{
  if (m_readTimer == 0) {
    m_readTimer = m_loop.After(kReadTurnInterval, [this] { RunReadTurn(); });
  }
}

void
HttpListener::RunReadTurn()
{
  m_readTimer = 0;
  BeginReadTurn();
  while (m_pacer.ResumeNext()) {
    RunDaemon();
  }
  if (m_pacer.HasWaiting()) {
    ScheduleReadTurn();
  }
}

void
HttpListener::Dispatch(Exchange& aExchange)
{
  aExchange.m_isDispatched = true;
  if (m_connections.IsTooLarge(*aExchange.m_entry)) {
    aExchange.m_response = kTooLarge;
    aExchange.m_hasResponse = true;
    return;
  }
  aExchange.m_id = m_nextId++;
  m_openExchanges.emplace(aExchange.m_id, &aExchange);
  m_handler(std::move(aExchange.m_request),
            [this, id = aExchange.m_id](ListenerResponse aResponse) {
              const auto found = m_openExchanges.find(id);
              if (found == m_openExchanges.end() ||
                  found->second->m_hasResponse) {
                return;
              }
              Exchange& exchange = *found->second;
              exchange.m_response = std::move(aResponse);
              exchange.m_hasResponse = true;
              if (exchange.m_isSuspended) {
                exchange.m_isSuspended = false;
                MHD_resume_connection(exchange.m_connection);
                // The responder may be called from MHD_run for another request,
                // which must not run again inside itself.
                ScheduleRun();
              }
            });
}

}
