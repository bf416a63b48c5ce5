#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>

namespace bramleystall {

/**
 * Single-threaded event loop for file descriptors, timers and signals, based on
 * epoll. All members must be called from the thread that runs the loop, so the
 * components that share a loop need no locks.
 */
class EventLoop
{
public:
  using Callback = std::function<void()>;
  /** Receives the mask of the epoll events that are ready. */
  using DescriptorCallback = std::function<void(std::uint32_t)>;
  using SignalCallback = std::function<void(int)>;
  using TimerId = std::uint64_t;

  /** Source of the loop's time. */
  enum class ClockMode
  {
    Monotonic,
    /** Time passes only in AdvanceBy, so that tests do not have to wait. */
    Simulated,
  };

  explicit EventLoop(ClockMode aClockMode = ClockMode::Monotonic);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /** Monotonic time at the start of the current iteration. It includes the time
   * for which the machine was suspended. */
  absl::Time Now() const { return m_now; }

  /** Current monotonic time, which also advances within a long iteration. */
  absl::Time ReadClock() const;

  /** Watches a descriptor for epoll events. For a descriptor that is already
   * watched, replaces the events and the callback. */
  void Watch(int aDescriptor,
             std::uint32_t aEvents,
             DescriptorCallback aCallback);
  void Unwatch(int aDescriptor);

  /** Calls back once, the given delay after Now(): without a delay, after the
   * callbacks of the descriptors if one of them adds it, and in the next
   * iteration if a timer's callback does. Cancel accepts the returned id. */
  TimerId After(absl::Duration aDelay, Callback aCallback);
  void Cancel(TimerId aTimer);

  /** Calls back once for each delivery of a signal. */
  void OnSignal(int aSignal, SignalCallback aCallback);

  /** Runs until Stop is called. */
  void Run();
  void Stop() { m_isStopped = true; }

  /** Advances the simulated time and runs the timers that become due. */
  void AdvanceBy(absl::Duration aTime);

  /** Makes the current iteration take this much more simulated time. */
  void AddIterationTime(absl::Duration aTime) { m_iterationTime += aTime; }

private:
  struct Descriptor
  {
    std::uint32_t m_events = 0;
    std::shared_ptr<DescriptorCallback> m_callback;
  };

  int MsUntilNextTimer() const;
  void RunTimers();
  /** Runs the due timers with ids from aFirst on. */
  void RunTimersSince(TimerId aFirst);
  void ReadSignals();

  int m_epollDescriptor = -1;
  int m_signalPipe[2] = { -1, -1 };
  ClockMode m_clockMode;
  absl::Time m_now;
  /** Simulated time that the current iteration has taken. */
  absl::Duration m_iterationTime;
  bool m_isStopped = false;
  TimerId m_nextTimer = 1;
  std::map<std::pair<absl::Time, TimerId>, Callback> m_timers;
  std::unordered_map<TimerId, absl::Time> m_timerTimes;
  std::unordered_map<int, Descriptor> m_descriptors;
  std::map<int, SignalCallback> m_signalCallbacks;
};

}
