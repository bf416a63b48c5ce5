#include "server/caller_server.h"

#include "core/log.h"
#include "net/listener_callbacks.h"
#include "server/caller_watch.h"
#include "server/listen_socket.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <netdb.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <utility>

namespace bramleystall {

namespace {

// The budget allows 2,000 connections; evicted ones are open until the library
// has handled their shutdown. Each thread gets this limit, since the threads
// accept unevenly.
constexpr unsigned kMaxConnections = 2064;
// Time after which a connection without traffic is closed. Suspended
// connections are exempt.
constexpr unsigned kIdleTimeoutSeconds = 60;
// Time for TCP handshakes that are in progress when new connections are
// dropped; a caller is about 3 ms away.
constexpr absl::Duration kHandshakeTime = absl::Milliseconds(20);
constexpr std::size_t kConnectionMemoryBytes = 64U << 10U;
constexpr const char* kTooLargeDetail = "the body is too large";

/** State of one request on one connection. */
struct RequestContext
{
  HttpRequest m_request;
  ConnectionTable::Connection* m_connection = nullptr;
  bool m_hasReadHeaders = false;
  bool m_isDispatched = false;
  /** Until the response is being sent. */
  std::shared_ptr<CallerExchange> m_exchange;
  /** Owns the bytes that libmicrohttpd is sending. */
  HttpResponse m_response;
};

MHD_Result
AppendHeader(void* aHeaders,
             MHD_ValueKind,
             const char* aName,
             const char* aValue)
{
  static_cast<HttpHeaders*>(aHeaders)->emplace_back(aName,
                                                    aValue ? aValue : "");
  return MHD_YES;
}

/** Path and query of a request target in origin form or absolute form
 * (RFC 9112, 3.2). */
std::string
OriginForm(const std::string& aTarget)
{
  const std::size_t scheme = aTarget.find("://");
  if (aTarget.starts_with('/') || scheme == std::string::npos) {
    return aTarget;
  }
  const std::size_t path = aTarget.find('/', scheme + 3);
  return path == std::string::npos ? "/" : aTarget.substr(path);
}

std::string
HostWithoutPort(const std::string& aHost)
{
  const std::size_t bracket = aHost.find(']');
  const std::size_t colon =
    aHost.find(':', bracket == std::string::npos ? 0 : bracket);
  return absl::AsciiStrToLower(aHost.substr(0, colon));
}

/** Memory of the headers in bytes; many short ones take more than they carry.
 */
std::size_t
HeaderMemory(const HttpHeaders& aHeaders)
{
  std::size_t bytes =
    sizeof(RequestContext) + aHeaders.capacity() * sizeof(aHeaders.front());
  for (const auto& [name, value] : aHeaders) {
    bytes += name.capacity() + value.capacity();
  }
  return bytes;
}

/** Memory of a response in bytes while it is sent; libmicrohttpd has a copy of
 * the headers. */
std::size_t
ResponseMemory(const HttpResponse& aResponse)
{
  return 2 * HeaderMemory(aResponse.m_headers) + aResponse.m_body.capacity();
}

MHD_Result
QueueResponse(MHD_Connection* aConnection,
              RequestContext& aContext,
              HttpResponse aResponse)
{
  aContext.m_response = std::move(aResponse);
  const HttpResponse& source = aContext.m_response;
  // The context outlives the response, so libmicrohttpd does not copy the body.
  MHD_Response* const response = MHD_create_response_from_buffer(
    source.m_body.size(),
    const_cast<char*>(source.m_body.data()), // NOLINT: not written to.
    MHD_RESPMEM_PERSISTENT);
  if (!response) {
    return MHD_NO;
  }
  for (const auto& [name, value] : source.m_headers) {
    MHD_add_response_header(response, name.c_str(), value.c_str());
  }
  const MHD_Result queued = MHD_queue_response(
    aConnection, static_cast<unsigned>(source.m_status), response);
  MHD_destroy_response(response);
  return queued;
}

}

struct CallerServer::Impl
{
  CallerServerSettings m_settings;
  CallerServerHooks m_hooks;
  ConnectionTable m_connections;
  CallerWatch m_watch;
  MHD_Daemon* m_daemon = nullptr;
  int m_port = 0;
  std::atomic<std::uint64_t> m_nextId = 1;
  std::atomic<int> m_openExchanges = 0;

  Impl(CallerServerSettings aSettings,
       CallerServerHooks aHooks,
       Metrics& aMetrics)
    : m_settings(std::move(aSettings))
    , m_hooks(std::move(aHooks))
    , m_connections({ .m_listener = "callers",
                      .m_limits = m_settings.m_limits,
                      .m_bufferBytes = kConnectionMemoryBytes,
                      .m_readTimeout = m_settings.m_readTimeout,
                      .m_idleTimeout =
                        absl::Seconds(static_cast<int>(kIdleTimeoutSeconds)) },
                    aMetrics)
    , m_watch([this](std::uint64_t aId) { return m_hooks.m_onHangUp(aId); })
  {
  }

