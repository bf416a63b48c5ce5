#include "tests/fakes/fake_cluster.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace bramleystall;

namespace {

int
Pick(std::mt19937_64& aRandom, int aCount)
{
  return std::uniform_int_distribution<int>(0, aCount - 1)(aRandom);
}

/** Kills, freezes, stops or starts a random daemon. */
void
InjectFault(FakeCluster& aCluster)
{
  auto& random = aCluster.Random();
  const std::string name = absl::StrCat("d", Pick(random, 6));
  if (!aCluster.IsRunning(name)) {
    aCluster.Start(name);
    return;
  }
  switch (Pick(random, 3)) {
    case 0:
      aCluster.Kill(name);
      return;
    case 1:
      aCluster.Leave(name);
      return;
    default:
      aCluster.Freeze(name, absl::Milliseconds(200 + Pick(random, 8000)));
      return;
  }
}

/** Claims new ids, and repeats earlier ones, at random daemons. */
class Callers
{
public:
  void Run(FakeCluster& aCluster)
  {
    auto& random = aCluster.Random();
    const auto skew = absl::Milliseconds(Pick(random, 10000) - 5000);
    m_ids.push_back(Uuid7::Make(aCluster.Now() + skew, random));
    Claim(aCluster, m_ids.back());
    for (int i = 0; i < 3; ++i) {
      // Most repeats come within seconds.
      const int count = static_cast<int>(m_ids.size());
      const int range = i == 0 ? count : std::min(count, 100);
      Claim(aCluster, m_ids[count - 1 - Pick(random, range)]);
    }
  }

private:
  static void Claim(FakeCluster& aCluster, const Uuid7& aId)
  {
    const auto running = aCluster.Running();
    if (!running.empty()) {
      const int chosen =
        Pick(aCluster.Random(), static_cast<int>(running.size()));
      aCluster.Claim(running[chosen], aId);
    }
  }

  std::vector<Uuid7> m_ids;
};

std::unique_ptr<FakeCluster>
RunClaims(FakeClusterSettings aSettings, std::uint64_t aSeed, bool aDisturb)
{
  aSettings.m_seed = aSeed;
  aSettings.m_workers = 0;
  auto cluster = std::make_unique<FakeCluster>(aSettings);
  for (int i = 0; i < 4; ++i) {
    cluster->Start(absl::StrCat("d", i));
  }
  cluster->Run(absl::Seconds(15));
  Callers callers;
  for (int i = 0; i < 3000; ++i) {
    callers.Run(*cluster);
    cluster->Run(absl::Milliseconds(20));
    if (aDisturb && Pick(cluster->Random(), 150) == 0) {
      InjectFault(*cluster);
    }
  }
  return cluster;
}

}

// Guards against a request that runs twice because two daemons granted its
// id, while daemons join, die, restart and freeze, with clocks that differ.
TEST_CASE("No id is granted twice", "[cluster]")
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    const auto cluster = RunClaims({}, seed, true);
    CHECK(cluster->MostGrants() == 1);
  }
}

// Shows that the property test detects duplicate grants when the owner is
// chosen from the current view alone.
TEST_CASE("An owner from the current view grants ids twice", "[cluster]")
{
  FakeClusterSettings settings;
  settings.m_usesNaiveOwner = true;
  int worst = 0;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    worst = std::max(worst, RunClaims(settings, seed, true)->MostGrants());
  }
  CHECK(worst > 1);
}

// Guards against an implementation that is safe only because it refuses
// nearly all claims.
TEST_CASE("Nearly all ids are granted when nothing fails", "[cluster]")
{
  FakeClusterSettings settings;
  settings.m_lossRate = 0;
  settings.m_daemonSkew = absl::ZeroDuration();
  const auto cluster = RunClaims(settings, 1, false);
  const auto granted = cluster->Outcomes().at(ClaimOutcome::Granted);
  CHECK(granted >= 2990);
  CHECK(cluster->MostGrants() == 1);
}
