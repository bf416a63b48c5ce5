#include "tests/measure/echo_server.h"

#include "core/error.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string_view>

namespace bramleystall {

namespace {

constexpr int kBacklog = 1024;
constexpr int kAcceptPollMs = 20;
constexpr std::string_view kResponse =
  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

}

EchoServer::EchoServer()
{
  m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  auto* const generic = reinterpret_cast<sockaddr*>(&address);
  if (bind(m_listener, generic, size) != 0 ||
      listen(m_listener, kBacklog) != 0 ||
      getsockname(m_listener, generic, &size) != 0) {
    throw Error(ErrorCode::Unavailable, "echo server: cannot listen");
  }
  m_port = ntohs(address.sin_port);
  m_acceptor = std::thread([this] { AcceptAll(); });
}

EchoServer::~EchoServer()
{
  m_stopping = true;
  m_acceptor.join();
  close(m_listener);
  {
    const std::lock_guard lock(m_mutex);
    for (const int descriptor : m_sockets) {
      shutdown(descriptor, SHUT_RDWR);
    }
  }
  for (std::thread& connection : m_connections) {
    connection.join();
  }
}

void
EchoServer::AcceptAll()
{
  while (!m_stopping) {
    pollfd waiting{ m_listener, POLLIN, 0 };
    if (poll(&waiting, 1, kAcceptPollMs) <= 0) {
      continue;
    }
    const int connection = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection < 0) {
      continue;
    }
    const int on = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const std::lock_guard lock(m_mutex);
    m_sockets.push_back(connection);
    m_connections.emplace_back([this, connection] { Serve(connection); });
  }
}

void
EchoServer::Serve(int aSocket)
{
  std::string buffer;
  char data[4096];
  ssize_t got = 0;
  while ((got = recv(aSocket, data, sizeof data, 0)) > 0) {
    buffer.append(data, static_cast<std::size_t>(got));
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) != std::string::npos) {
      buffer.erase(0, end + 4);
      send(aSocket, kResponse.data(), kResponse.size(), MSG_NOSIGNAL);
    }
  }
  const std::lock_guard lock(m_mutex);
  std::erase(m_sockets, aSocket);
  close(aSocket);
}

}
