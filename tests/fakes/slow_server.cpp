#include "tests/fakes/slow_server.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

namespace bramleystall {

namespace {

constexpr int kPollMs = 20;

}

SlowServer::SlowServer(Plan aPlan)
  : m_plan(std::move(aPlan))
  , m_listener(socket(AF_INET, SOCK_STREAM, 0))
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(m_listener,
           reinterpret_cast<sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(m_listener, 4) != 0) {
    throw std::runtime_error("slow server: cannot listen on the loopback");
  }
  m_thread = std::thread([this] { Serve(); });
}

SlowServer::~SlowServer()
{
  m_isStopped = true;
  m_thread.join();
  close(m_listener);
}

std::string
SlowServer::Address() const
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
  return absl::StrCat("127.0.0.1:", ntohs(address.sin_port));
}

void
SlowServer::Serve()
{
  pollfd waiting{ .fd = m_listener, .events = POLLIN, .revents = 0 };
  while (poll(&waiting, 1, kPollMs) == 0) {
    if (m_isStopped) {
      return;
    }
  }
  const int connection = accept(m_listener, nullptr, nullptr);
  std::array<char, 4096> request{};
  recv(connection, request.data(), request.size(), 0);
  const std::string head = absl::StrCat("HTTP/1.1 ",
                                        m_plan.m_status,
                                        " Status\r\nContent-Length: ",
                                        m_plan.m_body.size(),
                                        "\r\n\r\n");
  send(connection, head.data(), head.size(), MSG_NOSIGNAL);
  const std::size_t size =
    m_plan.m_body.size() / static_cast<std::size_t>(m_plan.m_pieces) + 1;
  for (std::size_t at = 0; at < m_plan.m_body.size(); at += size) {
    const std::size_t part = std::min(size, m_plan.m_body.size() - at);
    send(connection, m_plan.m_body.data() + at, part, MSG_NOSIGNAL);
    const absl::Time until = absl::Now() + m_plan.m_pause;
    while (absl::Now() < until && !m_isStopped) {
      absl::SleepFor(absl::Milliseconds(kPollMs));
    }
  }
  close(connection);
}

}
