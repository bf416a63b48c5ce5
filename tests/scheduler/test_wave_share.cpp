#include "scheduler/wave_share.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <numeric>
#include <random>
#include <vector>

using namespace bramleystall;

TEST_CASE("One shard may have the whole limit down", "[wave]")
{
  REQUIRE(WaveShare({ 10 }, 0, 4) == 4);
  REQUIRE(WaveShare({ 3 }, 0, 4) == 3);
}

// Guards against more machines down at once than the wave allows (rule LIMIT)
// while shards know of different completions, and against unused places.
TEST_CASE("Shares with different views stay within the limit", "[wave]")
{
  std::mt19937 random(7);
  for (int round = 0; round < 2000; ++round) {
    const std::size_t shards = 1 + random() % 6;
    const int limit = 1 + static_cast<int>(random() % 12);
    std::vector<int> machines(shards);
    std::ranges::generate(machines,
                          [&random] { return static_cast<int>(random() % 9); });
    std::vector<bool> isCompleted(shards);
    for (std::size_t i = 0; i < shards; ++i) {
      isCompleted[i] = random() % 3 == 0;
    }
    int down = 0;
    int open = 0;
    int whole = 0;
    for (std::size_t i = 0; i < shards; ++i) {
      if (isCompleted[i]) {
        continue;
      }
      open += machines[i];
      std::vector<int> view = machines;
      std::vector<int> truth = machines;
      for (std::size_t other = 0; other < shards; ++other) {
        const bool isKnown = random() % 2 == 0;
        view[other] = isCompleted[other] && isKnown ? 0 : view[other];
        truth[other] = isCompleted[other] ? 0 : truth[other];
      }
      down += WaveShare(view, static_cast<int>(i), limit);
      whole += WaveShare(truth, static_cast<int>(i), limit);
    }
    REQUIRE(down <= limit);
    REQUIRE(whole == std::min(limit, open));
  }
}
