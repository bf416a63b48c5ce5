#pragma once

#include "review/http.h"
#include "review/record.h"
#include "review/store.h"
#include "review/worker.h"

#include <sys/types.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace bramleystall::review {

/** Size of a small deployment; the other settings are those of lican-gt. */
struct DeploymentSize
{
  int m_daemons = 3;
  int m_workers = 3;
  /** Capacity of a worker, and the need of each subtask, in 1/1000 cores. */
  int m_workerCpu = 16000;
  int m_taskCpu = 1000;
  /** Machines of the standby pool, which are off; none: no such pool. */
  int m_standbyMachines = 0;
  /** Each machine has a rack, and so a label, of its own. */
  bool m_hasOwnRacks = false;
};

/**
 * The platform, workers and requesters of a case as stand-ins in this process,
 * and the project's daemons as processes that it starts with the command of
 * the deploy file.
 */
class Deployment
{
public:
  /** aFolder receives the settings and the logs of the daemons. */
  Deployment(std::string aFolder, const DeploymentSize& aSize);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  Record& Log() { return m_record; }
  Store& KeyValues() { return m_store; }
  WorkerStandIn& Worker(int aIndex) { return *m_workers.at(aIndex); }
  int WorkerCount() const { return static_cast<int>(m_workers.size()); }
  /** Machines with a worker that is up in the pool of the jobs. */
  int MachinesUp();
  /** Those of them that run nothing. */
  int IdleWorkers();
  /** While set, calls to the machine service get no response and do nothing. */
  void SetMachinesSilent(bool aAreSilent) { m_areMachinesSilent = aAreSilent; }

  /** Starts the daemons and waits until they are ready and can place tasks. */
  bool Start();
  /** Kills the daemon and does not start it again. */
  void Kill(const std::string& aDaemon);
  /** Daemon that wrote the owner key. */
  std::string Owner();
  std::string CallerAddress(int aDaemon) const
  {
    return m_daemons.at(aDaemon).m_callers;
  }

  /** Sends a request to a daemon and records it with its answer. */
  HttpResult Ask(int aDaemon,
                 const std::string& aMethod,
                 const std::string& aJobId,
                 const std::string& aBody);
  /** A job of steps with one count each; every subtask runs for aRunMs. */
  std::string Job(int aCount, int aRunMs, int aSteps = 1) const;
  /** Asks for the job's state until it is as expected, or the time is up. */
  bool WaitForState(int aDaemon,
                    const std::string& aJobId,
                    const std::string& aState,
                    int aTimeoutMs);
  bool WaitFor(int aTimeoutMs, const std::function<bool()>& aCondition);

  /** All runs so far, on all workers. */
  std::vector<Run> Runs();
  /**
   * Rule TWICE: counts and records two runs of a subtask at the same time, and
   * starts after an end "done" that was noted, unless the lease lapsed between.
   */
  int CountTwice();

private:
  struct Daemon
  {
    std::string m_name;
    std::string m_callers;
    std::string m_ready;
    pid_t m_process = 0;
  };

  /** A machine and what it does; its worker is unset while it is not up. */
  struct Machine
  {
    std::string m_name;
    std::string m_pool;
    std::int64_t m_arrivesMs = 0;
    WorkerStandIn* m_worker = nullptr;
  };

  void Launch(Daemon& aDaemon);
  HttpReply HandleMachines(const HttpRequest& aRequest);
  HttpReply Move(const std::string& aMachine, const std::string& aPool);
  /** Starts the workers of machines that have arrived in their pool. */
  void BringUp();
  std::string RackOf(const std::string& aMachine) const;
  void StartWorker(Machine& aMachine);
  void Beat();

  std::string m_folder;
  DeploymentSize m_size;
  Record m_record;
  Store m_store;
  /** All workers so far, also those that have ended. */
  std::vector<std::unique_ptr<WorkerStandIn>> m_workers;
  std::mutex m_machineMutex;
  std::vector<Machine> m_machineList;
  std::atomic<bool> m_areMachinesSilent = false;
  std::unique_ptr<HttpServer> m_machines;
  std::vector<Daemon> m_daemons;
  std::atomic<bool> m_isStopping = false;
  std::thread m_beats;
};

void
SleepMs(std::int64_t aTimeMs);

/** Runs a case: the exit code is 1 if it finds the rule broken, 0 if it held,
 * and 2 if it could not run. Writes record.txt into the case's folder. */
int
RunCase(
  int aArgumentCount,
  char** aArguments,
  const DeploymentSize& aSize,
  const std::function<int(Deployment& aDeployment, bool aHasTrouble)>& aCase);

}
