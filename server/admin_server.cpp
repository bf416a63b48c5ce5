#include "server/admin_server.h"

#include "core/error.h"
#include "core/log.h"
#include "net/listener_callbacks.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <string_view>
#include <utility>

namespace bramleystall {

namespace {

/** A hook may wait for the store; several threads keep one slow request from
 * blocking the health check. */
constexpr unsigned kThreads = 4;
/** Evicted connections are open until the library has handled their shutdown;
 * each thread may get all connections. */
constexpr unsigned kMaxConnections = 2 * kMaxOperatorConnections * kThreads;
constexpr unsigned kIdleTimeoutSeconds = 15;
/** Buffer size of one connection, the library's default. */
constexpr std::size_t kConnectionMemoryBytes = 32U << 10U;
/** Memory of all connections together: their buffers with 4 KiB of overhead,
 * and 16 bodies of the largest size. */
constexpr std::size_t kMaxConnectionBytes =
  kMaxOperatorConnections * (kConnectionMemoryBytes + 4096) +
  16 * kMaxAdminBodyBytes;
/** A larger response counts as one of this size, so that it is sent if it is
 * alone. */
constexpr std::size_t kMaxCountedResponseBytes = kMaxConnectionBytes / 2;
constexpr std::string_view kExplainPrefix = "/v1/explain/";

/** Request whose body is being received. */
struct PendingRequest
{
  ConnectionTable::Connection* m_connection = nullptr;
  std::string m_body;
  bool m_isTooLarge = false;
  /** The budget has no room for the request. */
  bool m_isRefused = false;
};

int
StatusOf(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::InvalidInput:
      return MHD_HTTP_BAD_REQUEST;
    case ErrorCode::NotFound:
      return MHD_HTTP_NOT_FOUND;
    case ErrorCode::Conflict:
      return MHD_HTTP_CONFLICT;
    case ErrorCode::Unavailable:
      return MHD_HTTP_SERVICE_UNAVAILABLE;
    case ErrorCode::OutcomeUnknown:
      return MHD_HTTP_GATEWAY_TIMEOUT;
    case ErrorCode::Internal:
      break;
  }
  return MHD_HTTP_INTERNAL_SERVER_ERROR;
}

AdminResponse
MakeError(int aStatus, ErrorCode aCode, const std::string& aMessage)
{
  const nlohmann::json body = { { "error", NameOf(kErrorCodeNames, aCode) },
                                { "message", aMessage } };
  return { aStatus,
           "application/json",
           body.dump(
             -1, ' ', false, nlohmann::json::error_handler_t::replace) };
}

AdminResponse
NotFound(const std::string& aMessage)
{
  return MakeError(MHD_HTTP_NOT_FOUND, ErrorCode::NotFound, aMessage);
}

template<typename Hook, typename... Arguments>
AdminResponse
CallHook(const Hook& aHook, const Arguments&... aArguments)
{
  return aHook ? aHook(aArguments...) : NotFound("not provided here");
}

/** Endpoint of a request; its name is a label of the request counter. */
struct Route
{
  const char* m_name;
  const char* m_allowedMethods;
  std::function<AdminResponse()> m_call;
};

}

struct AdminServer::Impl
{
  std::string m_address;
  std::uint16_t m_port;
  AdminHooks m_hooks;
  Metrics& m_metrics;
  ConnectionTable m_connections;
  MHD_Daemon* m_daemon = nullptr;

  Route FindRoute(const std::string& aMethod,
                  const std::string& aPath,
                  const std::string& aBody) const;
  AdminResponse Explain(const std::string& aPath) const;
  AdminResponse Respond(const std::string& aMethod,
                        const std::string& aPath,
                        const PendingRequest& aRequest) const;
  /** Responds to a request whose body was read or is not read. */
  MHD_Result SendResponse(MHD_Connection* aConnection,
                          const char* aMethod,
                          const char* aUrl,
                          const PendingRequest& aRequest);
  static void* HandleUri(void* aSelf,
                         const char* aUri,
                         MHD_Connection* aConnection);
  static MHD_Result HandleAccess(void* aSelf,
                                 MHD_Connection* aConnection,
                                 const char* aUrl,
                                 const char* aMethod,
                                 const char* aVersion,
                                 const char* aData,
                                 std::size_t* aDataSize,
                                 void** aRequest);
  static void HandleCompleted(void* aSelf,
                              MHD_Connection* aConnection,
                              void** aRequest,
                              MHD_RequestTerminationCode aCode);
};

