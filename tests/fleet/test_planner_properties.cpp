#include "tests/fakes/lifecycle_chart.h"
#include "tests/fakes/random_history.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace bramleystall;

namespace {

void
CheckHistories(std::uint64_t aFirst, std::uint64_t aCount)
{
  const auto chart = LoadLifecycle(BRAMLEYSTALL_SOURCE_DIR);
  int drains = 0;
  std::set<std::pair<std::string, std::string>> covered;
  for (std::uint64_t seed = aFirst; seed < aFirst + aCount; ++seed) {
    RandomHistory history(seed, chart);
    const std::string violation = history.Run(PlanFleet);
    drains += history.Drains();
    covered.insert(history.Transitions().begin(), history.Transitions().end());
    CAPTURE(seed, violation);
    CHECK(violation.empty());
  }
  // Without drains the histories would not test the budget.
  CHECK(drains > static_cast<int>(aCount) * 5);
  // The histories must cover every transition of the state chart. The rare ones
  // that are added here are covered by test_planner.cpp.
  covered.insert({ { "joining", "set_aside" },
                   { "joining", "vanished" },
                   { "drained", "vanished" },
                   { "probation", "vanished" } });
  for (const StateTransition& transition : chart->Transitions()) {
    CAPTURE(transition.m_from, transition.m_event);
    CHECK(covered.contains({ transition.m_from, transition.m_event }));
  }
}

}

// Guards against a plan that breaks a guarantee in any mix of failures, false
// inputs, orders and restarts of the decider.
TEST_CASE("Planner keeps its guarantees in random histories", "[fleet]")
{
  CheckHistories(1, 300);
}

// Runs the same check for many more seeds, which takes minutes. The environment
// variables select other seeds.
TEST_CASE("Planner keeps its guarantees in 10,000 histories", "[.long]")
{
  const char* const first = std::getenv("BRAMLEYSTALL_FIRST_SEED");
  const char* const count = std::getenv("BRAMLEYSTALL_SEEDS");
  CheckHistories(first ? std::strtoull(first, nullptr, 10) : 1,
                 count ? std::strtoull(count, nullptr, 10) : 10000);
}
