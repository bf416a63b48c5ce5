#include "review/small_deployment.h"

#include "review/http_client.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace second_review {

namespace {

using nlohmann::json;

/** Deadline of the clients on the sites. */
constexpr int kClientTimeoutMs = 3000;
constexpr int kPollIntervalMs = 20;
constexpr int kReadyTimeoutMs = 15000;
/** Time after which all daemons know the shard layout. */
constexpr int kLayoutMs = 1500;
constexpr int kAdviceDecideMs = 20;
constexpr int kAdviceValidMs = 3000;

std::string
MakeFolder()
{
  std::string path = "/tmp/bramleystall-review-XXXXXX";
  if (mkdtemp(path.data()) == nullptr) {
    throw std::runtime_error("cannot make a temporary folder");
  }
  return path;
}

}

bool
HasTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

void
Play(int aCount,
     char** aArguments,
     const std::function<int(SmallDeployment&)>& aCase)
{
  auto* deployment =
    new SmallDeployment(aCount > 1 ? aArguments[1] : "record.txt");
  const int result = aCase(*deployment);
  deployment->Log().Add("exit " + std::to_string(result));
  deployment->Close();
  _exit(result);
}

SmallDeployment::SmallDeployment(const std::string& aRecordPath)
  : m_folder(MakeFolder())
  , m_record(aRecordPath)
  , m_storeServer(
      [this](const HttpRequest& aRequest) { return m_store.Handle(aRequest); })
  , m_machineServer(
      [this](const HttpRequest& aRequest) { return HandleMachines(aRequest); })
  , m_adviceServer(
      [this](const HttpRequest& aRequest) { return HandleAdvice(aRequest); })
{
  std::signal(SIGPIPE, SIG_IGN);
  m_record.Add(HasTrouble() ? "the case begins" : "the case begins, TROUBLE=0");
}

void
SmallDeployment::Close()
{
  m_daemons.clear();
  std::error_code ignored;
  if (std::getenv("KEEP") == nullptr) {
    std::filesystem::remove_all(m_folder, ignored);
  }
}

WorkerStandIn&
SmallDeployment::AddWorker(const std::string& aService,
                           const std::vector<std::string>& aLabels)
{
  WorkerStandIn* added = nullptr;
  {
    const std::lock_guard lock(m_mutex);
    const std::string number = std::to_string(100 + m_workers.size());
    m_workers.push_back(std::make_unique<WorkerStandIn>(
      m_store,
      m_record,
      WorkerDescription{ .m_id = "i-" + number,
                         .m_service = aService,
                         .m_machine = "m-" + number,
                         .m_labels = aLabels }));
    added = m_workers.back().get();
  }
  added->Register();
  return *added;
}

void
SmallDeployment::AddDaemon()
{
  const std::string name = "front-" + std::to_string(1 + m_daemons.size());
  m_daemons.push_back(std::make_unique<DaemonProcess>(
    m_record,
    DaemonSettings{ .m_name = name,
                    .m_store = m_storeServer.Address(),
                    .m_machines = m_machineServer.Address(),
                    .m_advice = m_adviceServer.Address(),
                    .m_folder = m_folder }));
  m_daemons.back()->Start();
}

void
SmallDeployment::Configure(int aVersion,
                           const json& aRoutes,
                           const std::vector<std::string>& aServices)
{
  json services = json::array();
  for (const std::string& service : aServices) {
    services.push_back({ { "name", service },
                         { "health_path", "/health" },
                         { "max_conns", 64 },
                         { "protocol", "h1" },
                         { "tls", false },
                         { "enforces_capacity", true },
                         { "standby", false } });
  }
  m_store.Put("op/config",
              json{ { "version", aVersion },
                    { "routes", aRoutes },
                    { "services", services },
                    { "limits", { { "max_body_bytes", 262144 } } } }
                .dump());
  m_record.Add("the store has acknowledged version " +
               std::to_string(aVersion) + " of the configuration");
}

void
SmallDeployment::Allow(std::set<std::string> aWorkers)
{
  const std::lock_guard lock(m_mutex);
  m_isAdviceLimited = true;
  m_allowed = std::move(aWorkers);
}

