#include "cluster/decider_lease.h"
#include "core/error.h"
#include "tests/fakes/fake_platform_store.h"
#include "tests/fakes/interleaving.h"
#include "tests/fakes/quiet_log.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <iostream>
#include <map>
#include <set>
#include <string>

using namespace bramleystall;

namespace {

const std::string kKey = "bramleystall/decider";

const StateChart&
DeciderChart()
{
  static const StateChart kChart =
    StateChart::Load(BRAMLEYSTALL_SOURCE_DIR "/charts/decider_term.json");
  return kChart;
}

DeciderLeaseSettings
MakeSettings(const std::string& aDaemon, std::function<absl::Time()> aNow)
{
  DeciderLeaseSettings settings;
  settings.m_daemon = aDaemon;
  settings.m_watchTimeout = absl::ZeroDuration();
  settings.m_seed = 1;
  settings.m_now = std::move(aNow);
  return settings;
}

/** Store, clock and leases of some daemons. */
class LeaseFixture
{
public:
  DeciderLease MakeLease(const std::string& aDaemon)
  {
    return { m_store,
             DeciderChart(),
             MakeSettings(aDaemon, [this] { return m_now; }),
             &m_metrics };
  }

  void Advance(absl::Duration aTime) { m_now += aTime; }

  FakePlatformStore m_store;
  absl::Time m_now = absl::UnixEpoch();
  Metrics m_metrics;
};

void
StepUntil(DeciderLease& aLease, DeciderState aState)
{
  constexpr int kMaxSteps = 20;
  for (int i = 0; i < kMaxSteps && aLease.State() != aState; ++i) {
    aLease.Step();
  }
  REQUIRE(aLease.State() == aState);
}

std::uint64_t
StoredTerm(FakePlatformStore& aStore)
{
  return nlohmann::json::parse(aStore.Get(kKey)->m_value)
    .at("term")
    .get<std::uint64_t>();
}

}

// Guards against states that differ between the chart and the code.
TEST_CASE("The decider term chart names only known states", "[cluster]")
{
  REQUIRE(ValueOf(kDeciderStateNames, DeciderChart().Initial()) ==
          DeciderState::Follower);
  std::set<std::string> reached = { DeciderChart().Initial() };
  for (const auto& transition : DeciderChart().Transitions()) {
    CAPTURE(transition.m_from, transition.m_event);
    CHECK(ValueOf(kDeciderStateNames, transition.m_from).has_value());
    CHECK(ValueOf(kDeciderStateNames, transition.m_to).has_value());
    reached.insert(transition.m_to);
  }
  CHECK(reached.size() == kDeciderStateNames.size());
}

// Guards against two holders at once and against terms that do not grow by
// one.
TEST_CASE("The term grows by one with each new holder", "[cluster]")
{
  LeaseFixture fixture;
  auto first = fixture.MakeLease("first");
  auto second = fixture.MakeLease("second");
  CHECK_FALSE(first.MayDecide());
  StepUntil(first, DeciderState::Holder);
  CHECK(first.MayDecide());
  CHECK(first.Term() == 1);
  CHECK(StoredTerm(fixture.m_store) == 1);
  for (int i = 0; i < 3; ++i) {
    second.Step();
    CHECK(second.State() == DeciderState::Follower);
  }
  CHECK(second.LastSeenHolder() == "first");
  CHECK_FALSE(second.Condition().has_value());

  first.Release();
  CHECK_FALSE(first.MayDecide());
  CHECK(first.Term() == 0);
  StepUntil(second, DeciderState::Holder);
  CHECK(second.Term() == 2);
  second.Release();
  StepUntil(first, DeciderState::Holder);
  CHECK(first.Term() == 3);
  CHECK(StoredTerm(fixture.m_store) == 3);
}

// Guards against a paused holder that decides after its session may have
// expired, and against a deadline that counts from the response.
TEST_CASE("A holder stops before its session may expire", "[cluster]")
{
  LeaseFixture fixture;
  auto lease = fixture.MakeLease("daemon");
  StepUntil(lease, DeciderState::Holder);
  fixture.Advance(absl::Milliseconds(7999));
  CHECK(lease.MayDecide());
  fixture.Advance(absl::Milliseconds(1));
  CHECK_FALSE(lease.MayDecide());
  CHECK_FALSE(lease.Condition().has_value());

  // The renewal takes three seconds, which count towards the deadline.
  fixture.m_store.SetCallHook([&](const std::string& aCall) {
    if (aCall == "renew_session") {
      fixture.Advance(absl::Seconds(3));
    }
  });
  lease.Step();
  CHECK(lease.MayDecide());
  fixture.m_store.SetCallHook({});
  fixture.Advance(absl::Milliseconds(4999));
  CHECK(lease.MayDecide());
  fixture.Advance(absl::Milliseconds(1));
  CHECK_FALSE(lease.MayDecide());
}

