#include "net/event_loop.h"

#include "core/clock.h"
#include "core/error.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <sys/epoll.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace bramleystall {

namespace {

/** Maximum time for which one iteration waits for events. */
constexpr int kMaxWaitMs = 1000;
constexpr int kEventsPerIteration = 64;

/** Write end of the pipe through which the signal handler notifies the loop. */
int gSignalPipeWriteEnd = -1;

void
ForwardSignal(int aSignal)
{
  const int savedError = errno;
  const auto byte = static_cast<unsigned char>(aSignal);
  // A full pipe already wakes the loop, so a failed write loses no wake-up.
  [[maybe_unused]] const ssize_t written = write(gSignalPipeWriteEnd, &byte, 1);
  errno = savedError;
}

}

EventLoop::EventLoop(ClockMode aClockMode)
  : m_epollDescriptor(epoll_create1(EPOLL_CLOEXEC))
  , m_clockMode(aClockMode)
  , m_now(MonotonicNow())
{
  if (m_epollDescriptor < 0 ||
      pipe2(m_signalPipe, O_NONBLOCK | O_CLOEXEC) != 0) {
    throw Error(
      ErrorCode::Internal,
      absl::StrCat("event loop: cannot create its epoll descriptor or pipe: ",
                   std::strerror(errno)));
  }
  Watch(m_signalPipe[0], EPOLLIN, [this](std::uint32_t) { ReadSignals(); });
}

EventLoop::~EventLoop()
{
  for (const auto& [signal, callback] : m_signalCallbacks) {
    std::signal(signal, SIG_DFL);
  }
  close(m_signalPipe[0]);
  close(m_signalPipe[1]);
  close(m_epollDescriptor);
}

void
EventLoop::Watch(int aDescriptor,
                 std::uint32_t aEvents,
                 DescriptorCallback aCallback)
{
  const auto known = m_descriptors.find(aDescriptor);
  const bool isKnown = known != m_descriptors.end();
  if (isKnown && known->second.m_events == aEvents) {
    // The previous callback may be running, so a new object replaces it.
    known->second.m_callback =
      std::make_shared<DescriptorCallback>(std::move(aCallback));
    return;
  }
  epoll_event event{};
  event.events = aEvents;
  event.data.fd = aDescriptor;
  const int operation = isKnown ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
  if (epoll_ctl(m_epollDescriptor, operation, aDescriptor, &event) != 0) {
    // The descriptor may have been closed and reused since it was watched.
    epoll_ctl(m_epollDescriptor,
              isKnown ? EPOLL_CTL_ADD : EPOLL_CTL_MOD,
              aDescriptor,
              &event);
  }
  m_descriptors[aDescriptor] = {
    aEvents, std::make_shared<DescriptorCallback>(std::move(aCallback))
  };
}

void
EventLoop::Unwatch(int aDescriptor)
{
  epoll_ctl(m_epollDescriptor, EPOLL_CTL_DEL, aDescriptor, nullptr);
  m_descriptors.erase(aDescriptor);
}

EventLoop::TimerId
EventLoop::After(absl::Duration aDelay, Callback aCallback)
{
  const TimerId id = m_nextTimer++;
  const absl::Time due = m_now + aDelay;
  m_timers.emplace(std::pair(due, id), std::move(aCallback));
  m_timerTimes.emplace(id, due);
  return id;
}

void
EventLoop::Cancel(TimerId aTimer)
{
  const auto found = m_timerTimes.find(aTimer);
  if (found == m_timerTimes.end()) {
    return;
  }
  m_timers.erase(std::pair(found->second, aTimer));
  m_timerTimes.erase(found);
}

void
EventLoop::OnSignal(int aSignal, SignalCallback aCallback)
{
  gSignalPipeWriteEnd = m_signalPipe[1];
  m_signalCallbacks[aSignal] = std::move(aCallback);
  struct sigaction action
  {};
  action.sa_handler = ForwardSignal;
  action.sa_flags = SA_RESTART;
  sigaction(aSignal, &action, nullptr);
}

void
EventLoop::Run()
{
  std::array<epoll_event, kEventsPerIteration> events{};
  while (!m_isStopped) {
    const int count = epoll_wait(m_epollDescriptor,
                                 events.data(),
                                 kEventsPerIteration,
                                 MsUntilNextTimer());
    m_now = MonotonicNow();
    RunTimers();
    const TimerId firstOfDescriptors = m_nextTimer;
    for (int i = 0; i < std::max(count, 0); ++i) {
      const auto found = m_descriptors.find(events[i].data.fd);
      if (found == m_descriptors.end()) {
        continue;
      }
      const auto callback = found->second.m_callback;
      (*callback)(events[i].events);
    }
    RunTimersSince(firstOfDescriptors);
  }
}

absl::Time
EventLoop::ReadClock() const
{
  return m_clockMode == ClockMode::Simulated ? m_now + m_iterationTime
                                             : MonotonicNow();
}

void
EventLoop::AdvanceBy(absl::Duration aTime)
{
  const absl::Time end = m_now + aTime;
  while (!m_timers.empty() && m_timers.begin()->first.first <= end) {
    m_now = std::max(m_now, m_timers.begin()->first.first);
    RunTimers();
    m_now += std::exchange(m_iterationTime, absl::ZeroDuration());
  }
  m_now = std::max(m_now, end);
}

int
EventLoop::MsUntilNextTimer() const
{
  if (m_timers.empty()) {
    return kMaxWaitMs;
  }
  const absl::Duration wait = m_timers.begin()->first.first - MonotonicNow();
  const std::int64_t millis =
    absl::ToInt64Milliseconds(absl::Ceil(wait, absl::Milliseconds(1)));
  return static_cast<int>(std::clamp<std::int64_t>(millis, 0, kMaxWaitMs));
}

void
EventLoop::RunTimers()
{
  // Timers that are added meanwhile wait for the next iteration, so that
  // descriptors are handled between two runs of a timer without delay.
  const TimerId end = m_nextTimer;
  const auto isDue = [this, end](const std::pair<absl::Time, TimerId>& aKey) {
    return aKey.first <= m_now && aKey.second < end;
  };
  while (!m_timers.empty() && isDue(m_timers.begin()->first)) {
    auto node = m_timers.extract(m_timers.begin());
    m_timerTimes.erase(node.key().second);
    node.mapped()();
  }
}

void
EventLoop::RunTimersSince(TimerId aFirst)
{
  std::vector<std::pair<absl::Time, TimerId>> due;
  for (auto timer = m_timers.begin();
       timer != m_timers.end() && timer->first.first <= m_now;
       ++timer) {
    if (timer->first.second >= aFirst) {
      due.push_back(timer->first);
    }
  }
  for (const auto& key : due) {
    // An earlier callback may have cancelled the timer.
    auto node = m_timers.extract(key);
    if (node) {
      m_timerTimes.erase(key.second);
      node.mapped()();
    }
  }
}

void
EventLoop::ReadSignals()
{
  std::array<unsigned char, 16> bytes{};
  const ssize_t count = read(m_signalPipe[0], bytes.data(), bytes.size());
  for (ssize_t i = 0; i < count; ++i) {
    const auto found = m_signalCallbacks.find(bytes[i]);
    if (found != m_signalCallbacks.end()) {
      found->second(bytes[i]);
    }
  }
}

}
