// The store carries out the write that accepts a job, resets the channel, and
// answers 503 for some seconds. The requester repeats its request meanwhile.

#include "review/deployment.h"

#include <algorithm>
#include <atomic>

namespace {

using namespace bramleystall::review;

constexpr const char* kJobId = "5c0e7a21d94b36f8";
/** The longest outage of the store that the site file names. */
constexpr std::int64_t kOutageMs = 4500;
/** Attempts of the requester: the first one and the 4 retries of the site. It
 * waits as Retry-After says. */
constexpr int kAttempts = 5;
constexpr std::int64_t kRetryAfterMs = 1000;

int
Play(Deployment& aDeployment, bool aHasTrouble)
{
  std::atomic<std::int64_t> busyUntil = 0;
  if (aHasTrouble) {
    aDeployment.KeyValues().SetAfter(
      [&](const HttpRequest& aRequest) -> std::optional<HttpReply> {
        if (aRequest.m_path != "/bramleystall/kv-txn" || busyUntil != 0 ||
            aRequest.m_body.find(kJobId) == std::string::npos) {
          return std::nullopt;
        }
        busyUntil = NowMs() + kOutageMs;
        aDeployment.Log().Add("the store has carried out a write, resets the "
                              "channel and is busy from now on");
        return HttpReply{ .m_delivery = Delivery::Reset };
      });
    aDeployment.KeyValues().SetBefore(
      [&](const HttpRequest&) -> std::optional<HttpReply> {
        return NowMs() < busyUntil ? std::optional(HttpReply{ .m_status = 503 })
                                   : std::nullopt;
      });
  }
  bool isRejected = true;
  for (int attempt = 0; attempt < kAttempts && isRejected; ++attempt) {
    if (attempt > 0) {
      SleepMs(kRetryAfterMs);
    }
    const int status =
      aDeployment.Ask(attempt % 3, "POST", kJobId, aDeployment.Job(1, 500))
        .m_status;
    // A job counts as rejected only if each answer says so.
    isRejected = status == 503 || status == 429;
  }
  aDeployment.Log().Add(isRejected ? "all attempts were rejected"
                                   : "an attempt was not rejected");
  SleepMs(kOutageMs + 8000);
  const std::vector<Run> runs = aDeployment.Runs();
  const bool hasRun = std::ranges::any_of(
    runs, [](const Run& aRun) { return aRun.m_task.starts_with(kJobId); });
  aDeployment.Ask(0, "GET", kJobId, "");
  if (!isRejected && !hasRun) {
    aDeployment.Log().Add("the job was not rejected and has not run");
    return 2;
  }
  if (isRejected && hasRun) {
    aDeployment.Log().Add("REFUSED: a subtask of the rejected job has started");
    return 1;
  }
  return 0;
}

}

int
main(int aArgumentCount, char** aArguments)
{
  return RunCase(
    aArgumentCount, aArguments, { .m_daemons = 3, .m_workers = 3 }, Play);
}
