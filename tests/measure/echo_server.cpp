#include "tests/measure/echo_server.h"

#include "core/error.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string_view>

namespace bramleystall {

namespace {

constexpr int kBacklog = 1024;
constexpr std::size_t kEventsPerWait = 64;
constexpr std::string_view kResponse =
  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

bool
Watch(int aEpoll, int aDescriptor)
{
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = aDescriptor;
  return epoll_ctl(aEpoll, EPOLL_CTL_ADD, aDescriptor, &event) == 0;
}

}

EchoServer::EchoServer()
  : m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0))
  , m_epoll(epoll_create1(EPOLL_CLOEXEC))
  , m_stopEvent(eventfd(0, EFD_CLOEXEC))
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  auto* const generic = reinterpret_cast<sockaddr*>(&address);
  if (bind(m_listener, generic, size) != 0 ||
      listen(m_listener, kBacklog) != 0 ||
      getsockname(m_listener, generic, &size) != 0 ||
      !Watch(m_epoll, m_listener) || !Watch(m_epoll, m_stopEvent)) {
    throw Error(ErrorCode::Unavailable,
                "echo server: cannot listen on a loopback port");
  }
  m_port = ntohs(address.sin_port);
  m_thread = std::thread([this] { Run(); });
}

EchoServer::~EchoServer()
{
  eventfd_write(m_stopEvent, 1);
  m_thread.join();
  for (const auto& [connection, received] : m_received) {
    close(connection);
  }
  for (const int descriptor : { m_listener, m_epoll, m_stopEvent }) {
    close(descriptor);
  }
}

void
EchoServer::Run()
{
  std::array<epoll_event, kEventsPerWait> events{};
  while (true) {
    const int count =
      epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()), -1);
    for (int i = 0; i < count; ++i) {
      const int descriptor = events.at(i).data.fd;
      if (descriptor == m_stopEvent) {
        return;
      }
      if (descriptor == m_listener) {
        AcceptAll();
      } else {
        Serve(descriptor);
      }
    }
  }
}

void
EchoServer::AcceptAll()
{
  int connection = -1;
  while ((connection = accept4(
            m_listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK)) >= 0) {
    const int on = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    m_received[connection].clear();
    Watch(m_epoll, connection);
  }
}

void
EchoServer::Serve(int aSocket)
{
  std::string& received = m_received[aSocket];
  char data[4096];
  const ssize_t byteCount = recv(aSocket, data, sizeof data, 0);
  if (byteCount <= 0) {
    m_received.erase(aSocket);
    close(aSocket);
    return;
  }
  received.append(data, static_cast<std::size_t>(byteCount));
  std::size_t end = 0;
  while ((end = received.find("\r\n\r\n")) != std::string::npos) {
    received.erase(0, end + 4);
    send(aSocket, kResponse.data(), kResponse.size(), MSG_NOSIGNAL);
  }
}

}
