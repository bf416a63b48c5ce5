#include "tests/fakes/lifecycle_chart.h"
#include "tests/fakes/random_history.h"
#include "tests/naive/naive_planner.h"

#include <catch2/catch.hpp>

using namespace bramleystall;

// Guards against a check of the random histories that cannot fail. The naive
// planner drains without a margin and has to break the budget in histories in
// which the planner keeps it.
TEST_CASE("Naive planner breaks the budget that the planner keeps", "[fleet]")
{
  const auto chart = LoadLifecycle(BRAMLEYSTALL_SOURCE_DIR);
  constexpr std::uint64_t kSeeds = 40;
  int broken = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    const std::string naive = RandomHistory(seed, chart).Run(NaivePlanner());
    broken += naive.starts_with("budget") ? 1 : 0;
    if (naive.starts_with("budget")) {
      CHECK(RandomHistory(seed, chart).Run(PlanFleet).empty());
    }
  }
  CAPTURE(broken);
  CHECK(broken >= 10);
}

// Guards against a change of the fleet model after which no history breaks the
// budget. The violation with this seed is known.
TEST_CASE("Naive planner breaks the budget with seed 4", "[fleet]")
{
  const auto chart = LoadLifecycle(BRAMLEYSTALL_SOURCE_DIR);
  const std::string naive = RandomHistory(4, chart).Run(NaivePlanner());
  CAPTURE(naive);
  CHECK(naive.starts_with("budget: the drain of"));
  CHECK(RandomHistory(4, chart).Run(PlanFleet).empty());
}