// Guards against a holder that keeps deciding while the store is down, and
// against a term that changes although nobody else took over.
TEST_CASE("A holder lapses while the store is down and returns with its term",
          "[cluster]")
{
  LeaseFixture fixture;
  auto lease = fixture.MakeLease("daemon");
  StepUntil(lease, DeciderState::Holder);
  fixture.m_store.SetDown(true);
  lease.Step();
  CHECK(lease.State() == DeciderState::Holder);
  fixture.Advance(absl::Seconds(8));
  lease.Step();
  CHECK(lease.State() == DeciderState::Lapsed);
  CHECK_FALSE(lease.MayDecide());
  fixture.m_store.SetDown(false);
  lease.Step();
  CHECK(lease.MayDecide());
  CHECK(lease.Term() == 1);
  CHECK(
    fixture.m_metrics.CounterValue("bramleystall_decider_lease_errors_total",
                                   { { "state", "holder" } }) == 1);
  CHECK(
    fixture.m_metrics.CounterValue("bramleystall_decider_lease_errors_total",
                                   { { "state", "lapsed" } }) == 1);
}

// Guards against a holder that does not notice the loss of its session or of
// its lock.
TEST_CASE("A holder that lost its session becomes a follower", "[cluster]")
{
  LeaseFixture fixture;
  auto first = fixture.MakeLease("first");
  auto second = fixture.MakeLease("second");
  StepUntil(first, DeciderState::Holder);
  const auto condition = first.Condition();
  REQUIRE(condition.has_value());
  fixture.m_store.ExpireSession(condition->m_session);
  StepUntil(second, DeciderState::Holder);
  CHECK(second.Term() == 2);
  // The first one has not noticed yet, but the store rejects its write.
  CHECK(first.MayDecide());
  CHECK(fixture.m_store.Write({ { "doc", "stale", 0 } }, first.Condition()) ==
        WriteOutcome::Conflict);
  CHECK(fixture.m_store.Write({ { "doc", "new", 0 } }, second.Condition()) ==
        WriteOutcome::Applied);
  first.Step();
  CHECK(first.State() == DeciderState::Follower);
  CHECK_FALSE(first.MayDecide());
}

// Guards against a lost response that leaves the lock with a daemon that does
// not know that it holds it, or that makes a daemon release a lock that it
// acquired.
TEST_CASE("A lost response while taking the lease is resolved", "[cluster]")
{
  LeaseFixture fixture;
  auto lease = fixture.MakeLease("daemon");
  lease.Step();
  REQUIRE(lease.State() == DeciderState::Candidate);
  SECTION("the response to the session creation")
  {
    fixture.m_store.LoseWriteResponses(1);
    StepUntil(lease, DeciderState::Holder);
    CHECK(fixture.m_store.CallCount("create_session") == 2);
  }
  SECTION("the response to the lock")
  {
    fixture.m_store.SetCallHook([&](const std::string& aCall) {
      fixture.m_store.LoseWriteResponses(aCall == "acquire" ? 1 : 0);
    });
    StepUntil(lease, DeciderState::Holder);
    CHECK(fixture.m_store.CallCount("acquire") == 1);
  }
  SECTION("the lock request itself")
  {
    int attempts = 0;
    fixture.m_store.SetCallHook([&](const std::string& aCall) {
      const bool isFirst = aCall == "acquire" && attempts++ == 0;
      fixture.m_store.LoseWriteRequests(isFirst ? 1 : 0);
    });
    StepUntil(lease, DeciderState::Holder);
    CHECK(fixture.m_store.CallCount("acquire") == 2);
  }
  CHECK(lease.Term() == 1);
  CHECK(StoredTerm(fixture.m_store) == 1);
}

// Guards against a candidate that retries forever with an expired session.
TEST_CASE("A candidate replaces a session past half of its TTL", "[cluster]")
{
  LeaseFixture fixture;
  auto lease = fixture.MakeLease("daemon");
  lease.Step();
  fixture.m_store.SetCallHook([&](const std::string& aCall) {
    fixture.m_store.LoseWriteRequests(aCall == "acquire" ? 1 : 0);
  });
  lease.Step();
  lease.Step();
  REQUIRE(lease.State() == DeciderState::Candidate);
  fixture.m_store.SetCallHook({});
  fixture.Advance(absl::Seconds(5));
  StepUntil(lease, DeciderState::Holder);
  CHECK(fixture.m_store.CallCount("create_session") == 2);
  CHECK(lease.MayDecide());
}

