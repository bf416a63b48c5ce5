#include "review/deployment.h"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <utility>

namespace bramleystall::review {

namespace {

using nlohmann::json;

constexpr const char* kHost = "pule25.example";
constexpr const char* kPrefix = "/puxa400/";
constexpr const char* kPool = "huvo11a";
constexpr const char* kStandbyPool = "lohu93e";
/** move_s of the site. */
constexpr std::int64_t kMoveMs = 1500;
constexpr std::int64_t kHeartbeatMs = 1500;
constexpr int kReadyTimeoutMs = 15000;
constexpr int kAnswerTimeoutMs = 3000;
constexpr int kPollMs = 20;
constexpr int kTaskMemoryMb = 16;

/** Exit codes of a case. */
constexpr int kCouldNotRun = 2;

}

void
SleepMs(std::int64_t aTimeMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aTimeMs));
}

Deployment::Deployment(std::string aFolder, const DeploymentSize& aSize)
  : m_folder(std::move(aFolder))
  , m_size(aSize)
  , m_machines(std::make_unique<HttpServer>(
      [this](const HttpRequest& aRequest) { return HandleMachines(aRequest); }))
{
  json services = { { { "name", kPool },
                      { "health_path", "/health" },
                      { "max_conns", 64 },
                      { "enforces_capacity", true },
                      { "standby", false } } };
  if (m_size.m_standbyMachines > 0) {
    services.push_back({ { "name", kStandbyPool },
                         { "health_path", "/health" },
                         { "max_conns", 64 },
                         { "enforces_capacity", true },
                         { "standby", true } });
  }
  const json configuration = { { "version", 7 },
                               { "routes",
                                 { { { "name", "r-anu6wsj" },
                                     { "host", kHost },
                                     { "prefix", kPrefix },
                                     { "kind", "unsafe" },
                                     { "timeout_ms", 3000 },
                                     { "target_runtime_ms", 600 },
                                     { "priority", 0 },
                                     { "service", kPool },
                                     { "max_attempts", 3 },
                                     { "stretch", 1.6 } } } },
                               { "services", std::move(services) },
                               { "limits", { { "max_body_bytes", 262144 } } } };
  m_store.Put("op/config", configuration.dump());
  const std::lock_guard lock(m_machineMutex);
  for (int i = 0; i < m_size.m_workers + m_size.m_standbyMachines; ++i) {
    Machine machine;
    machine.m_name = "m-0a3f" + std::to_string(i);
    machine.m_pool = i < m_size.m_workers ? kPool : kStandbyPool;
    if (machine.m_pool == kPool) {
      StartWorker(machine);
    }
    m_machineList.push_back(machine);
  }
  m_beats = std::thread([this] { Beat(); });
}

Deployment::~Deployment()
{
  for (Daemon& daemon : m_daemons) {
    if (daemon.m_process > 0) {
      kill(daemon.m_process, SIGKILL);
      waitpid(daemon.m_process, nullptr, 0);
    }
  }
  m_isStopping = true;
  m_beats.join();
}

std::string
Deployment::RackOf(const std::string& aMachine) const
{
  return m_size.m_hasOwnRacks ? "r1-" + aMachine.substr(aMachine.size() - 1)
                              : "r1-1";
}

void
Deployment::StartWorker(Machine& aMachine)
{
  m_workers.push_back(std::make_unique<WorkerStandIn>(
    m_record,
    "i-7f3a91c" + std::to_string(m_workers.size()),
    aMachine.m_name,
    aMachine.m_pool,
    RackOf(aMachine.m_name),
    m_size.m_workerCpu,
    m_size.m_taskCpu));
  aMachine.m_worker = m_workers.back().get();
  m_record.Add("worker " + aMachine.m_worker->Id() + " is up on " +
               aMachine.m_name + " in " + aMachine.m_pool);
}

