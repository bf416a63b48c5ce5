#pragma once

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace bramleystall {

/** Complete request to a stand-in; header names are in lower case. */
struct StandInRequest
{
  std::string m_method;
  std::string m_path;
  std::map<std::string, std::string> m_query;
  std::map<std::string, std::string> m_headers;
  std::string m_body;
  /** Number of the connection that carried the request. */
  std::uint64_t m_connection = 0;
};

struct StandInResponse
{
  int m_status = 200;
  std::string m_body;
  std::string m_contentType = "application/json";
  std::map<std::string, std::string> m_headers;
  /**
   * Sends the full Content-Length but only half of the body, then closes the
   * connection.
   */
  bool m_isTruncated = false;
};

/**
 * HTTP server of the stand-ins with one thread for each connection, so that a
 * handler may block. A handler that returns nothing closes the connection
 * without a response.
 */
class StandInServer
{
public:
  using Handler =
    std::function<std::optional<StandInResponse>(const StandInRequest&)>;
  /** Called with the number of each connection that was closed. */
  using CloseHook = std::function<void(std::uint64_t)>;

  explicit StandInServer(Handler aHandler, CloseHook aHook = {})
    : m_handler(std::move(aHandler))
    , m_closeHook(std::move(aHook))
  {
  }
  ~StandInServer() { Close(); }
  StandInServer(const StandInServer&) = delete;
  StandInServer& operator=(const StandInServer&) = delete;

  /**
   * Listens on a port of 127.0.0.1, or on a free one if `aPort` is 0. Returns
   * the port. Throws std::runtime_error.
   */
  std::uint16_t Open(std::uint16_t aPort);

  /** Closes the listening socket; open connections stay usable. */
  void StopAccepting();

  /**
   * Closes all connections and waits for running handlers, which must return by
   * themselves. Must not be called from a handler.
   */
  void Close();

private:
  static MHD_Result Dispatch(void* aServer,
                             MHD_Connection* aConnection,
                             const char* aUrl,
                             const char* aMethod,
                             const char* aVersion,
                             const char* aData,
                             std::size_t* aSize,
                             void** aContext);
  static MHD_Result AddValue(void* aMap,
                             MHD_ValueKind aKind,
                             const char* aName,
                             const char* aValue);
  static MHD_Result AddHeader(void* aMap,
                              MHD_ValueKind aKind,
                              const char* aName,
                              const char* aValue);
  static void Finish(void* aServer,
                     MHD_Connection* aConnection,
                     void** aContext,
                     MHD_RequestTerminationCode aCode);
  static void NotifyConnection(void* aServer,
                               MHD_Connection* aConnection,
                               void** aContext,
                               MHD_ConnectionNotificationCode aCode);
  static ssize_t ReadTruncated(void* aBody,
                               std::uint64_t aPosition,
                               char* aBuffer,
                               std::size_t aMax);
  static void FreeBody(void* aBody);
  static MHD_Result Queue(MHD_Connection* aConnection,
                          const StandInResponse& aResponse);

  Handler m_handler;
  CloseHook m_closeHook;
  std::atomic<std::uint64_t> m_lastConnection{ 0 };
  std::vector<MHD_Daemon*> m_daemons;
};

inline std::uint16_t
StandInServer::Open(std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  constexpr std::size_t kStackBytes = 512U << 10U;
  constexpr unsigned kConnectionLimit = 4000;
  MHD_Daemon* daemon = MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION |
                                          MHD_USE_INTERNAL_POLLING_THREAD |
                                          MHD_USE_POLL | MHD_USE_ITC,
                                        aPort,
                                        nullptr,
                                        nullptr,
                                        &StandInServer::Dispatch,
                                        this,
                                        MHD_OPTION_SOCK_ADDR,
                                        reinterpret_cast<sockaddr*>(&address),
                                        MHD_OPTION_NOTIFY_COMPLETED,
                                        &StandInServer::Finish,
                                        this,
                                        MHD_OPTION_NOTIFY_CONNECTION,
                                        &StandInServer::NotifyConnection,
                                        this,
                                        MHD_OPTION_THREAD_STACK_SIZE,
                                        kStackBytes,
                                        MHD_OPTION_CONNECTION_LIMIT,
                                        kConnectionLimit,
                                        MHD_OPTION_END);
  if (daemon == nullptr) {
    throw std::runtime_error("stand-in: cannot listen on 127.0.0.1, port " +
                             std::to_string(aPort));
  }
  m_daemons.push_back(daemon);
  return MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

inline void
StandInServer::StopAccepting()
{
  for (MHD_Daemon* daemon : m_daemons) {
    const MHD_socket socket = MHD_quiesce_daemon(daemon);
    if (socket != MHD_INVALID_SOCKET) {
      close(socket);
    }
  }
}

inline void
StandInServer::Close()
{
  for (MHD_Daemon* daemon : m_daemons) {
    MHD_stop_daemon(daemon);
  }
  m_daemons.clear();
}

inline MHD_Result
StandInServer::AddValue(void* aMap,
                        MHD_ValueKind,
                        const char* aName,
                        const char* aValue)
{
  auto& map = *static_cast<std::map<std::string, std::string>*>(aMap);
  map[aName] = aValue == nullptr ? "" : aValue;
  return MHD_YES;
}

inline MHD_Result
StandInServer::AddHeader(void* aMap,
                         MHD_ValueKind aKind,
                         const char* aName,
                         const char* aValue)
{
  std::string name(aName);
  for (char& c : name) {
    c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  }
  return AddValue(aMap, aKind, name.c_str(), aValue);
}

inline MHD_Result
StandInServer::Dispatch(void* aServer,
                        MHD_Connection* aConnection,
                        const char* aUrl,
                        const char* aMethod,
                        const char*,
                        const char* aData,
                        std::size_t* aSize,
                        void** aContext)
{
  auto* request = static_cast<StandInRequest*>(*aContext);
  if (request == nullptr) {
    auto created = std::make_unique<StandInRequest>();
    created->m_method = aMethod;
    created->m_path = aUrl;
    const auto* info =
      MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    if (info != nullptr && info->socket_context != nullptr) {
      created->m_connection =
        *static_cast<const std::uint64_t*>(info->socket_context);
    }
    MHD_get_connection_values(aConnection,
                              MHD_GET_ARGUMENT_KIND,
                              &StandInServer::AddValue,
                              &created->m_query);
    MHD_get_connection_values(aConnection,
                              MHD_HEADER_KIND,
                              &StandInServer::AddHeader,
                              &created->m_headers);
    *aContext = created.release();
    return MHD_YES;
  }
  if (*aSize > 0) {
    request->m_body.append(aData, *aSize);
    *aSize = 0;
    return MHD_YES;
  }
  const auto response =
    static_cast<StandInServer*>(aServer)->m_handler(*request);
  return response ? Queue(aConnection, *response) : MHD_NO;
}

inline ssize_t
StandInServer::ReadTruncated(void* aBody,
                             std::uint64_t aPosition,
                             char* aBuffer,
                             std::size_t aMax)
{
  const auto& body = *static_cast<std::string*>(aBody);
  const std::size_t half = body.size() / 2;
  if (aPosition >= half) {
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  const std::size_t length =
    std::min<std::size_t>(aMax, half - static_cast<std::size_t>(aPosition));
  std::memcpy(aBuffer, body.data() + aPosition, length);
  return static_cast<ssize_t>(length);
}

inline void
StandInServer::FreeBody(void* aBody)
{
  delete static_cast<std::string*>(aBody);
}

inline MHD_Result
StandInServer::Queue(MHD_Connection* aConnection,
                     const StandInResponse& aResponse)
{
  constexpr std::size_t kBlockBytes = 4096;
  MHD_Response* response =
    aResponse.m_isTruncated
      ? MHD_create_response_from_callback(aResponse.m_body.size(),
                                          kBlockBytes,
                                          &StandInServer::ReadTruncated,
                                          new std::string(aResponse.m_body),
                                          &StandInServer::FreeBody)
      : MHD_create_response_from_buffer(
          aResponse.m_body.size(),
          const_cast<char*>(aResponse.m_body.data()),
          MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(
    response, "Content-Type", aResponse.m_contentType.c_str());
  for (const auto& [name, value] : aResponse.m_headers) {
    MHD_add_response_header(response, name.c_str(), value.c_str());
  }
  const auto result = MHD_queue_response(
    aConnection, static_cast<unsigned>(aResponse.m_status), response);
  MHD_destroy_response(response);
  return result;
}

inline void
StandInServer::Finish(void*,
                      MHD_Connection*,
                      void** aContext,
                      MHD_RequestTerminationCode)
{
  delete static_cast<StandInRequest*>(*aContext);
  *aContext = nullptr;
}

inline void
StandInServer::NotifyConnection(void* aServer,
                                MHD_Connection*,
                                void** aContext,
                                MHD_ConnectionNotificationCode aCode)
{
  auto* server = static_cast<StandInServer*>(aServer);
  if (aCode == MHD_CONNECTION_NOTIFY_STARTED) {
    *aContext = new std::uint64_t(++server->m_lastConnection);
    return;
  }
  const std::unique_ptr<std::uint64_t> number(
    static_cast<std::uint64_t*>(*aContext));
  if (server->m_closeHook && number) {
    server->m_closeHook(*number);
  }
}

}
