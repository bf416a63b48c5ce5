#include "server/caller_watch.h"

#include "core/error.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace bramleystall {

namespace {

constexpr std::size_t kEventsPerWait = 64;
// Identifies the event that stops the thread; exchange ids start at 1.
constexpr std::uint64_t kStopId = 0;

epoll_event
HangUpEvent(std::uint64_t aExchangeId)
{
  epoll_event event{};
  event.events = EPOLLRDHUP | EPOLLONESHOT;
  event.data.u64 = aExchangeId;
  return event;
}

}

CallerWatch::CallerWatch(OnHangUp aOnHangUp)
  : m_onHangUp(std::move(aOnHangUp))
{
}

CallerWatch::~CallerWatch()
{
  Stop();
}

void
CallerWatch::Start()
{
  m_epoll = epoll_create1(EPOLL_CLOEXEC);
  m_stopEvent = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = kStopId;
  if (m_epoll < 0 || m_stopEvent < 0 ||
      epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_stopEvent, &event) != 0) {
    throw Error(ErrorCode::Internal,
                "server: cannot set up epoll for the connections of callers");
  }
  m_thread = std::thread([this] { Run(); });
}

void
CallerWatch::Stop()
{
  if (m_thread.joinable()) {
    eventfd_write(m_stopEvent, 1);
    m_thread.join();
  }
  for (int* const descriptor : { &m_epoll, &m_stopEvent }) {
    if (*descriptor >= 0) {
      close(std::exchange(*descriptor, -1));
    }
  }
}

void
CallerWatch::Add(std::uint64_t aExchangeId, int aSocket)
{
  const std::lock_guard lock(m_mutex);
  epoll_event event = HangUpEvent(aExchangeId);
  if (epoll_ctl(m_epoll, EPOLL_CTL_ADD, aSocket, &event) == 0) {
    m_sockets.emplace(aExchangeId, aSocket);
  }
}

void
CallerWatch::Remove(std::uint64_t aExchangeId)
{
  const std::lock_guard lock(m_mutex);
  const auto node = m_sockets.extract(aExchangeId);
  if (!node.empty()) {
    epoll_ctl(m_epoll, EPOLL_CTL_DEL, node.mapped(), nullptr);
  }
}

void
CallerWatch::Run()
{
  std::array<epoll_event, kEventsPerWait> events{};
  while (true) {
    const int count =
      epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()), -1);
    for (int i = 0; i < count; ++i) {
      const std::uint64_t id = events.at(i).data.u64;
      if (id == kStopId) {
        return;
      }
      Report(id);
    }
  }
}

void
CallerWatch::Report(std::uint64_t aExchangeId)
{
  {
    const std::lock_guard lock(m_mutex);
    if (!m_sockets.contains(aExchangeId)) {
      return;
    }
  }
  if (m_onHangUp(aExchangeId)) {
    return;
  }
  const std::lock_guard lock(m_mutex);
  const auto found = m_sockets.find(aExchangeId);
  if (found != m_sockets.end()) {
    epoll_event event = HangUpEvent(aExchangeId);
    epoll_ctl(m_epoll, EPOLL_CTL_MOD, found->second, &event);
  }
}

}