void
Deployment::BringUp()
{
  for (Machine& machine : m_machineList) {
    if (machine.m_arrivesMs != 0 && NowMs() >= machine.m_arrivesMs) {
      machine.m_arrivesMs = 0;
      if (machine.m_pool == kPool) {
        StartWorker(machine);
        m_store.Put("servers/" + machine.m_worker->Id(),
                    machine.m_worker->Entry());
      }
    }
  }
}

int
Deployment::MachinesUp()
{
  const std::lock_guard lock(m_machineMutex);
  return static_cast<int>(
    std::ranges::count_if(m_machineList, [](const Machine& aMachine) {
      return aMachine.m_worker != nullptr;
    }));
}

int
Deployment::IdleWorkers()
{
  const std::lock_guard lock(m_machineMutex);
  return static_cast<int>(
    std::ranges::count_if(m_machineList, [](const Machine& aMachine) {
      return aMachine.m_worker != nullptr &&
             aMachine.m_worker->RunningCount() == 0;
    }));
}

void
Deployment::Beat()
{
  std::int64_t next = NowMs();
  while (!m_isStopping) {
    {
      const std::lock_guard lock(m_machineMutex);
      BringUp();
      if (NowMs() >= next) {
        next += kHeartbeatMs;
        for (const Machine& machine : m_machineList) {
          if (machine.m_worker != nullptr) {
            m_store.Put("servers/" + machine.m_worker->Id(),
                        machine.m_worker->Entry());
          }
        }
      }
    }
    SleepMs(kPollMs);
  }
}

HttpReply
Deployment::HandleMachines(const HttpRequest& aRequest)
{
  if (m_areMachinesSilent) {
    m_record.Add("the machine service does not answer: " + aRequest.m_method +
                 " " + aRequest.m_path + " " + aRequest.m_body);
    return { .m_delivery = Delivery::Silent };
  }
  const std::lock_guard lock(m_machineMutex);
  BringUp();
  if (aRequest.m_method == "GET") {
    json rows = json::array();
    for (const Machine& machine : m_machineList) {
      const char* off = machine.m_pool == kStandbyPool ? "down" : "up";
      rows.push_back(
        { { "machine", machine.m_name },
          { "pool", machine.m_pool },
          { "state", machine.m_arrivesMs != 0 ? "moving" : off },
          { "zone", "gt-a" },
          { "labels", { "a", RackOf(machine.m_name) } },
          { "capacity",
            { { "cpu", m_size.m_workerCpu }, { "mem_mb", 65536 } } },
          { "id",
            machine.m_worker != nullptr ? json(machine.m_worker->Id())
                                        : json(nullptr) } });
    }
    return { .m_body = json{ { "machines", std::move(rows) },
                             { "next_token", nullptr } }
                         .dump() };
  }
  const json body = json::parse(aRequest.m_body);
  HttpReply reply =
    aRequest.m_path == "/bramleystall/machine-move"
      ? Move(body.at("machine").get<std::string>(),
             body.at("pool").get<std::string>())
      : HttpReply{ .m_status = 409, .m_body = R"({"reason":"wave"})" };
  m_record.Add("machine order " + aRequest.m_path + " " + aRequest.m_body +
               " answered " + std::to_string(reply.m_status));
  return reply;
}

HttpReply
Deployment::Move(const std::string& aMachine, const std::string& aPool)
{
  const auto machine =
    std::ranges::find(m_machineList, aMachine, &Machine::m_name);
  if (machine == m_machineList.end()) {
    return { .m_status = 400 };
  }
  if (machine->m_pool == aPool) {
    return {};
  }
  if (machine->m_arrivesMs != 0) {
    return { .m_status = 409, .m_body = R"({"reason":"busy"})" };
  }
  if (machine->m_worker != nullptr) {
    machine->m_worker->Terminate();
    m_store.Remove("servers/" + machine->m_worker->Id());
    machine->m_worker = nullptr;
  }
  machine->m_pool = aPool;
  machine->m_arrivesMs = NowMs() + kMoveMs;
  return {};
}

