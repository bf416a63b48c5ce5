#include "consul/configuration_publisher.h"
#include "core/error.h"
#include "tests/fakes/fake_platform_store.h"
#include "tests/fakes/interleaving.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>
#include <map>
#include <string>

using namespace bramleystall;

namespace {

/** Outcome that was reported to an operator. */
enum class ReportedOutcome
{
  Accepted,
  NotWritten,
  Unknown,
};

struct PublishFindings
{
  int m_wrongReports = 0;
  int m_inconsistentHistories = 0;
  std::map<ReportedOutcome, int> m_reportedOutcomes;
};

/** Two operators publish different configurations at the same time. */
class PublishScenario : public InterleavingScenario
{
public:
  explicit PublishScenario(PublishFindings& aFindings)
    : m_findings(aFindings)
  {
  }

  FakePlatformStore& Store() override { return m_store; }

  std::vector<Actor> Actors() override
  {
    return { [this](PlatformStore& aStore) { Publish(aStore, "first", 1); },
             [this](PlatformStore& aStore) { Publish(aStore, "second", 2); } };
  }

  std::string StateText() const override { return {}; }
  void AfterStep() override {}

  void AfterRun() override
  {
    ConfigurationPublisher reader(m_store, {});
    const auto history = reader.ReadHistory();
    const auto current = reader.ReadCurrent();
    for (const auto& [token, outcome] : m_reportedOutcomes) {
      const bool isAccepted =
        std::ranges::find(history, token, &HistoryEntry::m_writerToken) !=
        history.end();
      const bool isWrong =
        (outcome == ReportedOutcome::Accepted && !isAccepted) ||
        (outcome == ReportedOutcome::NotWritten && isAccepted);
      m_findings.m_wrongReports += isWrong ? 1 : 0;
      ++m_findings.m_reportedOutcomes[outcome];
    }
    std::uint64_t version = 0;
    for (const auto& entry : history) {
      m_findings.m_inconsistentHistories +=
        entry.m_version == ++version ? 0 : 1;
    }
    const std::string last =
      history.empty() ? std::string() : history.back().m_writerToken;
    m_findings.m_inconsistentHistories +=
      (current ? current->m_writerToken : std::string()) == last ? 0 : 1;
  }

private:
  void Publish(PlatformStore& aStore, const std::string& aToken, int aSpares)
  {
    WriterHooks hooks;
    hooks.m_makeToken = [aToken] { return aToken; };
    hooks.m_now = [] { return absl::UnixEpoch(); };
    hooks.m_sleep = [](absl::Duration) {};
    Configuration content;
    content.m_fleet.m_spareWorkers = aSpares;
    try {
      ConfigurationPublisher(aStore, hooks).Publish(content, aToken);
      m_reportedOutcomes[aToken] = ReportedOutcome::Accepted;
    } catch (const Error& error) {
      m_reportedOutcomes[aToken] = error.Code() == ErrorCode::OutcomeUnknown
                                     ? ReportedOutcome::Unknown
                                     : ReportedOutcome::NotWritten;
    }
  }

  PublishFindings& m_findings;
  FakePlatformStore m_store;
  std::map<std::string, ReportedOutcome> m_reportedOutcomes;
};

}

// Guards against a publish that is reported as accepted or as not written when
// the opposite is true, in any order of the store calls and with responses that
// are lost or writes that take effect late.
TEST_CASE("No publish is reported wrongly in any interleaving", "[platform]")
{
  PublishFindings findings;
  ExplorationLimits limits;
  limits.m_maxFaults = 2;
  const auto result = ExploreInterleavings(
    [&] { return std::make_unique<PublishScenario>(findings); }, limits);
  std::cout << "interleavings of two publishes: states=" << result.m_states
            << " store_calls=" << result.m_transitions
            << " complete_runs=" << result.m_completeRuns << " accepted="
            << findings.m_reportedOutcomes[ReportedOutcome::Accepted]
            << " not_written="
            << findings.m_reportedOutcomes[ReportedOutcome::NotWritten]
            << " unknown="
            << findings.m_reportedOutcomes[ReportedOutcome::Unknown] << "\n";
  CHECK(result.m_states > 100);
  CHECK(findings.m_wrongReports == 0);
  CHECK(findings.m_inconsistentHistories == 0);
  CHECK(findings.m_reportedOutcomes[ReportedOutcome::Accepted] > 0);
  CHECK(findings.m_reportedOutcomes[ReportedOutcome::NotWritten] > 0);
}