HttpResponse
SmallDeployment::HandleMachines(const HttpRequest& aRequest)
{
  if (aRequest.m_path != "/bramleystall/machines") {
    // The pools of these deployments are pools of other machines.
    return { 400, "{}" };
  }
  const std::lock_guard lock(m_mutex);
  json machines = json::array();
  for (const auto& worker : m_workers) {
    const WorkerDescription& description = worker->Description();
    machines.push_back({ { "machine", description.m_machine },
                         { "pool", description.m_service },
                         { "state", "up" },
                         { "zone", "gt-a" },
                         { "labels", description.m_labels },
                         { "capacity",
                           { { "cpu", description.m_cpu },
                             { "mem_mb", description.m_memoryMb },
                             { "gpu", 0 } } },
                         { "id", description.m_id } });
  }
  return { 200,
           json{ { "machines", std::move(machines) },
                 { "next_token", nullptr } }
             .dump() };
}

HttpResponse
SmallDeployment::HandleAdvice(const HttpRequest& aRequest)
{
  const json body = json::parse(aRequest.m_body, nullptr, false);
  if (!body.is_object()) {
    return { 400, "{}" };
  }
  const std::lock_guard turn(m_adviceTurn);
  const auto& named = body.at("workers");
  Sleep(kAdviceDecideMs + kAdviceEachMs * static_cast<int>(named.size()));
  json good = json::array();
  const std::lock_guard lock(m_mutex);
  for (const json& id : named) {
    if (!m_isAdviceLimited || m_allowed.contains(id.get<std::string>())) {
      good.push_back({ id, "ticket-" + id.get<std::string>() });
    }
  }
  m_advisedWorkers = named.size();
  m_record.Add("advice for " + body.at("step").get<std::string>() + ": " +
               std::to_string(named.size()) +
               " workers named, good: " + good.dump());
  return {
    200,
    json{ { "good", std::move(good) }, { "valid_ms", kAdviceValidMs } }.dump()
  };
}

bool
SmallDeployment::WaitFor(int aTimeoutMs,
                         const std::function<bool()>& aCondition)
{
  const auto end =
    std::chrono::steady_clock::now() + std::chrono::milliseconds(aTimeoutMs);
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    Sleep(kPollIntervalMs);
  }
  return true;
}

void
SmallDeployment::Sleep(int aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

bool
SmallDeployment::WaitUntilReady()
{
  const bool areReady = WaitFor(kReadyTimeoutMs, [this] {
    for (const auto& daemon : m_daemons) {
      if (Call(daemon->Ready(), "GET", "/bramleystall/ready", kHost, "", 1000)
            .m_status != 200) {
        return false;
      }
    }
    return true;
  });
  m_record.Add(areReady ? "all daemons are ready" : "daemons are not ready");
  Sleep(kLayoutMs);
  return areReady;
}

HttpResponse
SmallDeployment::Ask(std::size_t aDaemon,
                     const std::string& aMethod,
                     const std::string& aPath,
                     const json& aBody,
                     bool aIsRecorded)
{
  const std::int64_t sentMs = m_record.NowMs();
  HttpResponse response = Call(m_daemons[aDaemon]->Callers(),
                               aMethod,
                               aPath,
                               kHost,
                               aBody.is_null() ? "" : aBody.dump(),
                               kClientTimeoutMs);
  if (aIsRecorded) {
    m_record.Add(aMethod + " " + aPath + " at " + m_daemons[aDaemon]->Name() +
                 ", sent at " + std::to_string(sentMs) + ": " +
                 (response.m_status == 0 ? "no response"
                                         : std::to_string(response.m_status) +
                                             " " + response.m_body));
  }
  return response;
}

std::string
SmallDeployment::StateOf(std::size_t aDaemon, const std::string& aPath)
{
  const HttpResponse response = Ask(aDaemon, "GET", aPath);
  const json body = json::parse(response.m_body, nullptr, false);
  return response.m_status == 200 && body.is_object()
           ? body.value("state", "")
           : std::to_string(response.m_status);
}

int
SmallDeployment::RunningOf(const std::string& aJob)
{
  int count = 0;
  const std::lock_guard lock(m_mutex);
  for (const auto& worker : m_workers) {
    for (const std::string& task : worker->Running()) {
      count += task.starts_with(aJob + ".") ? 1 : 0;
    }
  }
  return count;
}

}
