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
 * Event loop of one thread over epoll: file descriptors, timers and signals.
 * All members are called from the thread that runs the loop, so the parts that
 * share a loop need no locks.
 */
class EventLoop
{
public:
  using Callback = std::function<void()>;
  /** Receives the epoll events that are ready. */
  using DescriptorCallback = std::function<void(std::uint32_t)>;
  using SignalCallback = std::function<void(int)>;
  using TimerId = std::uint64_t;

  /** Source of the loop's time. */
  enum class ClockMode
  {
    Monotonic,
    /** The time passes only in AdvanceBy, so that tests need not wait. */
    Simulated,
  };

  explicit EventLoop(ClockMode aClockMode = ClockMode::Monotonic);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /** Monotonic time of the current turn, which includes suspension. */
  absl::Time Now() const { return m_now; }

  /** Monotonic time at this instant, also within a long turn. */
  absl::Time ReadClock() const;

  /** Watches a descriptor, or changes the events that it is watched for. */
  void Watch(int aDescriptor,
             std::uint32_t aEvents,
             DescriptorCallback aCallback);
  void Unwatch(int aDescriptor);

  /** Calls back once after a delay; the id cancels the timer. */
  TimerId After(absl::Duration aDelay, Callback aCallback);
  void Cancel(TimerId aTimer);

  /** Calls back once for each delivery of a signal. */
  void OnSignal(int aSignal, SignalCallback aCallback);

  /** Runs until Stop is called. */
  void Run();
  void Stop() { m_isStopped = true; }

  /** Lets simulated time pass and runs the timers that become due. */
  void AdvanceBy(absl::Duration aTime);

  /** Makes the present turn take this much simulated time. */
  void AddIterationTime(absl::Duration aTime) { m_iterationTime += aTime; }

private:
  struct Descriptor
  {
    std::uint32_t m_events = 0;
    std::shared_ptr<DescriptorCallback> m_callback;
  };

  int MsUntilNextTimer() const;
  void RunTimers();
  void ReadSignals();

  int m_epollDescriptor = -1;
  int m_signalPipe[2] = { -1, -1 };
  ClockMode m_clockMode;
  absl::Time m_now;
  /** Simulated time that the present turn has taken. */
  absl::Duration m_iterationTime;
  bool m_isStopped = false;
  TimerId m_nextTimer = 1;
  std::map<std::pair<absl::Time, TimerId>, Callback> m_timers;
  std::unordered_map<TimerId, absl::Time> m_timerTimes;
  std::unordered_map<int, Descriptor> m_descriptors;
  std::map<int, SignalCallback> m_signalCallbacks;
};

}
