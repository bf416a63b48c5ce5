#include "net/http_listener.h"

#include "core/error.h"
#include "net/event_loop.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <utility>

namespace bramleystall {

namespace {

/** Time after which an idle connection is closed. */
constexpr unsigned kIdleTimeoutS = 30;
constexpr unsigned kMaxConnections = 2000;
/** Buffer size of one connection; the default of 32 KiB is not needed. */
constexpr std::size_t kConnectionMemoryBytes = 16384;

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
  ListenerRequest m_request;
  ListenerResponse m_response;
  std::size_t m_id = 0;
  bool m_isTooLarge = false;
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
      return MHD_YES;
    }
    if (*aDataSize > 0) {
      if (exchange->m_request.m_body.size() + *aDataSize >
          self->m_maxBodyBytes) {
        exchange->m_isTooLarge = true;
      } else {
        exchange->m_request.m_body.append(aData, *aDataSize);
      }
      *aDataSize = 0;
      return MHD_YES;
    }
    if (!exchange->m_isDispatched) {
      self->Dispatch(*exchange);
      if (!exchange->m_hasResponse) {
        exchange->m_isSuspended = true;
        MHD_suspend_connection(aConnection);
        return MHD_YES;
      }
    }
    return QueueResponse(*exchange);
  }

  static MHD_Result QueueResponse(Exchange& aExchange)
  {
    const ListenerResponse& response = aExchange.m_response;
    MHD_Response* mhdResponse =
      MHD_create_response_from_buffer(response.m_body.size(),
                                      const_cast<char*>(response.m_body.data()),
                                      MHD_RESPMEM_MUST_COPY);
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
      static_cast<HttpListener*>(aSelf)->m_openExchanges.erase(exchange->m_id);
      delete exchange;
      *aState = nullptr;
    }
  }
};

HttpListener::HttpListener(EventLoop& aLoop,
                           const std::string& aAddress,
                           std::size_t aMaxBodyBytes,
                           Handler aHandler)
  : m_loop(aLoop)
  , m_maxBodyBytes(aMaxBodyBytes)
  , m_handler(std::move(aHandler))
{
  const sockaddr_in address = ParseAddress(aAddress);
  m_daemon = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME,
                              0,
                              nullptr,
                              nullptr,
                              Callbacks::OnAccess,
                              this,
                              MHD_OPTION_SOCK_ADDR,
                              &address,
                              MHD_OPTION_NOTIFY_COMPLETED,
                              Callbacks::OnCompleted,
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
                absl::StrCat("cannot listen on ", aAddress));
  }
  const MHD_DaemonInfo* info =
    MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD);
  m_epollDescriptor = info->epoll_fd;
  m_loop.Watch(
    m_epollDescriptor, EPOLLIN, [this](std::uint32_t) { RunDaemon(); });
}

HttpListener::~HttpListener()
{
  m_loop.Unwatch(m_epollDescriptor);
  if (m_isRunScheduled) {
    m_loop.Cancel(m_runTimer);
  }
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
HttpListener::ScheduleRun()
{
  if (m_isRunScheduled) {
    return;
  }
  m_isRunScheduled = true;
  m_runTimer = m_loop.After(absl::ZeroDuration(), [this] {
    m_isRunScheduled = false;
    RunDaemon();
  });
}

void
HttpListener::Dispatch(Exchange& aExchange)
{
  aExchange.m_isDispatched = true;
  if (aExchange.m_isTooLarge) {
    aExchange.m_response = { 413, R"({"error":"the body is too large"})" };
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
