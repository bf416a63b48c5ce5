#pragma once

#include "review/case_record.h"
#include "review/daemon_process.h"
#include "review/http_message.h"
#include "review/http_server.h"
#include "review/kv_store.h"
#include "review/worker_stand_in.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace second_review {

/** A small deployment: stand-ins of the platform and of the workers on
 * loopback addresses, and daemons of the project. It is never destroyed, since
 * the threads of the stand-ins use it. */
class SmallDeployment
{
public:
  /** Time that each worker named in a call for advice takes, in ms. */
  static constexpr int kAdviceEachMs = 5;

  explicit SmallDeployment(const std::string& aRecordPath);
  /** Ends the daemons and removes the temporary folder. The stand-ins go on
   * until the process exits. */
  void Close();
  SmallDeployment(const SmallDeployment&) = delete;
  SmallDeployment& operator=(const SmallDeployment&) = delete;

  CaseRecord& Log() { return m_record; }
  KvStore& Store() { return m_store; }
  HttpServer& StoreServer() { return m_storeServer; }
  std::vector<std::unique_ptr<WorkerStandIn>>& Workers() { return m_workers; }
  std::vector<std::unique_ptr<DaemonProcess>>& Daemons() { return m_daemons; }

  /** Adds a worker on a machine of its own and registers it. */
  WorkerStandIn& AddWorker(const std::string& aService,
                           const std::vector<std::string>& aLabels);
  void AddDaemon();
  /** Writes the configuration as the operator does. */
  void Configure(int aVersion,
                 const nlohmann::json& aRoutes,
                 const std::vector<std::string>& aServices);
  /** Sets the workers that the advice service allows; it allows all before. */
  void Allow(std::set<std::string> aWorkers);
  /** Workers that the last call for advice named. */
  std::size_t AdvisedWorkers() const { return m_advisedWorkers; }

  /** Waits until the condition holds; false if it does not within the time. */
  static bool WaitFor(int aTimeoutMs, const std::function<bool()>& aCondition);
  static void Sleep(int aMs);
  /** Waits until all daemons are ready. */
  bool WaitUntilReady();

  /** Calls a daemon as a client and records the call and its response. */
  HttpResponse Ask(std::size_t aDaemon,
                   const std::string& aMethod,
                   const std::string& aPath,
                   const nlohmann::json& aBody = nullptr,
                   bool aIsRecorded = true);
  /** State of a job as a daemon shows it, or the status if there is none. */
  std::string StateOf(std::size_t aDaemon, const std::string& aPath);
  /** Number of subtasks of a job that run on workers that are up. */
  int RunningOf(const std::string& aJob);

private:
  HttpResponse HandleMachines(const HttpRequest& aRequest);
  HttpResponse HandleAdvice(const HttpRequest& aRequest);

  std::string m_folder;
  CaseRecord m_record;
  KvStore m_store;
  HttpServer m_storeServer;
  HttpServer m_machineServer;
  HttpServer m_adviceServer;
  std::mutex m_mutex;
  /** The advice service handles one call at a time. */
  std::mutex m_adviceTurn;
  bool m_isAdviceLimited = false;
  std::set<std::string> m_allowed;
  std::size_t m_advisedWorkers = 0;
  std::vector<std::unique_ptr<WorkerStandIn>> m_workers;
  std::vector<std::unique_ptr<DaemonProcess>> m_daemons;
};

/** True unless the environment has TROUBLE=0. */
bool
HasTrouble();

/** Runs a case; its argument is the path of the record. Exits the process with
 * the code that the case returns. */
[[noreturn]] void
Play(int aCount,
     char** aArguments,
     const std::function<int(SmallDeployment&)>& aCase);

/** Exit codes of a case. */
inline constexpr int kRuleHeld = 0;
inline constexpr int kRuleBroken = 1;
inline constexpr int kCouldNotRun = 2;

/** Host of all routes in the cases. */
inline constexpr const char* kHost = "pule25.example";

}