AdminResponse
AdminServer::Impl::Explain(const std::string& aPath) const
{
  const std::string rest = aPath.substr(kExplainPrefix.size());
  const std::size_t slash = rest.find('/');
  if (slash == std::string::npos || slash == 0 || slash + 1 == rest.size()) {
    return MakeError(MHD_HTTP_BAD_REQUEST,
                     ErrorCode::InvalidInput,
                     "expected /v1/explain/KIND/NAME");
  }
  return CallHook(
    m_hooks.m_explain, rest.substr(0, slash), rest.substr(slash + 1));
}

Route
AdminServer::Impl::FindRoute(const std::string& aMethod,
                             const std::string& aPath,
                             const std::string& aBody) const
{
  if (aPath == "/healthz") {
    return { "healthz", "GET", [this] { return CallHook(m_hooks.m_health); } };
  }
  if (aPath == "/readyz") {
    return { "readyz", "GET", [this] { return CallHook(m_hooks.m_ready); } };
  }
  if (aPath == "/metrics") {
    return { "metrics", "GET", [this] {
              return AdminResponse{ MHD_HTTP_OK,
                                    "text/plain; version=0.0.4",
                                    m_metrics.Render() };
            } };
  }
  if (aPath == "/v1/status") {
    return { "status", "GET", [this] { return CallHook(m_hooks.m_status); } };
  }
  if (aPath.starts_with(kExplainPrefix)) {
    return { "explain", "GET", [this, aPath] { return Explain(aPath); } };
  }
  if (aPath == "/v1/orders" && aMethod == MHD_HTTP_METHOD_POST) {
    return { "add_order", "GET, POST", [this, aBody] {
              return CallHook(m_hooks.m_addOrder, aBody);
            } };
  }
  if (aPath == "/v1/orders") {
    return { "orders", "GET, POST", [this] {
              return CallHook(m_hooks.m_orders);
            } };
  }
  return { "unknown", "GET", [] { return NotFound("unknown path"); } };
}

AdminResponse
AdminServer::Impl::Respond(const std::string& aMethod,
                           const std::string& aPath,
                           const PendingRequest& aRequest) const
{
  const Route route = FindRoute(aMethod, aPath, aRequest.m_body);
  const bool isRead =
    aMethod == MHD_HTTP_METHOD_GET || aMethod == MHD_HTTP_METHOD_HEAD;
  const bool isAllowed = isRead || std::strcmp(route.m_name, "add_order") == 0;
  AdminResponse response;
  try {
    if (aRequest.m_isTooLarge) {
      response = MakeError(
        MHD_HTTP_CONTENT_TOO_LARGE,
        ErrorCode::InvalidInput,
        absl::StrCat("body too large, expected at most ", kMaxAdminBodyBytes));
    } else if (aRequest.m_isRefused) {
      response = MakeError(MHD_HTTP_SERVICE_UNAVAILABLE,
                           ErrorCode::Unavailable,
                           "too many requests are open");
    } else if (!isAllowed) {
      response =
        MakeError(MHD_HTTP_METHOD_NOT_ALLOWED,
                  ErrorCode::InvalidInput,
                  absl::StrCat("expected one of: ", route.m_allowedMethods));
    } else {
      response = route.m_call();
    }
  } catch (const Error& error) {
    response = MakeError(StatusOf(error.Code()), error.Code(), error.what());
  } catch (const std::exception& error) {
    LogError(LogPart::Admin,
             absl::StrCat("request ", route.m_name, " failed: ", error.what()));
    response = MakeError(
      MHD_HTTP_INTERNAL_SERVER_ERROR, ErrorCode::Internal, error.what());
  }
  m_metrics.Count("bramleystall_admin_requests_total",
                  { { "route", route.m_name },
                    { "status", absl::StrCat(response.m_status) } });
  return response;
}

