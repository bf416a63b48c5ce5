#include "dispatch/fair_queue.h"
#include "tests/fakes/flood_scenarios.h"
#include "tests/naive/fifo_queue.h"

#include <catch2/catch.hpp>

using namespace bramleystall;

namespace {

/** Smallest ratio of the starts with a flood to the starts without it, over the
 * kinds of requests other than aFlooding. */
double
SmallestKeptShare(const FloodResult& aWith,
                  const FloodResult& aWithout,
                  int aFlooding)
{
  double smallest = 1;
  for (int kind = 0; kind < static_cast<int>(aWith.m_kinds.size()); ++kind) {
    REQUIRE(aWithout.m_kinds[kind].m_started > 100);
    if (kind != aFlooding) {
      smallest =
        std::min(smallest,
                 static_cast<double>(aWith.m_kinds[kind].m_started) /
                   static_cast<double>(aWithout.m_kinds[kind].m_started));
    }
  }
  return smallest;
}

}

// Guards against a flood of one kind of requests starving the others. The FIFO
// queue must show the starvation with the same requests, which proves that the
// scenario can cause it.
TEST_CASE("Other work keeps its throughput in a flood", "[dispatch]")
{
  const bool isConsortium = GENERATE(true, false);
  const std::uint64_t seed = GENERATE(1U, 2U);
  const FloodScenario scenario =
    isConsortium ? ConsortiumFloodScenario() : CooperativeFloodScenario();
  CAPTURE(isConsortium, seed);
  const FloodResult quiet =
    FloodSimulation<FairQueue>(scenario, -1, seed).Run();
  const FloodResult naiveQuiet =
    FloodSimulation<FifoQueue>(scenario, -1, seed).Run();
  for (int flooding = 0; flooding < 4; ++flooding) {
    CAPTURE(scenario.m_kinds[flooding].m_service.m_name);
    const FloodResult flooded =
      FloodSimulation<FairQueue>(scenario, flooding, seed).Run();
    const FloodResult naive =
      FloodSimulation<FifoQueue>(scenario, flooding, seed).Run();
    CHECK(SmallestKeptShare(flooded, quiet, flooding) >= 0.99);
    CHECK(SmallestKeptShare(naive, naiveQuiet, flooding) < 0.8);
    CHECK(flooded.m_busyShare >= 0.97);
    for (int kind = 0; kind < 4; ++kind) {
      const bool isUrgent =
        scenario.m_kinds[kind].m_service.m_urgency == Urgency::Urgent;
      if (isUrgent && kind != flooding) {
        CHECK(flooded.m_kinds[kind].DelayP99() <= 3.3);
        CHECK(flooded.m_kinds[kind].m_refused == 0);
        CHECK(naive.m_kinds[kind].DelayP99() > 3.3);
      }
    }
  }
}