void
Deployment::Launch(Daemon& aDaemon)
{
  const std::string path = m_folder + "/" + aDaemon.m_name + ".json";
  const std::string log = m_folder + "/" + aDaemon.m_name + ".log";
  std::ofstream(path) << json{
    { "daemon", aDaemon.m_name },
    { "data_centre", "gt-a" },
    { "listen",
      { { "callers", aDaemon.m_callers }, { "ready", aDaemon.m_ready } } },
    { "store", m_store.Address() },
    { "machines", m_machines->Address() },
    { "advice", "" },
    { "grace_ms", 6000 },
    { "max_worker_lease_ms", 10000 },
    { "stop_ms", 200 },
    { "job_retention_s", 120 },
    { "notice_ms", 4500 },
    { "move_s", 1.5 },
    { "upkeep_s", 2 },
    { "machine_turn_ms", 3000 },
    { "machine_orders_per_s", 64.0 },
    { "machine_reads_per_s", 64.0 },
    { "cores", 0.25 },
    { "link_mbps", 1000.0 }
  }.dump(2);
  aDaemon.m_process = fork();
  if (aDaemon.m_process == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output =
      open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    const std::string settings = "--settings=" + path;
    execl("target/bramleystalld",
          "target/bramleystalld",
          "--jobs",
          settings.c_str(),
          "--charts=charts",
          nullptr);
    _exit(127);
  }
}

bool
Deployment::Start()
{
  for (int i = 0; i < m_size.m_daemons; ++i) {
    m_daemons.push_back({ .m_name = "front-gt-a-" + std::to_string(i + 1),
                          .m_callers = FreeAddress(),
                          .m_ready = FreeAddress() });
    Launch(m_daemons.back());
  }
  const bool areReady = WaitFor(kReadyTimeoutMs, [this] {
    return std::ranges::all_of(m_daemons, [](const Daemon& aDaemon) {
      return SendHttp(aDaemon.m_ready,
                      "GET",
                      "/bramleystall/ready",
                      kHost,
                      "",
                      kAnswerTimeoutMs)
               .m_status == 200;
    });
  });
  // A first job shows that an owner places tasks.
  const std::string id = "00000000000000a0";
  const bool works = areReady &&
                     Ask(0, "POST", id, Job(1, 50)).m_status == 200 &&
                     WaitForState(0, id, "completed", kReadyTimeoutMs);
  m_record.Add(works ? "the deployment works" : "the deployment does not work");
  return works;
}

void
Deployment::Kill(const std::string& aDaemon)
{
  for (Daemon& daemon : m_daemons) {
    if (daemon.m_name == aDaemon && daemon.m_process > 0) {
      m_record.Add("SIGKILL to " + aDaemon);
      kill(daemon.m_process, SIGKILL);
      waitpid(daemon.m_process, nullptr, 0);
      daemon.m_process = 0;
    }
  }
}

std::string
Deployment::Owner()
{
  const auto value = m_store.Get("bramleystall/scheduler/0/owner");
  const json body =
    value ? json::parse(*value, nullptr, false) : json::object();
  return body.is_object() ? body.value("daemon", "") : "";
}

HttpResult
Deployment::Ask(int aDaemon,
                const std::string& aMethod,
                const std::string& aJobId,
                const std::string& aBody)
{
  const std::string path = kPrefix + aJobId;
  m_record.Add("requester: " + aMethod + " " + path + " to " +
               m_daemons.at(aDaemon).m_name);
  HttpResult result = SendHttp(
    CallerAddress(aDaemon), aMethod, path, kHost, aBody, kAnswerTimeoutMs);
  m_record.Add("requester: " + aMethod + " " + path + " answered " +
               std::to_string(result.m_status) + " " + result.m_body);
  return result;
}

