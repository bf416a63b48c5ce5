#include "cluster/decider_lease.h"
#include "cluster/document_watcher.h"
#include "consul/consul_store.h"
#include "core/clock.h"
#include "tests/fakes/child_process.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <string>

using namespace bramleystall;

namespace {

/** Platform stand-in that accepts short sessions, to keep the tests short. */
class ShortLeaseFixture
{
public:
  ShortLeaseFixture()
    : m_platform(BuiltProgram("platform_stand_in"),
                 { "--port=0", "--min_ttl_ms=100" })
  {
    m_settings.m_baseUrl =
      absl::StrCat("http://127.0.0.1:", m_platform.WaitForPort());
    m_settings.m_timeout = absl::Seconds(3);
  }

  static DeciderLeaseSettings LeaseSettings(const std::string& aDaemon)
  {
    DeciderLeaseSettings settings;
    settings.m_daemon = aDaemon;
    settings.m_ttl = absl::Seconds(3);
    settings.m_safetyMargin = absl::Seconds(1);
    settings.m_renewInterval = absl::Milliseconds(300);
    settings.m_takeoverJitter = absl::Milliseconds(50);
    return settings;
  }

  static StateChart Chart()
  {
    return StateChart::Load(BRAMLEYSTALL_SOURCE_DIR
                            "/charts/decider_term.json");
  }

  void SetFaults(const std::string& aJson)
  {
    ClientRequest request;
    request.m_method = "POST";
    request.m_url = m_settings.m_baseUrl + "/stand_in/faults";
    request.m_body = aJson;
    REQUIRE(HttpClient().Send(request).m_status == 200);
  }

  bool HasPendingWatch() const
  {
    ClientRequest request;
    request.m_url = m_settings.m_baseUrl + "/stand_in/calls";
    const auto calls = nlohmann::json::parse(HttpClient().Send(request).m_body);
    return calls["pending_watches"] > 0;
  }

  ChildProcess m_platform;
  ConsulSettings m_settings;
};

bool
WaitUntil(const std::function<bool()>& aCondition)
{
  constexpr int kMaxPolls = 2000;
  for (int i = 0; i < kMaxPolls && !aCondition(); ++i) {
    absl::SleepFor(absl::Milliseconds(5));
  }
  return aCondition();
}

}

// Guards against a paused holder that may still decide when the next holder
// takes over, with the real protocol and its session expiry.
TEST_CASE("A paused holder has stopped before its successor decides",
          "[process]")
{
  ShortLeaseFixture fixture;
  ConsulStore firstStore(fixture.m_settings);
  ConsulStore secondStore(fixture.m_settings);
  DeciderLease paused(firstStore,
                      ShortLeaseFixture::Chart(),
                      ShortLeaseFixture::LeaseSettings("paused"),
                      nullptr);
  // Its steps run in this thread, so it is paused as soon as the loop ends.
  REQUIRE(WaitUntil([&] {
    if (!paused.MayDecide()) {
      paused.Step();
    }
    return paused.MayDecide();
  }));
  const auto oldCondition = paused.Condition();
  const auto oldTerm = paused.Term();
  REQUIRE(oldCondition.has_value());
  DeciderLease successor(secondStore,
                         ShortLeaseFixture::Chart(),
                         ShortLeaseFixture::LeaseSettings("successor"),
                         nullptr);
  successor.Start();
  bool wereBothAllowed = false;
  REQUIRE(WaitUntil([&] {
    const bool mayOldDecide = paused.MayDecide();
    wereBothAllowed =
      wereBothAllowed || (mayOldDecide && successor.MayDecide());
    return successor.MayDecide();
  }));
  CHECK_FALSE(wereBothAllowed);
  CHECK_FALSE(paused.MayDecide());
  CHECK(successor.Term() > oldTerm);
  CHECK(firstStore.Write({ { "doc", "stale", 0 } }, oldCondition) ==
        WriteOutcome::Conflict);
  CHECK(secondStore.Write({ { "doc", "new", 0 } }, successor.Condition()) ==
        WriteOutcome::Applied);
  paused.Step();
  CHECK(paused.State() == DeciderState::Follower);
  secondStore.StopWatches();
  successor.Stop();
}

