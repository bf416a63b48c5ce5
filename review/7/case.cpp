// Scheduled jobs with many repeats come at once, and an ordinary job with them.

#include "review/small_deployment.h"

#include <csignal>
#include <thread>

namespace {

using nlohmann::json;
using namespace second_review;

constexpr const char* kService = "perro-norte";
constexpr int kWorkers = 9;
constexpr int kDaemons = 3;
/** `memory_mb` of a machine of lican-gt. */
constexpr int kMemoryLimitMb = 260;
constexpr int kRestartDelayMs = 500;
constexpr int kScheduledJobs = 12;
/** Once a minute for 60 days, or ten times. */
constexpr int kManyRepeats = 86'400;
constexpr int kFewRepeats = 10;
constexpr std::int64_t kIntervalMs = 60'000;
/** `finish_s` of lican-gt. */
constexpr int kFinishMs = 14'000;
/** Time for which a job has nothing running, by the rule. */
constexpr int kIdleMs = 3000;

/** The platform: it kills a process that takes more memory than its machine
 * has, and starts processes that have ended again. */
void
Supervise(SmallDeployment& aDeployment, const bool& aIsOver, int& aKills)
{
  while (!aIsOver) {
    SmallDeployment::Sleep(10);
    for (const auto& daemon : aDeployment.Daemons()) {
      const int memory = daemon->MemoryMb();
      if (memory > kMemoryLimitMb) {
        ++aKills;
        aDeployment.Log().Add("daemon " + daemon->Name() + " takes " +
                              std::to_string(memory) + " MB and is killed");
        daemon->Signal(SIGKILL);
      }
      if (daemon->HasEnded()) {
        aDeployment.Log().Add("daemon " + daemon->Name() + " has ended");
        SmallDeployment::Sleep(kRestartDelayMs);
        daemon->Start();
      }
    }
  }
}

/** Submits a job, again without a response or after a 502 to 504. */
bool
Submit(SmallDeployment& aDeployment, const std::string& aId, const json& aJob)
{
  for (std::size_t i = 0; i < 5; ++i) {
    const int status =
      aDeployment.Ask(i % kDaemons, "POST", "/q/" + aId, aJob).m_status;
    if (status == 200) {
      return true;
    }
    SmallDeployment::Sleep(300);
  }
  return false;
}

int
RunCase(SmallDeployment& aDeployment)
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
                            { "target_runtime_ms", 600 },
                            { "priority", 0 },
                            { "service", kService },
                            { "max_attempts", 3 },
                            { "stretch", 1.6 } } },
                        { kService });
  for (int i = 0; i < kDaemons; ++i) {
    aDeployment.AddDaemon();
  }
  if (!aDeployment.WaitUntilReady()) {
    return kCouldNotRun;
  }
  bool isOver = false;
  int kills = 0;
  std::thread platform(
    [&aDeployment, &isOver, &kills] { Supervise(aDeployment, isOver, kills); });
  const auto nowMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
  const json ordinary = { { "spec", "500" },
                          { "phases",
                            { { { "count", 4 },
                                { "cpu", 880 },
                                { "mem_mb", 2500 },
                                { "estimate_ms", 500 } } } } };
  const json scheduled = { { "spec", "500" },
                           { "phases",
                             { { { "count", 1 },
                                 { "cpu", 880 },
                                 { "mem_mb", 2500 },
                                 { "estimate_ms", 500 } } } },
                           { "repeats",
                             HasTrouble() ? kManyRepeats : kFewRepeats },
                           { "initial_delay_ms", nowMs + kIntervalMs },
                           { "interval_ms", kIntervalMs } };
  int accepted = 0;
  for (int i = 0; i < kScheduledJobs; ++i) {
    accepted +=
      Submit(aDeployment, "00000000000001" + std::to_string(10 + i), scheduled)
        ? 1
        : 0;
  }
  const std::string job = "0000000000000200";
  const bool isAccepted = Submit(aDeployment, job, ordinary);
  // The rule is applied once finish_s has passed since the last request.
  SmallDeployment::Sleep(kFinishMs);
  const std::int64_t begin = aDeployment.Log().NowMs();
  bool hasRun = false;
  std::string state;
  while (aDeployment.Log().NowMs() < begin + kIdleMs) {
    hasRun = hasRun || aDeployment.RunningOf(job) > 0;
    state = aDeployment.StateOf(0, "/q/" + job);
    SmallDeployment::Sleep(100);
  }
  int starts = 0;
  for (const auto& worker : aDeployment.Workers()) {
    starts += worker->Starts();
  }
  isOver = true;
  platform.join();
  aDeployment.Log().Add(
    "scheduled jobs accepted: " + std::to_string(accepted) +
    ", ordinary job accepted: " + (isAccepted ? "yes" : "no") +
    ", its state: " + state + ", starts: " + std::to_string(starts) +
    ", processes over their memory: " + std::to_string(kills));
  if (!isAccepted) {
    return kCouldNotRun;
  }
  return state != "completed" && !hasRun ? kRuleBroken : kRuleHeld;
}

}

int
main(int aCount, char** aArguments)
{
  Play(aCount, aArguments, RunCase);
}