MHD_Result
AdminServer::Impl::HandleAccess(void* aSelf,
                                MHD_Connection* aConnection,
                                const char* aUrl,
                                const char* aMethod,
                                const char* /*aVersion*/,
                                const char* aData,
                                std::size_t* aDataSize,
                                void** aRequest)
{
  auto* const self = static_cast<Impl*>(aSelf);
  ConnectionTable& table = self->m_connections;
  auto* request = static_cast<PendingRequest*>(*aRequest);
  if (!request) {
    // The first call of a request follows its headers and has no body data.
    request = new PendingRequest{ .m_connection = &EntryOf(aConnection) };
    *aRequest = request;
    const std::uint64_t length = DeclaredLength(aConnection);
    if (length > kMaxAdminBodyBytes) {
      table.CountRefusal(ListenerRefusal::LengthOverLimit);
      request->m_isTooLarge = true;
      return self->SendResponse(aConnection, aMethod, aUrl, *request);
    }
    const Admission admission = table.AdmitRequest(
      *request->m_connection, sizeof(PendingRequest), length);
    if (admission == Admission::Refused) {
      table.CountRefusal(ListenerRefusal::NoRoom);
      request->m_isRefused = true;
      return self->SendResponse(aConnection, aMethod, aUrl, *request);
    }
    return admission == Admission::Admitted ? MHD_YES : MHD_NO;
  }
  if (*aDataSize > 0) {
    const Admission admission = table.Append(
      *request->m_connection, aData, *aDataSize, kMaxAdminBodyBytes);
    *aDataSize = 0;
    return admission == Admission::Admitted ? MHD_YES : MHD_NO;
  }
  request->m_isTooLarge = table.IsTooLarge(*request->m_connection);
  auto body = table.Complete(*request->m_connection);
  if (!body) {
    return MHD_NO;
  }
  request->m_body = std::move(*body);
  return self->SendResponse(aConnection, aMethod, aUrl, *request);
}

void*
AdminServer::Impl::HandleUri(void* aSelf,
                             const char* /*aUri*/,
                             MHD_Connection* aConnection)
{
  static_cast<Impl*>(aSelf)->m_connections.BeginRequest(EntryOf(aConnection));
  return nullptr;
}

MHD_Result
AdminServer::Impl::SendResponse(MHD_Connection* aConnection,
                                const char* aMethod,
                                const char* aUrl,
                                const PendingRequest& aRequest)
{
  const AdminResponse response = Respond(aMethod, aUrl, aRequest);
  const Admission admission = m_connections.BeginResponse(
    *aRequest.m_connection,
    std::min(response.m_body.size(), kMaxCountedResponseBytes));
  if (admission != Admission::Admitted) {
    return MHD_NO;
  }
  MHD_Response* const mhdResponse =
    MHD_create_response_from_buffer(response.m_body.size(),
                                    const_cast<char*>(response.m_body.data()),
                                    MHD_RESPMEM_MUST_COPY);
  if (!mhdResponse) {
    return MHD_NO;
  }
  MHD_add_response_header(
    mhdResponse, MHD_HTTP_HEADER_CONTENT_TYPE, response.m_contentType.c_str());
  if (aRequest.m_isRefused) {
    MHD_add_response_header(mhdResponse, MHD_HTTP_HEADER_RETRY_AFTER, "1");
  }
  if (response.m_status == MHD_HTTP_METHOD_NOT_ALLOWED) {
    const std::string methods =
      FindRoute(aMethod, aUrl, aRequest.m_body).m_allowedMethods;
    MHD_add_response_header(
      mhdResponse, MHD_HTTP_HEADER_ALLOW, methods.c_str());
  }
  const MHD_Result result = MHD_queue_response(
    aConnection, static_cast<unsigned>(response.m_status), mhdResponse);
  MHD_destroy_response(mhdResponse);
  return result;
}