// Guards against a release that makes the next holder wait for the expiry, and
// against a shutdown that waits for the end of a follower's watch.
TEST_CASE("A released lease passes on at once", "[process]")
{
  ShortLeaseFixture fixture;
  ConsulStore firstStore(fixture.m_settings);
  ConsulStore secondStore(fixture.m_settings);
  auto settings = ShortLeaseFixture::LeaseSettings("first");
  settings.m_ttl = absl::Seconds(60);
  DeciderLease first(firstStore, ShortLeaseFixture::Chart(), settings, nullptr);
  settings.m_daemon = "second";
  DeciderLease second(
    secondStore, ShortLeaseFixture::Chart(), settings, nullptr);
  first.Start();
  REQUIRE(WaitUntil([&] { return first.MayDecide(); }));
  second.Start();
  REQUIRE(WaitUntil([&] { return second.LastSeenHolder() == "first"; }));
  const absl::Time start = MonotonicNow();
  first.Stop();
  REQUIRE(WaitUntil([&] { return second.MayDecide(); }));
  CHECK(MonotonicNow() - start < absl::Seconds(5));
  CHECK(second.Term() == 2);

  first.Start();
  REQUIRE(WaitUntil([&] { return first.LastSeenHolder() == "second"; }));
  const absl::Time stopStart = MonotonicNow();
  firstStore.StopWatches();
  first.Stop();
  CHECK(MonotonicNow() - stopStart < absl::Seconds(5));
  second.Stop();
}

// Guards against an outage shorter than the lease that ends the term, and
// against two holders after a longer one.
TEST_CASE("A lease survives a short outage of the store", "[process]")
{
  ShortLeaseFixture fixture;
  ConsulStore store(fixture.m_settings);
  auto settings = ShortLeaseFixture::LeaseSettings("daemon");
  settings.m_ttl = absl::Seconds(20);
  DeciderLease lease(store, ShortLeaseFixture::Chart(), settings, nullptr);
  lease.Start();
  REQUIRE(WaitUntil([&] { return lease.MayDecide(); }));
  fixture.SetFaults(R"({"down":true})");
  absl::SleepFor(absl::Milliseconds(600));
  CHECK(lease.MayDecide());
  fixture.SetFaults(R"({"down":false})");
  absl::SleepFor(absl::Milliseconds(600));
  CHECK(lease.MayDecide());
  CHECK(lease.Term() == 1);
  store.StopWatches();
  lease.Stop();
}

// Guards against a watcher that misses changes made while its connection was
// cut.
TEST_CASE("A watcher catches up after cut watches", "[process]")
{
  ShortLeaseFixture fixture;
  ConsulStore store(fixture.m_settings);
  Metrics metrics;
  std::atomic<int> lastLength{ -1 };
  DocumentWatcher watcher(
    store,
    "k",
    {},
    [&](const std::optional<StoreValue>& aValue) {
      lastLength = aValue ? static_cast<int>(aValue->m_value.size()) : 0;
    },
    &metrics);
  REQUIRE(store.Write({ { "k", "1", 0 } }, {}) == WriteOutcome::Applied);
  watcher.Start();
  REQUIRE(WaitUntil([&] { return lastLength == 1; }));
  REQUIRE(WaitUntil([&] { return fixture.HasPendingWatch(); }));
  fixture.SetFaults(R"({"cut_watches":true})");
  const auto revision = store.Get("k")->m_revision;
  REQUIRE(store.Write({ { "k", "22", revision } }, {}) ==
          WriteOutcome::Applied);
  fixture.SetFaults(R"({"cut_watches":false})");
  const absl::Time start = MonotonicNow();
  CHECK(WaitUntil([&] { return lastLength == 2; }));
  // The retry delay is bounded, so a configuration is in effect within 5 s.
  CHECK(MonotonicNow() - start < absl::Seconds(4));
  CHECK(metrics.CounterValue("bramleystall_document_watch_errors_total",
                             { { "key", "k" } }) >= 1);
  store.StopWatches();
  watcher.Stop();
}
