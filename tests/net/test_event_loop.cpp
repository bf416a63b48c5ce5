#include "net/event_loop.h"

#include <absl/time/time.h>
#include <catch2/catch.hpp>

#include <functional>
#include <string>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

using namespace bramleystall;

// Guards against a component that keeps scheduling itself without delay and so
// keeps the loop from all descriptors.
TEST_CASE("Timers without delay leave turns to descriptors", "[event_loop]")
{
  constexpr int kMaxRuns = 100;
  EventLoop loop;
  const int event = eventfd(1, EFD_CLOEXEC);
  REQUIRE(event >= 0);
  int timerRuns = 0;
  int descriptorRuns = 0;
  const std::function<void()> rearm = [&] {
    if (++timerRuns >= kMaxRuns) {
      loop.Stop();
      return;
    }
    loop.After(absl::ZeroDuration(), rearm);
  };
  loop.Watch(event, EPOLLIN, [&](std::uint32_t) { ++descriptorRuns; });
  loop.After(absl::ZeroDuration(), rearm);
  loop.Run();
  close(event);
  // The timer may run first in the first iteration.
  CHECK(descriptorRuns >= timerRuns - 1);
}

// Guards against due timers that are put off by the ones that they add.
TEST_CASE("Due timers run in order before those that they add", "[event_loop]")
{
  EventLoop loop(EventLoop::ClockMode::Simulated);
  std::string order;
  loop.After(absl::Seconds(1), [&] {
    order += "a";
    loop.After(absl::ZeroDuration(), [&] { order += "c"; });
  });
  loop.After(absl::Seconds(1), [&] { order += "b"; });
  loop.AdvanceBy(absl::Seconds(1));
  CHECK(order == "abc");
}
