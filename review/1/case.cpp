// The store answers 503 for 4.5 s while a job of many short subtasks runs. On
// each worker, over 500 subtasks end in that time.

#include "review/deployment.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <set>

namespace {

using namespace bramleystall::review;
using nlohmann::json;

constexpr const char* kJobId = "5c0e7a21d94b36f8";
constexpr int kSteps = 4;
constexpr int kTasksPerStep = 1000;
constexpr int kTaskCpu = 300;
constexpr int kRunMs = 300;
/** Time from the acceptance of the job to the outage. */
constexpr std::int64_t kBeforeOutageMs = 1000;
/** The longest outage of this kind that the site file names. */
constexpr std::int64_t kOutageMs = 4500;

int
Play(Deployment& aDeployment, bool aHasTrouble)
{
  // The steps are independent of each other.
  json job = json::parse(aDeployment.Job(kTasksPerStep, kRunMs, kSteps));
  for (json& step : job["phases"]) {
    step.erase("after");
  }
  if (aDeployment.Ask(0, "POST", kJobId, job.dump()).m_status != 200) {
    return 2;
  }
  std::atomic<bool> isDown = false;
  aDeployment.KeyValues().SetBefore(
    [&isDown](const HttpRequest&) -> std::optional<HttpReply> {
      return isDown ? std::optional(HttpReply{ .m_status = 503 })
                    : std::nullopt;
    });
  SleepMs(kBeforeOutageMs);
  if (aHasTrouble) {
    aDeployment.Log().Add("the store answers 503 from now on");
    isDown = true;
    SleepMs(kOutageMs);
    isDown = false;
    aDeployment.Log().Add("the store answers again");
  }
  const bool isCompleted =
    aDeployment.WaitForState(0, kJobId, "completed", 60000);
  SleepMs(1500);
  const int count = aDeployment.CountTwice();
  std::set<std::string> tasks;
  for (const Run& run : aDeployment.Runs()) {
    tasks.insert(run.m_task);
  }
  aDeployment.Log().Add(std::string(isCompleted
                                      ? "the job is shown as completed"
                                      : "the job is not shown as completed") +
                        "; subtasks: " + std::to_string(tasks.size()) +
                        " runs: " + std::to_string(aDeployment.Runs().size()) +
                        " cases of TWICE: " + std::to_string(count));
  return count > 0 ? 1 : isCompleted ? 0 : 2;
}

}

int
main(int aArgumentCount, char** aArguments)
{
  return RunCase(aArgumentCount,
                 aArguments,
                 { .m_daemons = 3, .m_workers = 2, .m_taskCpu = kTaskCpu },
                 Play);
}