  static void* OnUri(void* aSelf,
                     const char* aUri,
                     MHD_Connection* aConnection);
  static MHD_Result OnAccess(void* aSelf,
                             MHD_Connection* aConnection,
                             const char* aUrl,
                             const char* aMethod,
                             const char* aVersion,
                             const char* aData,
                             std::size_t* aSize,
                             void** aContext);
  static void OnCompleted(void* aSelf,
                          MHD_Connection*,
                          void** aContext,
                          MHD_RequestTerminationCode);

  MHD_Result Reject(MHD_Connection* aConnection,
                    RequestContext& aContext,
                    int aStatus,
                    const std::string& aDetail);
  MHD_Result ReadHeaders(MHD_Connection* aConnection,
                         RequestContext& aContext,
                         const char* aMethod,
                         const char* aVersion);
  MHD_Result DispatchRequest(MHD_Connection* aConnection,
                             RequestContext& aContext);
};

void*
CallerServer::Impl::OnUri(void* aSelf,
                          const char* aUri,
                          MHD_Connection* aConnection)
{
  auto* const context = new RequestContext; // Freed by OnCompleted.
  context->m_connection = &EntryOf(aConnection);
  static_cast<Impl*>(aSelf)->m_connections.BeginRequest(*context->m_connection);
  context->m_request.m_target = OriginForm(aUri);
  return context;
}

void
CallerServer::Impl::OnCompleted(void* aSelf,
                                MHD_Connection*,
                                void** aContext,
                                MHD_RequestTerminationCode)
{
  const std::unique_ptr<RequestContext> context(
    static_cast<RequestContext*>(std::exchange(*aContext, nullptr)));
  if (!context) {
    return;
  }
  auto& self = *static_cast<Impl*>(aSelf);
  self.m_connections.FinishRequest(*context->m_connection);
  if (context->m_isDispatched) {
    --self.m_openExchanges;
  }
}

MHD_Result
CallerServer::Impl::OnAccess(void* aSelf,
                             MHD_Connection* aConnection,
                             const char*,
                             const char* aMethod,
                             const char* aVersion,
                             const char* aData,
                             std::size_t* aSize,
                             void** aContext)
{
  auto& self = *static_cast<Impl*>(aSelf);
  auto& context = *static_cast<RequestContext*>(*aContext);
  if (!context.m_hasReadHeaders) {
    context.m_hasReadHeaders = true;
    return self.ReadHeaders(aConnection, context, aMethod, aVersion);
  }
  if (*aSize > 0) {
    const Admission admission = self.m_connections.Append(
      *context.m_connection, aData, *aSize, self.m_settings.m_maxRequestBytes);
    *aSize = 0;
    return admission == Admission::Admitted ? MHD_YES : MHD_NO;
  }
  if (!context.m_isDispatched) {
    if (self.m_connections.IsTooLarge(*context.m_connection)) {
      return self.Reject(aConnection, context, 413, kTooLargeDetail);
    }
    auto body = self.m_connections.Complete(*context.m_connection);
    if (!body) {
      return MHD_NO;
    }
    context.m_request.m_body = std::move(*body);
    return self.DispatchRequest(aConnection, context);
  }
  auto response = context.m_exchange->TakeResponse();
  if (!response) {
    return MHD_YES;
  }
  // Frees the request's body unless the dispatcher still needs it.
  context.m_exchange.reset();
  if (self.m_connections.BeginResponse(*context.m_connection,
                                       ResponseMemory(*response)) !=
      Admission::Admitted) {
    return MHD_NO;
  }
  return QueueResponse(aConnection, context, std::move(*response));
}

MHD_Result
CallerServer::Impl::Reject(MHD_Connection* aConnection,
                           RequestContext& aContext,
                           int aStatus,
                           const std::string& aDetail)
{
  return QueueResponse(
    aConnection,
    aContext,
    m_hooks.m_makeRejection(aContext.m_request, aStatus, aDetail));
}

MHD_Result
CallerServer::Impl::ReadHeaders(MHD_Connection* aConnection,
                                RequestContext& aContext,
                                const char* aMethod,
                                const char* aVersion)
{
  HttpRequest& request = aContext.m_request;
  request.m_method = aMethod;
  MHD_get_connection_values(
    aConnection, MHD_HEADER_KIND, AppendHeader, &request.m_headers);
  if (!request.m_target.starts_with('/')) {
    return Reject(aConnection, aContext, 400, "the target is not a path");
  }
  const int hosts = CountHeader(request.m_headers, "Host");
  const bool isVersion11 = absl::string_view(aVersion) == "HTTP/1.1";
  if (hosts > 1 || (hosts == 0 && isVersion11)) {
    return Reject(aConnection, aContext, 400, "one Host header is required");
  }
  if (hosts == 1) {
    request.m_host = HostWithoutPort(*FindHeader(request.m_headers, "Host"));
  }
  const std::uint64_t length = DeclaredLength(aConnection);
  if (length > m_settings.m_maxRequestBytes) {
    m_connections.CountRefusal(ListenerRefusal::LengthOverLimit);
    return Reject(aConnection, aContext, 413, kTooLargeDetail);
  }
  switch (m_connections.AdmitRequest(
    *aContext.m_connection, HeaderMemory(request.m_headers), length)) {
    case Admission::Admitted:
      return MHD_YES;
    case Admission::Refused:
      m_connections.CountRefusal(ListenerRefusal::NoRoom);
      return Reject(aConnection, aContext, 503, "too many requests are open");
    case Admission::Closed:
      break;
  }
  return MHD_NO;
}

MHD_Result
CallerServer::Impl::DispatchRequest(MHD_Connection* aConnection,
                                    RequestContext& aContext)
{
  const std::uint64_t id = m_nextId++;
  ++m_openExchanges;
  aContext.m_isDispatched = true;
  aContext.m_exchange = std::make_shared<CallerExchange>(
    id, std::move(aContext.m_request), [this, aConnection, id] {
      m_watch.Remove(id);
      MHD_resume_connection(aConnection);
    });
  MHD_suspend_connection(aConnection);
  const MHD_ConnectionInfo* const info =
    MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_CONNECTION_FD);
  // The watch is added before the hook runs, since the response may be set
  // during the hook and removes the watch. The copy keeps the exchange alive
  // until the hook returns.
  const std::shared_ptr<CallerExchange> exchange = aContext.m_exchange;
  m_watch.Add(id, info->connect_fd);
  m_hooks.m_onRequest(exchange);
  return MHD_YES;
}

