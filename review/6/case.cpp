// A start gets no response and is carried out seconds later, by the next
// lifetime of its worker, while the worker is cut off from the daemons.

#include "review/small_deployment.h"

#include <algorithm>

namespace {

using nlohmann::json;
using namespace second_review;

constexpr const char* kService = "perro-norte";
constexpr int kWorkers = 9;
constexpr int kDaemons = 2;
/** Within the 2 to 12 s of applied_late. */
constexpr int kLateMs = 5000;
constexpr int kCutMs = 5500;
constexpr int kObservedMs = 12'000;

json
MakeLastingJob(int aCpu, const char* aLabel)
{
  json step = { { "count", 1 },
                { "cpu", aCpu },
                { "mem_mb", 6800 },
                { "estimate_ms", 500 },
                { "long_running", true } };
  if (*aLabel != '\0') {
    step["constraints"] = aLabel;
  }
  return { { "spec", "0" }, { "phases", json::array({ step }) } };
}

int
RunCase(SmallDeployment& aDeployment)
{
  // One worker of another kind has a job already, so that it is the fullest
  // one, where subtasks go first.
  for (int i = 0; i < kWorkers; ++i) {
    aDeployment.AddWorker(kService, { i + 1 == kWorkers ? "b" : "a", "r1-1" });
  }
  aDeployment.Configure(1,
                        json::array({ { { "name", "r-1" },
                                        { "host", kHost },
                                        { "prefix", "/q/" },
                                        { "kind", "unsafe" },
                                        { "timeout_ms", 3000 },
                                        { "target_runtime_ms", 2500 },
                                        { "priority", 0 },
                                        { "service", kService },
                                        { "max_attempts", 4 },
                                        { "stretch", 2.2 } } }),
                        { kService });
  for (int i = 0; i < kDaemons; ++i) {
    aDeployment.AddDaemon();
  }
  if (!aDeployment.WaitUntilReady()) {
    return kCouldNotRun;
  }
  const std::string job = "00000000000000a1";
  const std::string other = "00000000000000b2";
  if (HasTrouble()) {
    for (const auto& worker : aDeployment.Workers()) {
      worker->DelayStarts(kLateMs);
    }
  }
  aDeployment.Ask(0, "POST", "/q/" + job, MakeLastingJob(1300, ""));
  WorkerStandIn* late = aDeployment.Workers().front().get();
  if (HasTrouble() && !SmallDeployment::WaitFor(
                        5000, [late] { return late->DelayedStarts() > 0; })) {
    return kCouldNotRun;
  }
  for (const auto& worker : aDeployment.Workers()) {
    worker->DelayStarts(0);
  }
  aDeployment.Ask(0, "POST", "/q/" + other, MakeLastingJob(1300, "b"));
  if (!SmallDeployment::WaitFor(
        5000, [&] { return aDeployment.RunningOf(job) == 1; })) {
    return kCouldNotRun;
  }
  int most = 0;
  const auto look = [&](std::int64_t aUntilMs) {
    while (aDeployment.Log().NowMs() < aUntilMs) {
      most = std::max(most, aDeployment.RunningOf(job));
      SmallDeployment::Sleep(20);
    }
  };
  if (HasTrouble()) {
    if (!late->Running().empty()) {
      return kCouldNotRun;
    }
    SmallDeployment::Sleep(200);
    late->SetCutOff(true);
    aDeployment.Log().Add("worker " + late->Id() + " is cut off");
    const std::int64_t cutAt = aDeployment.Log().NowMs();
    SmallDeployment::Sleep(500);
    late->Crash();
    SmallDeployment::Sleep(500);
    late->Restart({ "a", "r1-1" });
    look(cutAt + kCutMs);
    late->SetCutOff(false);
    aDeployment.Log().Add("worker " + late->Id() + " is reachable again");
  }
  look(aDeployment.Log().NowMs() + kObservedMs);
  aDeployment.Log().Add(
    "most runs of the subtask at the same time, on workers that are up: " +
    std::to_string(most));
  return most > 1 ? kRuleBroken : kRuleHeld;
}

}

int
main(int aCount, char** aArguments)
{
  Play(aCount, aArguments, RunCase);
}
