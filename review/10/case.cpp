// Workers of a service that run subtasks that fill are lost for good.

#include "deployment.h"

namespace {

using nlohmann::json;
using namespace review;

constexpr const char* kService = "perro-norte";
constexpr int kWorkers = 20;
/** 15% of the workers. */
constexpr int kFillers = 3;
constexpr int kDaemons = 2;
/** Silence after which the store removes a worker's entry: three heartbeats. */
constexpr int kEntryMs = 4500;
/** The rule counts from 6 s after the last run, for 3 s after 4 calm ones. */
constexpr int kJudgedFromMs = 6000 + 4000 + 3000;
constexpr int kObservedMs = 30'000;

json
MakeLastingJob(int aCount)
{
  return { { "spec", "0" },
           { "phases",
             { { { "count", aCount },
                 { "cpu", 1300 },
                 { "mem_mb", 6800 },
                 { "estimate_ms", 500 },
                 { "long_running", true },
                 { "anti_affinity", 1 },
                 { "may_miss", 1 } } } } };
}

int
RunCase(Deployment& aDeployment)
{
  for (int i = 0; i < kWorkers; ++i) {
    aDeployment.AddWorker(kService, { "a", "r1-1" });
  }
  aDeployment.Configure(1,
                        { { { "name", "r-1" },
                            { "host", kHost },
                            { "prefix", "/q/" },
                            { "kind", "unsafe" },
                            { "timeout_ms", 3000 },
                            { "target_runtime_ms", 2500 },
                            { "priority", 0 },
                            { "service", kService },
                            { "max_attempts", 4 },
                            { "stretch", 2.2 } } },
                        { kService });
  for (int i = 0; i < kDaemons; ++i) {
    aDeployment.AddDaemon();
  }
  if (!aDeployment.WaitUntilReady()) {
    return kCouldNotRun;
  }
  const std::string serving = "00000000000000a1";
  const std::string filling = "00000000000000b2";
  json servingJob = MakeLastingJob(kWorkers - kFillers);
  servingJob["phases"][0]["target_ms"] = 200;
  servingJob["phases"][0]["image"] = "img-1";
  json fillingJob = MakeLastingJob(kFillers);
  fillingJob["phases"][0]["fills"] = true;
  fillingJob["phases"][0]["image"] = "img-2";
  const auto runs = [&](const std::string& aJob, int aCount) {
    return Deployment::WaitFor(
      10'000, [&] { return aDeployment.RunningOf(aJob) == aCount; });
  };
  aDeployment.Ask(0, "POST", "/q/" + serving, servingJob);
  if (!runs(serving, kWorkers - kFillers)) {
    return kCouldNotRun;
  }
  aDeployment.Ask(0, "POST", "/q/" + filling, fillingJob);
  if (!runs(filling, kFillers)) {
    return kCouldNotRun;
  }
  Deployment::Sleep(2000);
  const std::int64_t begin = aDeployment.Log().NowMs();
  if (HasTrouble()) {
    std::vector<Worker*> lost;
    for (const auto& worker : aDeployment.Workers()) {
      for (const std::string& task : worker->Running()) {
        if (task.starts_with(filling)) {
          lost.push_back(worker.get());
        }
      }
    }
    for (Worker* worker : lost) {
      worker->Crash();
    }
    Deployment::Sleep(kEntryMs);
    for (Worker* worker : lost) {
      worker->Leave();
    }
  }
  int idleMs = 0;
  int longestIdleMs = 0;
  while (aDeployment.Log().NowMs() < begin + kObservedMs) {
    const int running = aDeployment.RunningOf(filling);
    const bool isJudged = aDeployment.Log().NowMs() >= begin + kJudgedFromMs;
    idleMs = isJudged && running < kFillers ? idleMs + 100 : 0;
    longestIdleMs = std::max(longestIdleMs, idleMs);
    Deployment::Sleep(100);
  }
  aDeployment.Log().Add(
    "subtasks that fill: " + std::to_string(aDeployment.RunningOf(filling)) +
    " of " + std::to_string(kFillers) + " run, " +
    std::to_string(aDeployment.RunningOf(serving)) +
    " that serve run; longest time without one of the former, from 13 s after "
    "the loss: " +
    std::to_string(longestIdleMs) +
    " ms; each worker that is left has 58736 of 65536 MB free");
  return longestIdleMs > 3000 ? kRuleBroken : kRuleHeld;
}

}

int
main(int aCount, char** aArguments)
{
  Play(aCount, aArguments, RunCase);
}
