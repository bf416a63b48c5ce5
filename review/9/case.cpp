// The open connections to the store go silent, and the configuration changes.

#include "review/small_deployment.h"

#include <thread>

namespace {

using nlohmann::json;
using namespace second_review;

constexpr const char* kService = "perro-norte";
constexpr int kWorkers = 4;
constexpr int kDaemons = 3;
/** Clients that ask for a job's state at once, in the burst before. */
constexpr int kBurst = 12;
/** `config_apply_ms` and `contact_ms` of lican-gt. */
constexpr std::int64_t kApplyMs = 2000;
constexpr std::int64_t kContactMs = 3000;
constexpr std::int64_t kObservedMs = 15'000;

json
MakeRoute(const char* aName, const char* aPrefix)
{
  return { { "name", aName },      { "host", kHost },
           { "prefix", aPrefix },  { "kind", "unsafe" },
           { "timeout_ms", 3000 }, { "target_runtime_ms", 600 },
           { "priority", 0 },      { "service", kService },
           { "max_attempts", 3 },  { "stretch", 1.6 } };
}

/** Many clients ask all daemons for the state of a job at once. */
void
AskAtOnce(SmallDeployment& aDeployment, const std::string& aPath)
{
  std::vector<std::thread> clients;
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    for (int i = 0; i < kBurst; ++i) {
      clients.emplace_back([&aDeployment, &aPath, daemon] {
        aDeployment.Ask(daemon, "GET", aPath, nullptr, false);
      });
    }
  }
  for (std::thread& client : clients) {
    client.join();
  }
}

int
RunCase(SmallDeployment& aDeployment)
{
  for (int i = 0; i < kWorkers; ++i) {
    aDeployment.AddWorker(kService, { "a", "r1-1" });
  }
  const json first = MakeRoute("r-1", "/old/");
  aDeployment.Configure(1, json::array({ first }), { kService });
  for (int i = 0; i < kDaemons; ++i) {
    aDeployment.AddDaemon();
  }
  if (!aDeployment.WaitUntilReady()) {
    return kCouldNotRun;
  }
  const std::string path = "/old/00000000000000a1";
  const json job = { { "spec", "500" },
                     { "phases",
                       { { { "count", 4 },
                           { "cpu", 880 },
                           { "mem_mb", 2500 },
                           { "estimate_ms", 500 } } } } };
  if (aDeployment.Ask(0, "POST", path, job).m_status != 200 ||
      !SmallDeployment::WaitFor(
        10'000, [&] { return aDeployment.StateOf(0, path) == "completed"; })) {
    return kCouldNotRun;
  }
  AskAtOnce(aDeployment, path);
  aDeployment.Log().Add(
    std::to_string(kBurst) +
    " clients have asked each daemon at once; "
    "connections open to the store: " +
    std::to_string(aDeployment.StoreServer().OpenConnections()));
  SmallDeployment::Sleep(1000);
  const std::int64_t silentMs = aDeployment.Log().NowMs();
  if (HasTrouble()) {
    aDeployment.Log().Add(
      "connections to the store that go silent: " +
      std::to_string(aDeployment.StoreServer().SilenceOpenConnections()) +
      "; new ones work");
  }
  SmallDeployment::Sleep(500);
  const std::int64_t ackMs = aDeployment.Log().NowMs();
  aDeployment.Configure(
    2, json::array({ first, MakeRoute("r-2", "/new/") }), { kService });
  const std::int64_t judgedMs =
    std::max(ackMs + kApplyMs, silentMs + kContactMs);
  int broken = 0;
  int served = 0;
  std::int64_t lastMs = 0;
  while (aDeployment.Log().NowMs() < ackMs + kObservedMs) {
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      const std::int64_t sentMs = aDeployment.Log().NowMs();
      const int status = aDeployment.Ask(daemon, "GET", "/new/").m_status;
      if (status == 404 && sentMs > judgedMs) {
        ++broken;
        lastMs = sentMs;
      }
      served += status == 200 ? 1 : 0;
    }
    SmallDeployment::Sleep(250);
  }
  aDeployment.Log().Add(
    "refused with 404 though version 2 has the route, in touch and later than "
    "config_apply_ms: " +
    std::to_string(broken) +
    (broken > 0 ? ", the last one " + std::to_string(lastMs - ackMs) +
                    " ms after the acknowledgement"
                : "") +
    "; answered with a count: " + std::to_string(served));
  if (served == 0) {
    return broken > 0 ? kRuleBroken : kCouldNotRun;
  }
  return broken > 0 ? kRuleBroken : kRuleHeld;
}

}

int
main(int aCount, char** aArguments)
{
  Play(aCount, aArguments, RunCase);
}
