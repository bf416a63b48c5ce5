#include "tests/measure/flood_measure.h"

#include "core/error.h"
#include "dispatch/fair_queue.h"
#include "tests/fakes/flood_scenarios.h"
#include "tests/naive/fifo_queue.h"

#include <algorithm>
#include <chrono>

namespace bramleystall {

namespace {

constexpr double kOtherWorkShareBound = 1;
constexpr double kUrgentStartBoundSeconds = 3.3;
constexpr int kDecisionServices = 16;
constexpr int kDecisionRounds = 20000;

struct FloodValues
{
  /** Smallest share of its starts that a kind keeps in another kind's flood. */
  double m_otherWorkShare = 1;
  /** Largest p99 start delay of an urgent kind in another kind's flood, in s.
   */
  double m_urgentStartSeconds = 0;
};

FloodScenario
ScenarioOf(const std::string& aDeployment)
{
  if (aDeployment == "consortium") {
    return ConsortiumFloodScenario();
  }
  if (aDeployment == "cooperative") {
    return CooperativeFloodScenario();
  }
  throw Error(ErrorCode::InvalidInput,
              "unknown deployment '" + aDeployment + "'");
}

void
AddFloodResult(FloodValues& aValues,
               const FloodScenario& aScenario,
               const FloodResult& aWithoutFlood,
               const FloodResult& aFlooded,
               int aFloodingKind)
{
  for (int i = 0; i < static_cast<int>(aScenario.m_kinds.size()); ++i) {
    if (i == aFloodingKind) {
      continue;
    }
    const FloodKindResult& flooded = aFlooded.m_kinds[i];
    const double withoutFlood = aWithoutFlood.m_kinds[i].m_started;
    aValues.m_otherWorkShare =
      std::min(aValues.m_otherWorkShare, flooded.m_started / withoutFlood);
    if (aScenario.m_kinds[i].m_service.m_urgency == Urgency::Urgent) {
      aValues.m_urgentStartSeconds =
        std::max(aValues.m_urgentStartSeconds, flooded.DelayP99());
    }
  }
}

template<typename Queue>
FloodValues
MeasureQueue(const FloodScenario& aScenario, std::uint64_t aSeed)
{
  const FloodResult withoutFlood =
    FloodSimulation<Queue>(aScenario, -1, aSeed).Run();
  FloodValues values;
  for (int i = 0; i < static_cast<int>(aScenario.m_kinds.size()); ++i) {
    const FloodResult flooded =
      FloodSimulation<Queue>(aScenario, i, aSeed).Run();
    AddFloodResult(values, aScenario, withoutFlood, flooded, i);
  }
  return values;
}

double
MeasureDecision(int aQueued)
{
  std::vector<ServiceSpec> services(kDecisionServices);
  std::map<std::string, double> quotas;
  for (int i = 0; i < kDecisionServices; ++i) {
    services[i].m_name = "service" + std::to_string(i);
    services[i].m_team = "team" + std::to_string(i % 4);
    services[i].m_urgency = static_cast<Urgency>(i % 3);
    services[i].m_queueLimit = aQueued + kDecisionRounds;
    quotas[services[i].m_team] = 0.25;
  }
  FairQueue queue;
  queue.Configure(services, quotas);
  queue.SetSlots(kDecisionServices);
  const absl::Time now = absl::UnixEpoch();
  std::uint64_t id = 1;
  const auto enqueueNext = [&] {
    const std::string& name = services[id % kDecisionServices].m_name;
    queue.Enqueue(
      name, id, now, now + absl::Hours(1000) + absl::Nanoseconds(id));
    ++id;
  };
  for (int i = 0; i < aQueued; ++i) {
    enqueueNext();
  }
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kDecisionRounds; ++i) {
    enqueueNext();
    const auto taken = queue.Take();
    queue.Finish(*taken, absl::Milliseconds(100));
  }
  const std::chrono::duration<double, std::micro> elapsed =
    std::chrono::steady_clock::now() - start;
  return elapsed.count() / kDecisionRounds;
}

}

std::vector<MeasureResult>
MeasureFlood(const std::string& aDeployment, std::uint64_t aSeed)
{
  const FloodScenario scenario = ScenarioOf(aDeployment);
  const FloodValues chosen = MeasureQueue<FairQueue>(scenario, aSeed);
  const FloodValues baseline = MeasureQueue<FifoQueue>(scenario, aSeed);
  std::vector<MeasureResult> results;
  results.push_back({ "flood_other_work",
                      aDeployment,
                      baseline.m_otherWorkShare,
                      chosen.m_otherWorkShare,
                      kOtherWorkShareBound,
                      "share",
                      aSeed,
                      "" });
  results.push_back({ "urgent_start",
                      aDeployment,
                      baseline.m_urgentStartSeconds,
                      chosen.m_urgentStartSeconds,
                      kUrgentStartBoundSeconds,
                      "s",
                      aSeed,
                      "" });
  return results;
}

std::vector<DecisionTime>
MeasureDecisionTimes()
{
  std::vector<DecisionTime> times;
  for (const int queued : { 1000, 10000, 100000 }) {
    times.push_back({ queued, MeasureDecision(queued) });
  }
  return times;
}

}
