#include "tests/fakes/fake_cluster.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <string>

using namespace bramleystall;

namespace {

constexpr int kSlots = 8;

int
Pick(std::mt19937_64& aRandom, int aCount)
{
  return std::uniform_int_distribution<int>(0, aCount - 1)(aRandom);
}

/** Kills, freezes, restarts, stops or loads a random daemon. */
void
InjectFault(FakeCluster& aCluster)
{
  auto& random = aCluster.Random();
  const std::string name = absl::StrCat("d", Pick(random, 5));
  if (!aCluster.IsRunning(name)) {
    aCluster.Start(name);
    return;
  }
  switch (Pick(random, 6)) {
    case 0:
      aCluster.Kill(name);
      return;
    case 1:
      aCluster.Leave(name);
      return;
    case 2:
      aCluster.Freeze(name, absl::Milliseconds(200 + Pick(random, 12000)));
      return;
    case 3:
      aCluster.SetWaiting(name, 0);
      return;
    default:
      aCluster.SetWaiting(name, 1 + Pick(random, 20));
      return;
  }
}

int
MostInFlight(FakeClusterSettings aSettings, std::uint64_t aSeed)
{
  aSettings.m_seed = aSeed;
  FakeCluster cluster(aSettings);
  for (int i = 0; i < 4; ++i) {
    cluster.Start(absl::StrCat("d", i));
  }
  cluster.Run(absl::Seconds(5));
  for (int i = 0; i < 30; ++i) {
    InjectFault(cluster);
    cluster.Run(absl::Milliseconds(100 + Pick(cluster.Random(), 3000)));
  }
  return cluster.MostInFlight();
}

}

// Guards against more requests at a worker than it has slots, while daemons
// fail, freeze, restart, stop and change their load.
TEST_CASE("Daemons never exceed the slots of a worker", "[cluster]")
{
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    INFO("seed " << seed);
    CHECK(MostInFlight({}, seed) <= kSlots);
  }
}

// Shows that the property test detects the fault of fixed shares, which ignore
// the requests of a dead daemon.
TEST_CASE("Fixed shares exceed the slots of a worker", "[cluster]")
{
  FakeClusterSettings settings;
  settings.m_usesNaiveSlots = true;
  int worst = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    worst = std::max(worst, MostInFlight(settings, seed));
  }
  CHECK(worst > kSlots);
}

// Guards against a lone daemon that is limited to a share of the slots.
TEST_CASE("A lone loaded daemon gets 90% of the slots in a second", "[cluster]")
{
  FakeClusterSettings settings;
  settings.m_workers = 10;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    settings.m_seed = seed;
    FakeCluster cluster(settings);
    for (int i = 0; i < 8; ++i) {
      cluster.Start(absl::StrCat("d", i));
    }
    cluster.Run(absl::Seconds(5));
    cluster.SetWaiting("d3", 20);
    cluster.Run(absl::Seconds(1));
    CHECK(cluster.InFlight("d3") * 10 >= 10 * kSlots * 9);
    CHECK(cluster.MostInFlight() <= kSlots);
  }
}

// Guards against tokens that never return after a daemon has died.
TEST_CASE("Tokens of a dead daemon return after the longest deadline",
          "[cluster]")
{
  FakeCluster cluster({});
  for (int i = 0; i < 3; ++i) {
    cluster.Start(absl::StrCat("d", i));
  }
  cluster.Run(absl::Seconds(4));
  cluster.SetWaiting("d1", 20);
  cluster.Run(absl::Seconds(2));
  cluster.Kill("d1");
  cluster.Run(absl::Milliseconds(3500));
  CHECK(cluster.Quarantined() > 0);
  cluster.SetWaiting("d2", 20);
  cluster.Run(absl::Seconds(5));
  CHECK(cluster.Quarantined() == 0);
  CHECK(cluster.InFlight("d2") * 10 >= 3 * kSlots * 9);
  CHECK(cluster.MostInFlight() <= kSlots);
}
