#include "core/task_queue.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <mutex>
#include <vector>

using namespace bramleystall;

// Guards against tasks that run out of order or are lost when the queue is
// destroyed.
TEST_CASE("Queued tasks run in order, also during destruction", "[core]")
{
  std::vector<int> ran;
  {
    TaskQueue queue;
    for (int i = 0; i < 100; ++i) {
      queue.Post([&ran, i] { ran.push_back(i); });
    }
  }
  REQUIRE(ran.size() == 100);
  CHECK(std::ranges::is_sorted(ran));
}

// Guards against a deadlock when a task needs a lock that the caller holds.
TEST_CASE("Posting does not wait for a task", "[core]")
{
  std::mutex mutex;
  bool hasRun = false;
  {
    TaskQueue queue;
    // Destroyed before the queue, which waits for the task.
    const std::lock_guard lock(mutex);
    queue.Post([&] {
      const std::lock_guard taskLock(mutex);
      hasRun = true;
    });
  }
  CHECK(hasRun);
}
