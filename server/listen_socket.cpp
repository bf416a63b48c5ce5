#include "server/listen_socket.h"

#include "core/error.h"

#include <absl/strings/str_cat.h>
#include <linux/filter.h>
#include <netdb.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <memory>
#include <utility>

namespace bramleystall {

namespace {

constexpr int kListenBacklog = 1024;

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

}

void
ThrowListenError(const std::string& aAddress, int aPort)
{
  throw Error(ErrorCode::Unavailable,
              absl::StrCat("server: cannot listen on ", aAddress, ":", aPort));
}

int
OpenListenSocket(const std::string& aAddress, int aPort)
{
  addrinfo hints{};
  hints.ai_socktype = SOCK_STREAM;
  hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV | AI_PASSIVE;
  addrinfo* found = nullptr;
  const std::string port = absl::StrCat(aPort);
  if (getaddrinfo(aAddress.c_str(), port.c_str(), &hints, &found) != 0) {
    ThrowListenError(aAddress, aPort);
  }
  const std::unique_ptr<addrinfo, decltype(&freeaddrinfo)> address(
    found, freeaddrinfo);
  Socket listener(
    socket(address->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int on = 1;
  setsockopt(listener.Get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind(listener.Get(), address->ai_addr, address->ai_addrlen) != 0 ||
      listen(listener.Get(), kListenBacklog) != 0) {
    ThrowListenError(aAddress, aPort);
  }
  return listener.Release();
}

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

}