CallerServer::CallerServer(CallerServerSettings aSettings,
                           CallerServerHooks aHooks,
                           Metrics& aMetrics)
  : m_impl(
      std::make_unique<Impl>(std::move(aSettings), std::move(aHooks), aMetrics))
{
}

CallerServer::~CallerServer()
{
  Stop();
}

void
CallerServer::Start()
{
  const int listener = OpenListenSocket(m_impl->m_settings.m_listenAddress,
                                        m_impl->m_settings.m_listenPort);
  LimitReceiveBuffers(listener);
  m_impl->m_watch.Start();
  const auto threads = static_cast<unsigned>(m_impl->m_settings.m_threads);
  // libmicrohttpd takes 0 for a single thread without a pool.
  const unsigned poolSize = threads > 1 ? threads : 0;
  m_impl->m_daemon = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD |
                                        MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC,
                                      0,
                                      &AcceptConnection,
                                      &m_impl->m_connections,
                                      &Impl::OnAccess,
                                      m_impl.get(),
                                      MHD_OPTION_LISTEN_SOCKET,
                                      listener,
                                      MHD_OPTION_THREAD_POOL_SIZE,
                                      poolSize,
                                      MHD_OPTION_CONNECTION_LIMIT,
                                      kMaxConnections * std::max(threads, 1U),
                                      MHD_OPTION_NOTIFY_CONNECTION,
                                      &NotifyConnection,
                                      &m_impl->m_connections,
                                      MHD_OPTION_CONNECTION_TIMEOUT,
                                      kIdleTimeoutSeconds,
                                      MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                                      kConnectionMemoryBytes,
                                      MHD_OPTION_URI_LOG_CALLBACK,
                                      &Impl::OnUri,
                                      m_impl.get(),
                                      MHD_OPTION_NOTIFY_COMPLETED,
                                      &Impl::OnCompleted,
                                      m_impl.get(),
                                      MHD_OPTION_END);
  if (!m_impl->m_daemon) {
    close(listener);
    ThrowListenError(m_impl->m_settings.m_listenAddress,
                     m_impl->m_settings.m_listenPort);
  }
  sockaddr_storage bound{};
  socklen_t size = sizeof bound;
  char port[NI_MAXSERV] = "";
  getsockname(listener, reinterpret_cast<sockaddr*>(&bound), &size);
  getnameinfo(reinterpret_cast<sockaddr*>(&bound),
              size,
              nullptr,
              0,
              port,
              sizeof port,
              NI_NUMERICSERV);
  absl::SimpleAtoi(port, &m_impl->m_port);
}

int
CallerServer::Port() const
{
  return m_impl->m_port;
}

int
CallerServer::OpenExchanges() const
{
  return m_impl->m_openExchanges;
}

void
CallerServer::Tick()
{
  m_impl->m_connections.Tick();
}

bool
CallerServer::IsRefusing() const
{
  return m_impl->m_connections.IsRefusing();
}

void
CallerServer::StopListening()
{
  if (!m_impl->m_daemon) {
    return;
  }
  const MHD_socket listener = MHD_quiesce_daemon(m_impl->m_daemon);
  if (listener == MHD_INVALID_SOCKET) {
    return;
  }
  // Closing the socket would reset the connections in the accept queue, and
  // their callers could not tell whether their request was run.
  IgnoreNewConnections(listener);
  absl::SleepFor(kHandshakeTime);
  int connection = -1;
  while ((connection = accept4(
            listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
    MHD_add_connection(m_impl->m_daemon, connection, nullptr, 0);
  }
  close(listener);
}

void
CallerServer::Stop()
{
  if (m_impl->m_daemon) {
    MHD_stop_daemon(std::exchange(m_impl->m_daemon, nullptr));
  }
  m_impl->m_watch.Stop();
}

}