std::string
Deployment::Job(int aCount, int aRunMs, int aSteps) const
{
  json steps = json::array();
  for (int i = 0; i < aSteps; ++i) {
    json step = { { "count", aCount },
                  { "cpu", m_size.m_taskCpu },
                  { "mem_mb", kTaskMemoryMb },
                  { "estimate_ms", aRunMs } };
    if (i > 0) {
      step["after"] = { i - 1 };
    }
    steps.push_back(std::move(step));
  }
  return json{
    { "spec", "ms=" + std::to_string(aRunMs) }, { "phases", std::move(steps) }
  }.dump();
}

bool
Deployment::WaitFor(int aTimeoutMs, const std::function<bool()>& aCondition)
{
  const std::int64_t until = NowMs() + aTimeoutMs;
  while (NowMs() < until) {
    if (aCondition()) {
      return true;
    }
    SleepMs(kPollMs);
  }
  return false;
}

bool
Deployment::WaitForState(int aDaemon,
                         const std::string& aJobId,
                         const std::string& aState,
                         int aTimeoutMs)
{
  const std::int64_t until = NowMs() + aTimeoutMs;
  while (NowMs() < until) {
    const HttpResult result = Ask(aDaemon, "GET", aJobId, "");
    const json body = json::parse(result.m_body, nullptr, false);
    if (result.m_status == 200 && body.is_object() &&
        body.value("state", "") == aState) {
      return true;
    }
    SleepMs(200);
  }
  return false;
}

std::vector<Run>
Deployment::Runs()
{
  std::vector<Run> runs;
  for (const auto& worker : m_workers) {
    const std::vector<Run> some = worker->Runs();
    runs.insert(runs.end(), some.begin(), some.end());
  }
  std::ranges::sort(runs, {}, &Run::m_startMs);
  return runs;
}

int
Deployment::CountTwice()
{
  std::map<std::string, std::vector<Run>> byTask;
  for (const Run& run : Runs()) {
    byTask[run.m_task].push_back(run);
  }
  int count = 0;
  for (const auto& [task, runs] : byTask) {
    for (std::size_t later = 1; later < runs.size(); ++later) {
      for (std::size_t i = 0; i < later; ++i) {
        const Run& one = runs[i];
        const Run& other = runs[later];
        const std::string names =
          task + ": run " + std::to_string(one.m_attempt) + " on " +
          one.m_worker + ", run " + std::to_string(other.m_attempt) + " on " +
          other.m_worker;
        const bool isNoted =
          one.m_how == "done" && one.m_notedMs >= 0 && !one.m_hasLapsedBefore;
        if (one.m_endMs < 0 || one.m_endMs > other.m_startMs) {
          ++count;
          m_record.AddAt(other.m_startMs, "TWICE at the same time: " + names);
        } else if (isNoted) {
          ++count;
          m_record.AddAt(other.m_startMs,
                         "TWICE after an end 'done' at " +
                           std::to_string(one.m_endMs) + " ms, noted at " +
                           std::to_string(one.m_notedMs) + " ms: " + names);
        }
      }
    }
  }
  return count;
}

int
RunCase(
  int aArgumentCount,
  char** aArguments,
  const DeploymentSize& aSize,
  const std::function<int(Deployment& aDeployment, bool aHasTrouble)>& aCase)
{
  if (aArgumentCount != 3) {
    std::cerr << "usage: case TEMPORARY-FOLDER RECORD\n";
    return kCouldNotRun;
  }
  const char* trouble = std::getenv("TROUBLE");
  const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
  try {
    Deployment deployment(aArguments[1], aSize);
    int code = kCouldNotRun;
    if (deployment.Start()) {
      code = aCase(deployment, hasTrouble);
    }
    deployment.Log().Add("exit code " + std::to_string(code));
    deployment.Log().WriteTo(aArguments[2]);
    return code;
  } catch (const std::exception& error) {
    std::cerr << "the case could not run: " << error.what() << "\n";
    return kCouldNotRun;
  }
}

}
