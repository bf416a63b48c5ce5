// The answer to the write that stores a job is lost, and the write is done
// seconds later. Meanwhile the requester has cancelled the job.

#include "review/platform_front.h"

#include <atomic>
#include <thread>

namespace {

using nlohmann::json;
using namespace second_review;
using namespace third_review;

constexpr const char* kService = "perro-norte";
constexpr int kWorkers = 3;
constexpr int kDaemons = 2;
/** Within the 1 to 6 s of platform_lost. */
constexpr int kLateMs = 5800;
/** cancel_ms of the site. */
constexpr int kCancelMs = 3000;
constexpr int kObservedMs = 15'000;
constexpr const char* kJob = "00000000000000a1";

/** Loses the answer of one write, and does it later. */
class LateWrite
{
public:
  explicit LateWrite(SmallDeployment& aDeployment)
    : m_deployment(aDeployment)
  {
  }

  void Arm() { m_isArmed = true; }

  std::optional<HttpResponse> Handle(const HttpRequest& aRequest)
  {
    if (aRequest.m_path != "/bramleystall/kv-txn" ||
        aRequest.m_body.find(kJob) == std::string::npos ||
        !m_isArmed.exchange(false)) {
      return std::nullopt;
    }
    m_deployment.Log().Add("the store loses the answer of this write: " +
                           aRequest.m_body);
    std::thread([this, aRequest] {
      SmallDeployment::Sleep(kLateMs);
      const HttpResponse response = m_deployment.Store().Handle(aRequest);
      m_deployment.Log().Add("the store has done the late write: " +
                             std::to_string(response.m_status) + " " +
                             response.m_body);
    }).detach();
    // Longer than any client waits.
    SmallDeployment::Sleep(kLateMs);
    return HttpResponse{};
  }

private:
  SmallDeployment& m_deployment;
  std::atomic<bool> m_isArmed = false;
};

int
RunCase(SmallDeployment& aDeployment)
{
  for (int i = 0; i < kWorkers; ++i) {
    aDeployment.AddWorker(kService, { "a", "r1-1" });
  }
  ConfigureQueue(aDeployment, kService);
  auto* late = new LateWrite(aDeployment);
  auto* front =
    new PlatformFront(aDeployment, [late](const HttpRequest& aRequest) {
      return late->Handle(aRequest);
    });
  for (int i = 0; i < kDaemons; ++i) {
    front->AddDaemon();
  }
  if (!aDeployment.WaitUntilReady()) {
    return kCouldNotRun;
  }
  if (HasTrouble()) {
    late->Arm();
  }
  const std::string path = std::string("/q/") + kJob;
  const json job = { { "spec", "0" },
                     { "phases",
                       json::array({ { { "count", 1 },
                                       { "cpu", 1300 },
                                       { "mem_mb", 6800 },
                                       { "estimate_ms", 500 },
                                       { "long_running", true } } }) } };
  aDeployment.Ask(0, "POST", path, job);
  const HttpResponse cancelled = aDeployment.Ask(0, "DELETE", path);
  const std::int64_t cancelledMs = aDeployment.Log().NowMs();
  const bool isAcknowledged =
    cancelled.m_status / 100 == 2 || cancelled.m_status == 410;
  if (!isAcknowledged) {
    aDeployment.Log().Add("the cancelling was not acknowledged");
    front->RemoveFolder();
    return kCouldNotRun;
  }
  bool hasStartedLate = false;
  int starts = 0;
  while (aDeployment.Log().NowMs() < cancelledMs + kObservedMs) {
    int now = 0;
    for (const auto& worker : aDeployment.Workers()) {
      now += worker->Starts();
    }
    if (now > starts) {
      const std::int64_t sinceMs = aDeployment.Log().NowMs() - cancelledMs;
      aDeployment.Log().Add("a subtask of the job has started, " +
                            std::to_string(sinceMs) +
                            " ms after its cancelling was acknowledged");
      hasStartedLate |= sinceMs > kCancelMs;
      starts = now;
    }
    SmallDeployment::Sleep(10);
  }
  aDeployment.StateOf(1, path);
  aDeployment.Log().Add("subtasks of the job that run at the end: " +
                        std::to_string(aDeployment.RunningOf(kJob)));
  front->RemoveFolder();
  return hasStartedLate ? kRuleBroken : kRuleHeld;
}

}

int
main(int aCount, char** aArguments)
{
  Play(aCount, aArguments, RunCase);
}