void
AdminServer::Impl::HandleCompleted(void* aSelf,
                                   MHD_Connection* /*aConnection*/,
                                   void** aRequest,
                                   MHD_RequestTerminationCode /*aCode*/)
{
  const std::unique_ptr<PendingRequest> request(
    static_cast<PendingRequest*>(std::exchange(*aRequest, nullptr)));
  if (request) {
    static_cast<Impl*>(aSelf)->m_connections.FinishRequest(
      *request->m_connection);
  }
}

AdminServer::AdminServer(const std::string& aAddress,
                         std::uint16_t aPort,
                         AdminHooks aHooks,
                         Metrics& aMetrics)
  : m_impl(
      new Impl{ aAddress,
                aPort,
                std::move(aHooks),
                aMetrics,
                { { .m_listener = "admin",
                    .m_limits = { .m_bytes = kMaxConnectionBytes,
                                  .m_connections = kMaxOperatorConnections },
                    .m_bufferBytes = kConnectionMemoryBytes,
                    .m_idleTimeout =
                      absl::Seconds(static_cast<int>(kIdleTimeoutSeconds)) },
                  aMetrics } })
{
}

AdminServer::~AdminServer()
{
  Stop();
}

void
AdminServer::Start()
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(m_impl->m_port);
  const std::string endpoint =
    absl::StrCat(m_impl->m_address, ":", m_impl->m_port);
  if (inet_pton(AF_INET, m_impl->m_address.c_str(), &address.sin_addr) != 1) {
    throw Error(ErrorCode::InvalidInput,
                absl::StrCat("admin: ", endpoint, " is not an IPv4 address"));
  }
  m_impl->m_daemon =
    MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL,
                     m_impl->m_port,
                     &AcceptConnection,
                     &m_impl->m_connections,
                     &Impl::HandleAccess,
                     m_impl.get(),
                     MHD_OPTION_SOCK_ADDR,
                     reinterpret_cast<sockaddr*>(&address),
                     MHD_OPTION_THREAD_POOL_SIZE,
                     kThreads,
                     MHD_OPTION_CONNECTION_LIMIT,
                     kMaxConnections,
                     MHD_OPTION_CONNECTION_TIMEOUT,
                     kIdleTimeoutSeconds,
                     MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                     kConnectionMemoryBytes,
                     MHD_OPTION_NOTIFY_CONNECTION,
                     &NotifyConnection,
                     &m_impl->m_connections,
                     MHD_OPTION_URI_LOG_CALLBACK,
                     &Impl::HandleUri,
                     m_impl.get(),
                     MHD_OPTION_NOTIFY_COMPLETED,
                     &Impl::HandleCompleted,
                     m_impl.get(),
                     MHD_OPTION_END);
  if (!m_impl->m_daemon) {
    throw Error(ErrorCode::Unavailable,
                absl::StrCat("admin: cannot listen on ",
                             endpoint,
                             ": ",
                             std::string(std::strerror(errno))));
  }
  LimitReceiveBuffers(
    MHD_get_daemon_info(m_impl->m_daemon, MHD_DAEMON_INFO_LISTEN_FD)
      ->listen_fd);
}

void
AdminServer::Tick()
{
  m_impl->m_connections.Tick();
}

void
AdminServer::Stop()
{
  if (m_impl->m_daemon) {
    MHD_stop_daemon(std::exchange(m_impl->m_daemon, nullptr));
  }
}

std::uint16_t
AdminServer::Port() const
{
  if (!m_impl->m_daemon) {
    return 0;
  }
  const MHD_DaemonInfo* const info =
    MHD_get_daemon_info(m_impl->m_daemon, MHD_DAEMON_INFO_BIND_PORT);
  return info ? info->port : m_impl->m_port;
}

}
