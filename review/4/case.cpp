// The machine service is silent when the owner sends idle machines to the
// standby pool. The calls are not carried out. Later, while one job runs on one
// machine, another job finds no worker, though three are up and idle.

#include "review/deployment.h"

#include <algorithm>

namespace {

using namespace bramleystall::review;

constexpr const char* kFirstJobId = "5c0e7a21d94b36f8";
constexpr const char* kLongJobId = "5c0e7a21d94b36f9";
constexpr const char* kSecondJobId = "5c0e7a21d94b36fa";
constexpr int kLongRunMs = 40000;
/** The usual length of such an outage on the bench. */
constexpr std::int64_t kOutageMs = 5000;
/** Time without disruption before the second job. */
constexpr std::int64_t kCalmMs = 8000;
/** LOST: finish_s after the last request, a job has nothing running for 3 s. */
constexpr std::int64_t kFinishMs = 14000;
constexpr std::int64_t kLimitMs = 3000;
/** Time for which the case then watches on. */
constexpr std::int64_t kWatchMs = 25000;
constexpr int kMachines = 4;
/** Idle workers with which the service has capacity for the job twice over, and
 * under half of its capacity is in use. */
constexpr int kIdleWorkers = 3;
/** Subtasks of the first job, of which each machine runs two in turn. */
constexpr int kFirstTasks = 8;
/** The outage begins when this many have ended. */
constexpr int kEndedAtOutage = 6;

std::vector<Run>
RunsOf(Deployment& aDeployment, const char* aJobId)
{
  std::vector<Run> runs = aDeployment.Runs();
  std::erase_if(runs, [aJobId](const Run& aRun) {
    return !aRun.m_task.starts_with(aJobId);
  });
  return runs;
}

int
Play(Deployment& aDeployment, bool aHasTrouble)
{
  // A job that needs all machines, so that those of the standby pool come.
  if (aDeployment
        .Ask(0, "POST", kFirstJobId, aDeployment.Job(kFirstTasks, 3000))
        .m_status != 200) {
    return 2;
  }
  const bool isIdleSoon = aDeployment.WaitFor(25000, [&] {
    const std::vector<Run> runs = RunsOf(aDeployment, kFirstJobId);
    return std::ranges::count(runs, "done", &Run::m_how) >= kEndedAtOutage;
  });
  aDeployment.Log().Add("machines up: " +
                        std::to_string(aDeployment.MachinesUp()));
  if (!isIdleSoon || aDeployment.MachinesUp() != kMachines) {
    return 2;
  }
  if (aHasTrouble) {
    aDeployment.Log().Add("the machine service falls silent");
    aDeployment.SetMachinesSilent(true);
    SleepMs(kOutageMs);
    aDeployment.SetMachinesSilent(false);
    aDeployment.Log().Add("the machine service answers again");
  }
  SleepMs(kCalmMs);
  aDeployment.Log().Add("before the second job, machines up: " +
                        std::to_string(aDeployment.MachinesUp()));
  if (aDeployment.Ask(0, "POST", kLongJobId, aDeployment.Job(1, kLongRunMs))
        .m_status != 200) {
    return 2;
  }
  const bool isLongJobRunning = aDeployment.WaitFor(
    10000, [&] { return !RunsOf(aDeployment, kLongJobId).empty(); });
  if (!isLongJobRunning) {
    aDeployment.Log().Add("the long job has not started");
  }
  const std::int64_t acceptedMs = NowMs();
  if (aDeployment.Ask(0, "POST", kSecondJobId, aDeployment.Job(1, 500))
        .m_status != 200) {
    return 2;
  }
  // Capacity counts only while workers are up that run nothing.
  int withCapacityMs = 0;
  bool hasRun = false;
  while (!hasRun && NowMs() < acceptedMs + kWatchMs) {
    SleepMs(100);
    hasRun = !RunsOf(aDeployment, kSecondJobId).empty();
    const bool counts = NowMs() >= acceptedMs + kFinishMs &&
                        aDeployment.IdleWorkers() >= kIdleWorkers;
    withCapacityMs += counts ? 100 : 0;
  }
  aDeployment.Ask(0, "GET", kSecondJobId, "");
  aDeployment.Log().Add(
    std::string(hasRun ? "the job has started" : "the job has not started") +
    " after " + std::to_string(NowMs() - acceptedMs) +
    " ms; from 14 s on, three idle workers were up for " +
    std::to_string(withCapacityMs) +
    " ms; machines up: " + std::to_string(aDeployment.MachinesUp()));
  return withCapacityMs > kLimitMs ? 1 : hasRun ? 0 : 2;
}

}

int
main(int aArgumentCount, char** aArguments)
{
  return RunCase(aArgumentCount,
                 aArguments,
                 { .m_daemons = 3,
                   .m_workers = 2,
                   .m_taskCpu = 16000,
                   .m_standbyMachines = 2 },
                 Play);
}
