#include "review/http_server.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <random>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace second_review {

namespace {

constexpr int kBacklog = 256;
constexpr std::size_t kReadBytes = 65536;
constexpr unsigned kFirstPort = 12000;
constexpr unsigned kPorts = 18000;
constexpr int kMaxBindAttempts = 100;

/** Binds a port below those that the kernel gives to outgoing connections, so
 * that none of these takes it before a daemon listens there. */
int
BindLoopback()
{
  std::random_device random;
  for (int i = 0; i < kMaxBindAttempts; ++i) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port =
      htons(static_cast<std::uint16_t>(kFirstPort + random() % kPorts));
    if (bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
        0) {
      return socket;
    }
    close(socket);
  }
  throw std::runtime_error("cannot bind a loopback port");
}

std::string
AddressOf(int aSocket)
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(aSocket, reinterpret_cast<sockaddr*>(&address), &size);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

std::string
Decode(const std::string& aText)
{
  std::string text;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      text += static_cast<char>(
        std::strtol(aText.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      text += aText[i];
    }
  }
  return text;
}

void
ParseTarget(const std::string& aTarget, HttpRequest& aRequest)
{
  const std::size_t mark = aTarget.find('?');
  aRequest.m_path = Decode(aTarget.substr(0, mark));
  std::string query = mark == std::string::npos ? "" : aTarget.substr(mark + 1);
  while (!query.empty()) {
    const std::size_t end = query.find('&');
    const std::string part = query.substr(0, end);
    const std::size_t equals = part.find('=');
    if (equals != std::string::npos) {
      aRequest.m_query[Decode(part.substr(0, equals))] =
        Decode(part.substr(equals + 1));
    }
    query = end == std::string::npos ? "" : query.substr(end + 1);
  }
}

/** Parses the header of a request, which ends with an empty line. */
HttpRequest
ParseHeader(const std::string& aHeader)
{
  HttpRequest request;
  std::size_t at = aHeader.find("\r\n");
  const std::string line = aHeader.substr(0, at);
  const std::size_t first = line.find(' ');
  const std::size_t second = line.find(' ', first + 1);
  request.m_method = line.substr(0, first);
  ParseTarget(line.substr(first + 1, second - first - 1), request);
  while (at != std::string::npos && at + 2 < aHeader.size()) {
    const std::size_t end = aHeader.find("\r\n", at + 2);
    const std::string field = aHeader.substr(at + 2, end - at - 2);
    const std::size_t colon = field.find(':');
    if (colon != std::string::npos) {
      std::string name = field.substr(0, colon);
      std::transform(
        name.begin(), name.end(), name.begin(), [](unsigned char aChar) {
          return static_cast<char>(std::tolower(aChar));
        });
      const std::size_t value = field.find_first_not_of(' ', colon + 1);
      request.m_headers[name] =
        value == std::string::npos ? "" : field.substr(value);
    }
    at = end;
  }
  return request;
}

bool
SendAll(int aSocket, const std::string& aData)
{
  std::size_t sent = 0;
  while (sent < aData.size()) {
    const ssize_t count =
      send(aSocket, aData.data() + sent, aData.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

}

HttpServer::HttpServer(Handler aHandler)
  : m_handler(std::move(aHandler))
  , m_socket(BindLoopback())
  , m_address(AddressOf(m_socket))
{
  listen(m_socket, kBacklog);
  std::thread([this] { Accept(); }).detach();
}

int
HttpServer::SilenceOpenConnections()
{
  const std::lock_guard lock(m_mutex);
  int count = 0;
  for (const auto& connection : m_connections) {
    count += connection->m_isClosed ? 0 : 1;
    connection->m_isSilent = true;
  }
  return count;
}

int
HttpServer::OpenConnections()
{
  const std::lock_guard lock(m_mutex);
  return static_cast<int>(std::count_if(
    m_connections.begin(), m_connections.end(), [](const auto& aEntry) {
      return !aEntry->m_isClosed;
    }));
}

void
HttpServer::SetCutOff(bool aIsCutOff)
{
  m_isCutOff = aIsCutOff;
  if (aIsCutOff) {
    SilenceOpenConnections();
  }
}

void
HttpServer::SetDown(bool aIsDown)
{
  m_isDown = aIsDown;
  const std::lock_guard lock(m_mutex);
  for (const auto& connection : m_connections) {
    if (aIsDown && !connection->m_isClosed) {
      shutdown(connection->m_socket, SHUT_RDWR);
    }
  }
}

void
HttpServer::Accept()
{
  while (true) {
    const int socket = accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      continue;
    }
    if (m_isDown) {
      close(socket);
      continue;
    }
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const auto connection = std::make_shared<Connection>();
    connection->m_socket = socket;
    connection->m_isSilent = m_isCutOff.load();
    {
      const std::lock_guard lock(m_mutex);
      std::erase_if(m_connections, [](const auto& aEntry) {
        return aEntry->m_isClosed.load();
      });
      m_connections.push_back(connection);
    }
    std::thread([this, connection] { Serve(connection); }).detach();
  }
}

void
HttpServer::Serve(const std::shared_ptr<Connection>& aConnection)
{
  std::string data;
  std::string chunk(kReadBytes, '\0');
  while (true) {
    const std::size_t end = data.find("\r\n\r\n");
    HttpRequest request;
    std::size_t size = 0;
    if (end != std::string::npos) {
      request = ParseHeader(data.substr(0, end + 2));
      size =
        end + 4 +
        std::strtoul(request.m_headers["content-length"].c_str(), nullptr, 10);
    }
    if (end == std::string::npos || data.size() < size) {
      const ssize_t count =
        recv(aConnection->m_socket, chunk.data(), chunk.size(), 0);
      if (count <= 0) {
        break;
      }
      if (!aConnection->m_isSilent) {
        data.append(chunk, 0, static_cast<std::size_t>(count));
      }
      continue;
    }
    request.m_body = data.substr(end + 4, size - end - 4);
    data.erase(0, size);
    const HttpResponse response = m_handler(request);
    if (m_isDown || response.m_status == 0) {
      break;
    }
    if (aConnection->m_isSilent) {
      continue;
    }
    if (!SendAll(aConnection->m_socket,
                 "HTTP/1.1 " + std::to_string(response.m_status) +
                   " Status\r\nContent-Type: application/json\r\n"
                   "Content-Length: " +
                   std::to_string(response.m_body.size()) + "\r\n\r\n" +
                   response.m_body)) {
      break;
    }
  }
  const std::lock_guard lock(m_mutex);
  aConnection->m_isClosed = true;
  close(aConnection->m_socket);
}

std::string
FreeAddress()
{
  const int socket = BindLoopback();
  std::string address = AddressOf(socket);
  close(socket);
  return address;
}

}
