// Workers are added to a service, and a queue whose policy allows two of its
// older workers gets a job.

#include "review/small_deployment.h"

namespace {

using nlohmann::json;
using namespace second_review;

constexpr const char* kService = "perro-norte";
constexpr int kWorkers = 28;
/** A quarter, as scale_out adds on lican-gt. */
constexpr int kAddedWorkers = 7;
constexpr int kAllowedWorkers = 2;
constexpr int kDaemons = 2;
/** `finish_s` of lican-gt. */
constexpr int kFinishMs = 14'000;
/** Time for which a job has nothing running, by the rule. */
constexpr int kIdleMs = 3000;

json
MakeRoute(const char* aName, const char* aPrefix)
{
  return { { "name", aName },      { "host", kHost },
           { "prefix", aPrefix },  { "kind", "unsafe" },
           { "timeout_ms", 3000 }, { "target_runtime_ms", 600 },
           { "priority", 0 },      { "service", kService },
           { "max_attempts", 3 },  { "stretch", 1.6 } };
}

int
RunCase(SmallDeployment& aDeployment)
{
  std::set<std::string> allowed;
  for (int i = 0; i < kWorkers; ++i) {
    const bool isAllowed = i < kAllowedWorkers;
    WorkerStandIn& worker =
      aDeployment.AddWorker(kService, { isAllowed ? "b" : "a", "r1-1" });
    if (isAllowed) {
      allowed.insert(worker.Id());
    }
  }
  aDeployment.Allow(allowed);
  json advised = MakeRoute("r-advised", "/advised/");
  advised["advice"] = { { "decide_ms", 20 },
                        { "each_ms", SmallDeployment::kAdviceEachMs },
                        { "valid_ms", 3000 } };
  aDeployment.Configure(
    1, { MakeRoute("r-plain", "/plain/"), advised }, { kService });
  for (int i = 0; i < kDaemons; ++i) {
    aDeployment.AddDaemon();
  }
  if (!aDeployment.WaitUntilReady()) {
    return kCouldNotRun;
  }
  // A lasting job takes a quarter of the two workers.
  const std::string lasting = "00000000000000a1";
  aDeployment.Ask(0,
                  "POST",
                  "/plain/" + lasting,
                  { { "spec", "0" },
                    { "phases",
                      { { { "count", kAllowedWorkers },
                          { "cpu", 4000 },
                          { "mem_mb", 6800 },
                          { "estimate_ms", 500 },
                          { "long_running", true },
                          { "anti_affinity", 1 },
                          { "may_miss", 1 },
                          { "constraints", "b" } } } } });
  if (!SmallDeployment::WaitFor(10'000, [&] {
        return aDeployment.RunningOf(lasting) == kAllowedWorkers;
      })) {
    return kCouldNotRun;
  }
  if (HasTrouble()) {
    for (int i = 0; i < kAddedWorkers; ++i) {
      aDeployment.AddWorker(kService, { "a", "r1-2" });
    }
    aDeployment.Log().Add("workers added: " + std::to_string(kAddedWorkers));
  }
  SmallDeployment::Sleep(3000);
  const std::string job = "00000000000000b2";
  const int status = aDeployment
                       .Ask(0,
                            "POST",
                            "/advised/" + job,
                            { { "spec", "800" },
                              { "phases",
                                { { { "count", 2 },
                                    { "cpu", 880 },
                                    { "mem_mb", 2500 },
                                    { "estimate_ms", 800 } } } } })
                       .m_status;
  if (status != 200) {
    return kCouldNotRun;
  }
  // The rule is applied once finish_s has passed since the last request.
  SmallDeployment::Sleep(kFinishMs);
  const std::int64_t begin = aDeployment.Log().NowMs();
  bool hasRun = false;
  std::string state;
  while (aDeployment.Log().NowMs() < begin + kIdleMs) {
    hasRun = hasRun || aDeployment.RunningOf(job) > 0;
    state = aDeployment.StateOf(1, "/advised/" + job);
    SmallDeployment::Sleep(200);
  }
  aDeployment.Log().Add("the job's state is " + state +
                        "; each allowed worker has 12000 of 16000 "
                        "thousandths of a core free, and a subtask takes 880");
  return state != "completed" && !hasRun ? kRuleBroken : kRuleHeld;
}

}

int
main(int aCount, char** aArguments)
{
  Play(aCount, aArguments, RunCase);
}
