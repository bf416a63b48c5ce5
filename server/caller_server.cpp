#include "server/caller_server.h"

#include "core/error.h"
#include "core/log.h"
#include "server/caller_watch.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <linux/filter.h>
#include <microhttpd.h>
#include <netdb.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <utility>

namespace bramleystall {

namespace {

constexpr int kListenBacklog = 1024;
constexpr unsigned kMaxConnections = 4096;
// Time after which a connection without traffic is closed. Suspended
// connections are exempt.
constexpr unsigned kIdleTimeoutSeconds = 60;
// Time for TCP handshakes that are in progress when new connections are
// dropped; a caller is about 3 ms away.
constexpr absl::Duration kHandshakeTime = absl::Milliseconds(20);
constexpr std::size_t kConnectionMemoryBytes = 64U << 10U;
// A body above the limit is read and discarded so that the caller receives the
// 413. Beyond this multiple of the limit the connection is closed.
constexpr std::size_t kMaxDiscardedFactor = 4;

/** State of one request on one connection. */
struct RequestContext
{
  HttpRequest m_request;
  bool m_hasReadHeaders = false;
  bool m_isTooLarge = false;
  std::size_t m_bodyBytes = 0;
  std::shared_ptr<CallerExchange> m_exchange;
  /** Owns the bytes that libmicrohttpd is sending. */
  HttpResponse m_response;
};

/** Owns a socket and closes it unless it is released. */
class Socket
{
public:
  explicit Socket(int aDescriptor)
    : m_descriptor(aDescriptor)
  {
  }
  ~Socket()
  {
    if (m_descriptor >= 0) {
      close(m_descriptor);
    }
  }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  int Get() const { return m_descriptor; }
  int Release() { return std::exchange(m_descriptor, -1); }

private:
  int m_descriptor;
};

[[noreturn]] void
ThrowListenError(const CallerServerSettings& aSettings)
{
  throw Error(ErrorCode::Unavailable,
              absl::StrCat("server: cannot listen on ",
                           aSettings.m_listenAddress,
                           ":",
                           aSettings.m_listenPort));
}

int
OpenListenSocket(const CallerServerSettings& aSettings)
{
  addrinfo hints{};
  hints.ai_socktype = SOCK_STREAM;
  hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV | AI_PASSIVE;
  addrinfo* found = nullptr;
  const std::string port = absl::StrCat(aSettings.m_listenPort);
  if (getaddrinfo(
        aSettings.m_listenAddress.c_str(), port.c_str(), &hints, &found) != 0) {
    ThrowListenError(aSettings);
  }
  const std::unique_ptr<addrinfo, decltype(&freeaddrinfo)> address(
    found, freeaddrinfo);
  Socket listener(
    socket(address->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int on = 1;
  setsockopt(listener.Get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind(listener.Get(), address->ai_addr, address->ai_addrlen) != 0 ||
      listen(listener.Get(), kListenBacklog) != 0) {
    ThrowListenError(aSettings);
  }
  return listener.Release();
}

/** Makes the kernel drop new connections to a listening socket. Callers
 * retransmit their SYN and then find the port closed. The filter drops only TCP
 * segments with the SYN flag, so that handshakes in progress complete. */
void
IgnoreNewConnections(int aListener)
{
  constexpr unsigned kFlagsOffset = 13;
  constexpr unsigned kSyn = 0x02;
  constexpr unsigned kWholeSegment = 0xffffffff;
  std::array<sock_filter, 4> dropSyn = { {
    BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kFlagsOffset),
    BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, kSyn, 0, 1),
    BPF_STMT(BPF_RET | BPF_K, 0),
    BPF_STMT(BPF_RET | BPF_K, kWholeSegment),
  } };
  const sock_fprog program = { static_cast<unsigned short>(dropSyn.size()),
                               dropSyn.data() };
  setsockopt(aListener,
             SOL_SOCKET,
             SO_ATTACH_FILTER,
             &program,
             static_cast<socklen_t>(sizeof program));
}

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

/** Value of Content-Length; 0 when it is absent or not a number. */
std::uint64_t
DeclaredLength(const HttpHeaders& aHeaders)
{
  const std::string* const text = FindHeader(aHeaders, "Content-Length");
  std::uint64_t length = 0;
  return text && absl::SimpleAtoi(*text, &length) ? length : 0;
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
  CallerWatch m_watch;
  MHD_Daemon* m_daemon = nullptr;
  int m_port = 0;
  std::atomic<std::uint64_t> m_nextId = 1;
  std::atomic<int> m_openExchanges = 0;

  Impl(CallerServerSettings aSettings, CallerServerHooks aHooks)
    : m_settings(std::move(aSettings))
    , m_hooks(std::move(aHooks))
    , m_watch([this](std::uint64_t aId) { return m_hooks.m_onHangUp(aId); })
  {
  }

  static void* OnUri(void* aSelf, const char* aUri, MHD_Connection*);
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
  MHD_Result ReadBody(RequestContext& aContext,
                      const char* aData,
                      std::size_t& aSize) const;
  MHD_Result DispatchRequest(MHD_Connection* aConnection,
                             RequestContext& aContext);
};

void*
CallerServer::Impl::OnUri(void*, const char* aUri, MHD_Connection*)
{
  auto* const context = new RequestContext; // Freed by OnCompleted.
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
  if (context && context->m_exchange) {
    --static_cast<Impl*>(aSelf)->m_openExchanges;
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
    return self.ReadBody(context, aData, *aSize);
  }
  if (context.m_isTooLarge) {
    return self.Reject(aConnection, context, 413, "the body is too large");
  }
  if (!context.m_exchange) {
    return self.DispatchRequest(aConnection, context);
  }
  auto response = context.m_exchange->TakeResponse();
  if (!response) {
    return MHD_YES;
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
  if (DeclaredLength(request.m_headers) > m_settings.m_maxRequestBytes) {
    return Reject(aConnection, aContext, 413, "the body is too large");
  }
  return MHD_YES;
}

MHD_Result
CallerServer::Impl::ReadBody(RequestContext& aContext,
                             const char* aData,
                             std::size_t& aSize) const
{
  const std::size_t limit = m_settings.m_maxRequestBytes;
  aContext.m_bodyBytes += aSize;
  if (aContext.m_bodyBytes > limit) {
    aContext.m_isTooLarge = true;
    std::string().swap(aContext.m_request.m_body);
  } else {
    aContext.m_request.m_body.append(aData, aSize);
  }
  aSize = 0;
  return aContext.m_bodyBytes > limit * kMaxDiscardedFactor ? MHD_NO : MHD_YES;
}

MHD_Result
CallerServer::Impl::DispatchRequest(MHD_Connection* aConnection,
                                    RequestContext& aContext)
{
  const std::uint64_t id = m_nextId++;
  ++m_openExchanges;
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
                           CallerServerHooks aHooks)
  : m_impl(std::make_unique<Impl>(std::move(aSettings), std::move(aHooks)))
{
}

CallerServer::~CallerServer()
{
  Stop();
}

void
CallerServer::Start()
{
  const int listener = OpenListenSocket(m_impl->m_settings);
  m_impl->m_watch.Start();
  const auto threads = static_cast<unsigned>(m_impl->m_settings.m_threads);
  // libmicrohttpd takes 0 for a single thread without a pool.
  const unsigned poolSize = threads > 1 ? threads : 0;
  m_impl->m_daemon = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD |
                                        MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC,
                                      0,
                                      nullptr,
                                      nullptr,
                                      &Impl::OnAccess,
                                      m_impl.get(),
                                      MHD_OPTION_LISTEN_SOCKET,
                                      listener,
                                      MHD_OPTION_THREAD_POOL_SIZE,
                                      poolSize,
                                      MHD_OPTION_CONNECTION_LIMIT,
                                      kMaxConnections,
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
    ThrowListenError(m_impl->m_settings);
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
