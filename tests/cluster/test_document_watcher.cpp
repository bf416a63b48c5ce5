#include "cluster/document_watcher.h"
#include "core/clock.h"
#include "tests/fakes/fake_platform_store.h"

#include <absl/time/clock.h>
#include <catch2/catch.hpp>

#include <mutex>
#include <stdexcept>
#include <string>
#include <vector>

using namespace bramleystall;

namespace {

const std::string kKey = "k";

/** Watcher whose hook records the values; "missing" for a removed key. */
class WatcherFixture
{
public:
  WatcherFixture()
    : m_watcher(m_store, kKey, MakeSettings(), MakeHook(), &m_metrics)
  {
  }

  static DocumentWatcherSettings MakeSettings()
  {
    DocumentWatcherSettings settings;
    settings.m_watchTimeout = absl::Seconds(20);
    settings.m_firstRetryDelay = absl::Milliseconds(10);
    settings.m_maxRetryDelay = absl::Milliseconds(50);
    return settings;
  }

  DocumentWatcher::Hook MakeHook()
  {
    return [this](const std::optional<StoreValue>& aValue) {
      const std::scoped_lock lock(m_mutex);
      m_values.push_back(aValue ? aValue->m_value : "missing");
      if (m_values.back() == "malformed") {
        throw std::runtime_error("malformed document");
      }
    };
  }

  /** Waits until the hook has seen a value last. */
  bool WaitFor(const std::string& aValue)
  {
    for (int i = 0; i < 1000; ++i) {
      {
        const std::scoped_lock lock(m_mutex);
        if (!m_values.empty() && m_values.back() == aValue) {
          return true;
        }
      }
      absl::SleepFor(absl::Milliseconds(5));
    }
    return false;
  }

  std::uint64_t Counter(const std::string& aName) const
  {
    return m_metrics.CounterValue(aName, { { "key", kKey } });
  }

  FakePlatformStore m_store;
  Metrics m_metrics;
  std::mutex m_mutex;
  std::vector<std::string> m_values;
  DocumentWatcher m_watcher;
};

}

// Guards against a watcher that misses the value at the start or a change.
TEST_CASE("A watcher reports the first value and each change", "[cluster]")
{
  WatcherFixture fixture;
  fixture.m_store.Put(kKey, "one");
  fixture.m_watcher.Start();
  CHECK(fixture.WaitFor("one"));
  fixture.m_store.Put("other", "x");
  fixture.m_store.Put(kKey, "two");
  CHECK(fixture.WaitFor("two"));
  CHECK(fixture.m_watcher.LastResponseTime() > absl::InfinitePast());
  fixture.m_store.StopWatches();
  fixture.m_watcher.Stop();
  CHECK(fixture.m_values == std::vector<std::string>{ "one", "two" });
  CHECK(fixture.Counter("bramleystall_document_watch_changes_total") == 2);
}

// Guards against a watcher that ends with an outage, or that polls a store that
// is down in a tight loop.
TEST_CASE("A watcher continues after an outage of the store", "[cluster]")
{
  WatcherFixture fixture;
  fixture.m_store.Put(kKey, "one");
  fixture.m_watcher.Start();
  REQUIRE(fixture.WaitFor("one"));
  fixture.m_store.SetDown(true);
  const int before = fixture.m_store.CallCount("wait");
  absl::SleepFor(absl::Milliseconds(300));
  const int calls = fixture.m_store.CallCount("wait") - before;
  // Full jitter up to 50 ms makes about 12 calls in 300 ms; a loop without
  // retry delays makes many thousands.
  CHECK(calls >= 1);
  CHECK(calls < 150);
  fixture.m_store.Put(kKey, "two");
  fixture.m_store.SetDown(false);
  CHECK(fixture.WaitFor("two"));
  CHECK(fixture.Counter("bramleystall_document_watch_errors_total") >= 1);
  fixture.m_store.StopWatches();
}

// Guards against one malformed document that ends the watch.
TEST_CASE("A watcher survives a hook that throws", "[cluster]")
{
  WatcherFixture fixture;
  fixture.m_store.Put(kKey, "malformed");
  fixture.m_watcher.Start();
  REQUIRE(fixture.WaitFor("malformed"));
  fixture.m_store.Put(kKey, "good");
  CHECK(fixture.WaitFor("good"));
  CHECK(fixture.Counter("bramleystall_document_watch_hook_failures_total") ==
        1);
  fixture.m_store.StopWatches();
}

// Guards against a shutdown that waits for the end of a watch.
TEST_CASE("A watcher stops during a watch", "[cluster]")
{
  WatcherFixture fixture;
  fixture.m_watcher.Start();
  for (int i = 0; i < 1000 && fixture.m_store.CallCount("wait") == 0; ++i) {
    absl::SleepFor(absl::Milliseconds(2));
  }
  const absl::Time start = MonotonicNow();
  fixture.m_store.StopWatches();
  fixture.m_watcher.Stop();
  CHECK(MonotonicNow() - start < absl::Seconds(5));
}
