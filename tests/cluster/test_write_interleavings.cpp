#include "cluster/fenced_writer.h"
#include "tests/fakes/fake_platform_store.h"
#include "tests/fakes/interleaving.h"
#include "tests/naive/naive_writer.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <iostream>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace bramleystall;

namespace {

const std::string kVms = "vms";
const std::string kOrders = "orders";
const std::string kLock = "decider";

using WriteFunction =
  std::function<WriteOutcome(PlatformStore&, const FencedWrite&)>;

WriteOutcome
FencedApply(PlatformStore& aStore, const FencedWrite& aWrite)
{
  FencedWriterSettings settings;
  settings.m_now = [] { return absl::UnixEpoch(); };
  settings.m_sleep = [](absl::Duration) {};
  return FencedWriter(aStore, settings, nullptr).Apply(aWrite);
}

/** Violations and outcomes that the runs of one kind of scenario had. */
struct Findings
{
  int m_lostUpdates = 0;
  int m_staleHolders = 0;
  int m_wrongReports = 0;
  int m_partialWrites = 0;
  std::map<WriteOutcome, int> m_reports;
};

/** Which actors take part, and how they write. */
struct ScenarioSettings
{
  WriteFunction m_write;
  bool m_hasSecondDecider = true;
  bool m_hasOperator = true;
  /** Whether the operator's document keeps the tokens of earlier writes. */
  bool m_keepsHistory = false;
};

/**
 * The first decider holds the lock, its session ends at some point, a second
 * decider takes the lock, and an operator publishes orders. Each plans from
 * what it read and writes the revisions that it planned from into its
 * documents.
 */
class WriteScenario : public InterleavingScenario
{
public:
  WriteScenario(const ScenarioSettings& aSettings, Findings& aFindings)
    : m_settings(aSettings)
    , m_findings(aFindings)
  {
    m_store.Put(kVms, R"({"writer_token":"start","tokens":[]})");
    m_store.Put(kOrders, R"({"writer_token":"start","tokens":[]})");
    m_first = m_store.CreateSession("first", absl::Seconds(10));
    m_second = m_store.CreateSession("second", absl::Seconds(10));
    m_store.AcquireLock(kLock, "first", m_first);
    m_revisions = { { kVms, m_store.Get(kVms)->m_revision },
                    { kOrders, m_store.Get(kOrders)->m_revision } };
  }

  FakePlatformStore& Store() override { return m_store; }

  std::vector<Actor> Actors() override
  {
    std::vector<Actor> actors;
    actors.emplace_back(
      [this](PlatformStore& aStore) { Decide(aStore, "first", m_first); });
    if (m_settings.m_hasSecondDecider) {
      actors.emplace_back(
        [this](PlatformStore& aStore) { aStore.DestroySession(m_first); });
      actors.emplace_back([this](PlatformStore& aStore) {
        const auto outcome = aStore.AcquireLock(kLock, "second", m_second);
        // Like the lease, decides only once the lock is confirmed.
        if (outcome == WriteOutcome::Applied ||
            (outcome == WriteOutcome::Unknown &&
             aStore.Get(kLock)->m_session == m_second)) {
          Decide(aStore, "second", m_second);
        }
      });
    }
    if (m_settings.m_hasOperator) {
      actors.emplace_back([this](PlatformStore& aStore) {
        FencedWrite write{ {}, std::nullopt, "operator", HistoryKey() };
        write.m_writes.push_back(Plan(aStore, kOrders, "operator"));
        m_reports["operator"] = m_settings.m_write(aStore, write);
      });
    }
    return actors;
  }

  std::string StateText() const override
  {
    std::string text;
    for (const auto& [token, keys] : m_effects) {
      text += token + std::to_string(keys.size()) + ";";
    }
    return text;
  }

  void AfterStep() override
  {
    bool isChanged = false;
    for (auto& [key, revision] : m_revisions) {
      const auto value = m_store.Get(key);
      if (value->m_revision != revision) {
        NoteEffect(key, revision, value->m_value);
        revision = value->m_revision;
        isChanged = true;
      }
    }
    if (isChanged) {
      NoteHolder();
    }
  }

  void AfterRun() override
  {
    for (const auto& [token, outcome] : m_reports) {
      const bool isEffective = m_effects.contains(token);
      const bool isWrong = (outcome == WriteOutcome::Applied && !isEffective) ||
                           (outcome == WriteOutcome::Conflict && isEffective);
      m_findings.m_wrongReports += isWrong ? 1 : 0;
      ++m_findings.m_reports[outcome];
    }
    for (const auto& [token, keys] : m_effects) {
      const std::size_t expected = token == "operator" ? 1 : 2;
      m_findings.m_partialWrites += keys.size() == expected ? 0 : 1;
    }
  }

private:
  std::string HistoryKey() const
  {
    return m_settings.m_keepsHistory ? kOrders : std::string();
  }

