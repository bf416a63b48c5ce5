#include "core/error.h"
#include "core/state_chart.h"
#include "dispatch/request_attempt.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <set>

using namespace bramleystall;

namespace {

StateChart
LoadChart()
{
  return StateChart::Load(BRAMLEYSTALL_SOURCE_DIR
                          "/charts/request_attempt.json");
}

/** States that can be reached from a state without the given event. */
std::set<std::string>
ReachableStates(const StateChart& aChart,
                const std::string& aFrom,
                const std::string& aExcludedEvent)
{
  std::set<std::string> reached = { aFrom };
  for (bool grew = true; grew;) {
    grew = false;
    for (const auto& transition : aChart.Transitions()) {
      if (transition.m_event != aExcludedEvent &&
          reached.contains(transition.m_from)) {
        grew = reached.insert(transition.m_to).second || grew;
      }
    }
  }
  return reached;
}

}

// Guards against states and events that are only in the chart or only in the
// code.
TEST_CASE("Request attempt chart and code have the same names", "[dispatch]")
{
  const StateChart chart = LoadChart();
  std::set<std::string> states;
  std::set<std::string> events;
  for (const auto& transition : chart.Transitions()) {
    states.insert(transition.m_from);
    states.insert(transition.m_to);
    events.insert(transition.m_event);
  }
  std::set<std::string> knownStates;
  for (const auto& [state, name] : kAttemptStateNames) {
    knownStates.emplace(name);
  }
  std::set<std::string> knownEvents;
  for (const auto& [event, name] : kAttemptEventNames) {
    knownEvents.emplace(name);
  }
  CHECK(states == knownStates);
  CHECK(events == knownEvents);
}

// Guards against a false "not run" (P4): once a byte may have been sent, no
// path leads to a refusal.
TEST_CASE("No path leads from a sent request to a refusal", "[dispatch]")
{
  const StateChart chart = LoadChart();
  for (const auto& transition : chart.Transitions()) {
    if (transition.m_event != "send") {
      continue;
    }
    CAPTURE(transition.m_from);
    // The event not_sent means that the attempt sent no byte.
    CHECK_FALSE(
      ReachableStates(chart, transition.m_to, "not_sent").contains("refused"));
  }
  CHECK_FALSE(ReachableStates(chart, "retry_waiting", "").contains("refused"));
}

// Guards against a second send without an event that gives the reason (P5).
TEST_CASE("A second send needs a retry or an attempt that sent nothing",
          "[dispatch]")
{
  const StateChart chart = LoadChart();
  for (const auto& transition : chart.Transitions()) {
    if (transition.m_from == "sending" ||
        transition.m_from == "retry_sending") {
      const bool isContinued = !chart.IsFinal(transition.m_to);
      const bool isResendReason =
        transition.m_event == "retry" || transition.m_event == "not_sent";
      CHECK(isContinued == isResendReason);
    }
  }
}

// Guards against transitions that the chart forbids being applied.
TEST_CASE("Each transition of the chart is applied, others are rejected",
          "[dispatch]")
{
  const StateChart chart = LoadChart();
  std::ifstream file(BRAMLEYSTALL_SOURCE_DIR "/charts/request_attempt.json");
  auto json = nlohmann::json::parse(file);
  for (const auto& [state, stateName] : kAttemptStateNames) {
    json["initial"] = stateName;
    const StateChart startingChart = StateChart::Parse(json.dump());
    for (const auto& [event, eventName] : kAttemptEventNames) {
      CAPTURE(stateName, eventName);
      const auto next =
        chart.Next(std::string(stateName), std::string(eventName));
      RequestAttempt startedAttempt(startingChart);
      REQUIRE(startedAttempt.State() == state);
      CHECK(startedAttempt.Allows(event) == next.has_value());
      if (next) {
        startedAttempt.Fire(event);
        CHECK(NameOf(kAttemptStateNames, startedAttempt.State()) == *next);
      } else {
        CHECK_THROWS_AS(startedAttempt.Fire(event), Error);
        CHECK(startedAttempt.State() == state);
      }
    }
  }
  RequestAttempt attempt(chart);
  CHECK_FALSE(attempt.Allows(AttemptEvent::Send));
  CHECK_THROWS_AS(attempt.Fire(AttemptEvent::Send), Error);
  attempt.Fire(AttemptEvent::Select);
  attempt.Fire(AttemptEvent::Clear);
  attempt.Fire(AttemptEvent::Send);
  CHECK(attempt.IsSending());
  attempt.Fire(AttemptEvent::Retry);
  CHECK(attempt.State() == AttemptState::RetryWaiting);
  CHECK_FALSE(attempt.Allows(AttemptEvent::Refuse));
  attempt.Fire(AttemptEvent::Lose);
  CHECK(attempt.IsFinished());
}