// Guards against a loop of failed renewals that overloads the store: the retry
// delays grow and stay under their bound.
TEST_CASE("Failures of the lease are followed by bounded retry delays",
          "[cluster]")
{
  LeaseFixture fixture;
  auto lease = fixture.MakeLease("daemon");
  fixture.m_store.SetDown(true);
  absl::Duration longest;
  for (int i = 0; i < 50; ++i) {
    longest = std::max(longest, lease.Step());
  }
  CHECK(longest > absl::Milliseconds(500));
  CHECK(longest <= absl::Seconds(3));
}

namespace {

/** What the exploration of two leases found. */
struct LeaseFindings
{
  int m_sharedTerms = 0;
  int m_wrongTerms = 0;
  int m_holders = 0;
};

/** Two daemons take a free lease, and the session of the holder expires. */
class LeaseScenario : public InterleavingScenario
{
public:
  explicit LeaseScenario(LeaseFindings& aFindings)
    : m_findings(aFindings)
  {
  }

  FakePlatformStore& Store() override { return m_store; }

  std::vector<Actor> Actors() override
  {
    return { [this](PlatformStore& aStore) { TakeLease(aStore, "first"); },
             [this](PlatformStore& aStore) { TakeLease(aStore, "second"); },
             [](PlatformStore& aStore) {
               const auto lock = aStore.Get(kKey);
               if (lock && !lock->m_session.empty()) {
                 aStore.DestroySession(lock->m_session);
               }
             } };
  }

  std::string StateText() const override
  {
    std::string text;
    for (const auto& [daemon, term] : m_terms) {
      text += daemon + std::to_string(term) + ";";
    }
    return text;
  }

  void AfterStep() override
  {
    const auto lock = m_store.Get(kKey);
    for (const auto& [daemon, term] : m_terms) {
      m_findings.m_wrongTerms += term == 0 || term > lock->m_lockCount ? 1 : 0;
    }
  }

  void AfterRun() override
  {
    std::set<std::uint64_t> terms;
    for (const auto& [daemon, term] : m_terms) {
      ++m_findings.m_holders;
      m_findings.m_sharedTerms += terms.insert(term).second ? 0 : 1;
    }
  }

private:
  void TakeLease(PlatformStore& aStore, const std::string& aDaemon)
  {
    DeciderLease lease(aStore,
                       DeciderChart(),
                       MakeSettings(aDaemon, [] { return absl::UnixEpoch(); }),
                       nullptr);
    // Ends as holder, or as follower after one attempt.
    constexpr int kMaxSteps = 8;
    for (int i = 0; i < kMaxSteps; ++i) {
      lease.Step();
      if (lease.State() == DeciderState::Holder) {
        m_terms[aDaemon] = lease.Term();
        return;
      }
      if (lease.State() == DeciderState::Follower) {
        return;
      }
    }
  }

  LeaseFindings& m_findings;
  FakePlatformStore m_store;
  std::map<std::string, std::uint64_t> m_terms;
};

}

// Guards against two daemons that decide in the same term, in any order of
// their store calls and with a response lost or late.
TEST_CASE("Two daemons never share a term in any interleaving", "[cluster]")
{
  const QuietLog quiet;
  LeaseFindings findings;
  ExplorationLimits limits;
  limits.m_maxFaults = 1;
  const auto result = ExploreInterleavings(
    [&] { return std::make_unique<LeaseScenario>(findings); }, limits);
  std::cout << "interleavings of two leases: states=" << result.m_states
            << " store_calls=" << result.m_transitions
            << " complete_runs=" << result.m_completeRuns
            << " holders=" << findings.m_holders << "\n";
  CHECK(result.m_states > 1000);
  CHECK(findings.m_holders > 0);
  CHECK(findings.m_sharedTerms == 0);
  CHECK(findings.m_wrongTerms == 0);
}

// Guards against a fleet without a decider for the length of a watch after its
// first start, when the key does not exist yet.
TEST_CASE("The first read does not wait for a change", "[cluster]")
{
  LeaseFixture fixture;
  DeciderLease lease = fixture.MakeLease("a");
  StepUntil(lease, DeciderState::Holder);
  CHECK(fixture.m_store.CallCount("wait") == 0);
}