  StoreWrite Plan(PlatformStore& aStore,
                  const std::string& aKey,
                  const std::string& aToken) const
  {
    const auto base = aStore.Get(aKey);
    auto document = nlohmann::json::parse(base->m_value);
    document["writer_token"] = aToken;
    document["base"] = base->m_revision;
    if (m_settings.m_keepsHistory && aKey == kOrders) {
      document["tokens"].push_back(aToken);
    }
    return { aKey, document.dump(), base->m_revision };
  }

  void Decide(PlatformStore& aStore,
              const std::string& aToken,
              const std::string& aSession)
  {
    FencedWrite write{
      {}, LockCondition{ kLock, aSession }, aToken, HistoryKey()
    };
    write.m_writes.push_back(Plan(aStore, kVms, aToken));
    write.m_writes.push_back(Plan(aStore, kOrders, aToken));
    m_reports[aToken] = m_settings.m_write(aStore, write);
  }

  void NoteEffect(const std::string& aKey,
                  std::uint64_t aRevisionBefore,
                  const std::string& aValue)
  {
    const auto document = nlohmann::json::parse(aValue);
    const auto token = document.at("writer_token").get<std::string>();
    m_findings.m_lostUpdates += document.at("base") == aRevisionBefore ? 0 : 1;
    m_effects[token].insert(aKey);
    m_lastToken = token;
  }

  /** A decider's write must take effect while its session holds the lock. */
  void NoteHolder()
  {
    const std::map<std::string, std::string> sessions = {
      { "first", m_first }, { "second", m_second }
    };
    const auto found = sessions.find(m_lastToken);
    if (found != sessions.end() &&
        m_store.Get(kLock)->m_session != found->second) {
      ++m_findings.m_staleHolders;
    }
  }

  ScenarioSettings m_settings;
  Findings& m_findings;
  FakePlatformStore m_store;
  std::string m_first;
  std::string m_second;
  std::string m_lastToken;
  std::map<std::string, std::uint64_t> m_revisions;
  /** Keys on which each token took effect. */
  std::map<std::string, std::set<std::string>> m_effects;
  std::map<std::string, WriteOutcome> m_reports;
};

Findings
Explore(const std::string& aName,
        const ScenarioSettings& aSettings,
        int aMaxFaults)
{
  Findings findings;
  ExplorationLimits limits;
  limits.m_maxFaults = aMaxFaults;
  const auto result = ExploreInterleavings(
    [&] { return std::make_unique<WriteScenario>(aSettings, findings); },
    limits);
  std::cout << "interleavings " << aName << ": states=" << result.m_states
            << " store_calls=" << result.m_transitions
            << " complete_runs=" << result.m_completeRuns;
  for (const auto& [outcome, count] : findings.m_reports) {
    std::cout << " " << NameOf(kWriteOutcomeNames, outcome) << "=" << count;
  }
  std::cout << "\n";
  REQUIRE(result.m_states > 100);
  return findings;
}

void
CheckSound(const Findings& aFindings)
{
  CHECK(aFindings.m_lostUpdates == 0);
  CHECK(aFindings.m_staleHolders == 0);
  CHECK(aFindings.m_wrongReports == 0);
  CHECK(aFindings.m_partialWrites == 0);
}

}

// Guards against two deciders that both take effect from one base during a
// change of the lease, and against a publish that is reported wrongly.
TEST_CASE("Fenced writes are sound in every interleaving of three writers",
          "[cluster]")
{
  CheckSound(Explore("three writers, one fault", { FencedApply }, 1));
}

// Guards against a wrong report when several responses are lost in a row, also
// when a lost write takes effect only later.
TEST_CASE("Fenced writes are sound when several responses are lost",
          "[cluster]")
{
  CheckSound(Explore(
    "decider and operator, three faults", { FencedApply, false, true }, 3));
  CheckSound(
    Explore("two deciders, two faults", { FencedApply, true, false }, 2));
}

// Guards against outcomes that stay unknown although a history of tokens
// decides them.
TEST_CASE("A history of tokens settles every outcome", "[cluster]")
{
  const auto findings = Explore(
    "decider and operator with history", { FencedApply, false, true, true }, 2);
  CheckSound(findings);
  CHECK_FALSE(findings.m_reports.contains(WriteOutcome::Unknown));
}

// Shows that the checks detect faults: a writer without a condition and without
// the revision of its plan violates each of them.
TEST_CASE("Naive writes violate the property of fenced writes", "[cluster]")
{
  const auto findings =
    Explore("naive, two deciders", { NaiveWrite, true, false }, 1);
  CHECK(findings.m_lostUpdates > 0);
  CHECK(findings.m_staleHolders > 0);
  CHECK(findings.m_wrongReports > 0);
}
