#pragma once

#include "core/worker_gateway.h"
#include "jobs/demand_estimator.h"
#include "jobs/job.h"
#include "jobs/job_configuration.h"
#include "jobs/placement.h"
#include "jobs/pool_demand.h"
#include "jobs/step_advice.h"
#include "jobs/worker.h"
#include "scheduler/earlier_runs.h"
#include "scheduler/entry_sweeper.h"
#include "scheduler/job_keys.h"
#include "scheduler/job_ranking.h"
#include "scheduler/late_starts.h"
#include "scheduler/ownership.h"
#include "scheduler/placed_start.h"
#include "scheduler/progress_writer.h"
#include "scheduler/release_proof.h"
#include "scheduler/scheduler_settings.h"
#include "scheduler/shard_status.h"
#include "scheduler/start_budget.h"
#include "store/store_mirror.h"
#include "tenants/pool_usage.h"
#include "tenants/tenant_usage.h"

#include <absl/time/time.h>
#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bramleystall {

class CapShares;
class EventLoop;
class Metrics;
class TenantShares;

/**
 * Places the tasks of a shard's jobs on its workers while this daemon owns the
 * shard. Its whole state comes from the store and from the workers' lists of
 * their tasks, so that the next owner can rebuild it after any failure.
 */
class Scheduler
{
public:
  /** Dependencies; all outlive the scheduler. */
  struct Environment
  {
    EventLoop& m_loop;
    KeyValueStore& m_store;
    WorkerGateway& m_workers;
    Metrics& m_metrics;
    /** The configuration in effect. */
    std::function<const JobConfiguration&()> m_configuration;
    /** Whether this daemon may still send orders; see Ownership::MayOrder. */
    std::function<bool()> m_mayOrder;
    /** Until when it may; see Ownership::OrdersEndAt. */
    std::function<absl::Time()> m_ordersEndAt;
    /** Whether the store lease is valid; see Ownership::HoldsLease. */
    std::function<bool()> m_holdsLease;
    /** Called when a worker has seen the fencing token of a later owner. */
    std::function<void()> m_onSuperseded;
  };

  Scheduler(Environment aEnvironment,
            const SchedulerSettings& aSettings,
            const keys::ShardKeys& aKeys,
            const OwnershipGrant& aGrant);
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  /** The store lists a worker, or its entry changed. */
  void OnWorkerReport(const WorkerReport& aReport);
  /** The store no longer lists the worker. */
  void OnWorkerRemoved(const std::string& aWorkerId);
  /** All workers of the store have been reported. */
  void OnWorkersListed();
  void OnConfigurationChanged();

  /** Listed worker that runs on a machine, or null. */
  Worker* WorkerOnMachine(const std::string& aMachine);
  /**
   * Whether tasks run or may run on the worker. Also true while the worker does
   * not respond or its leases of a previous owner are unresolved.
   */
  bool MayRunTasks(const Worker& aWorker) const;
  /**
   * Whether a worker of the machine, listed or not, has tasks or unresolved
   * leases of a previous owner. Unlike MayRunTasks, it does not count workers
   * that merely have not responded.
   */
  bool MayRunTasksOn(const std::string& aMachine) const;

  /**
   * The worker has ended with all its tasks, e.g. because its machine moves to
   * another pool or undergoes maintenance.
   */
  void OnWorkerEnded(const std::string& aWorkerId);

  /** No task starts on the worker while it is being evacuated, nor afterwards
   * until it has responded. */
  void SetEvacuating(const std::string& aWorkerId, bool aIsEvacuating);

  /**
   * Stops the worker's long-running tasks for which another worker has room,
   * within the number of tasks that each step allows to be disrupted at once.
   */
  void EvacuateLongRunning(Worker& aWorker);

  /** Load of the currently arriving jobs, in units of a worker's capacity. */
  double ArrivingLoad(const std::string& aPool) const;
  /** Load of a pool's placed tasks, in units of one worker's capacity. */
  double UsedLoad(const std::string& aPool) const;
  /** Demand of a pool at the last placement. */
  PoolDemand Demand(const std::string& aPool) const;

  /**
   * Sets the pools that lack machines for jobs that can be in time. While there
   * are any, late jobs of the other pools start no tasks, so that machines of
   * those pools become free.
   */
  void SetShortPools(std::set<std::string> aPools)
  {
    m_shortPools = std::move(aPools);
  }

  /** Sets the number of the shard's machines that can run tasks, including
   * those that are off or on their way to another pool. */
  void SetMachineCount(int aCount) { m_machineCount = aCount; }

  /** ProgressWriter for the owner's documents other than the jobs'. */
  void SetRevision(const std::string& aKey, std::int64_t aRevision)
  {
    m_writer.SetRevision(aKey, aRevision);
  }
  void FlushSoon() { m_writer.FlushSoon(); }
  void Put(const std::string& aKey, std::string aValue)
  {
    m_writer.Put(aKey, std::move(aValue));
  }

  /** Calls back once all changes so far are stored; at once if they are. */
  void AfterStored(std::function<void()> aHook)
  {
    PutChangedJobs();
    m_writer.AfterStored(std::move(aHook));
  }

private:
  /** A job that is not final, with the values that decide its rank. */
  struct ActiveJob
  {
    Job* m_job = nullptr;
    std::string m_pool;
    int m_priority = 0;
    bool m_needsAdvice = false;
    bool m_isLongRunning = false;
    /** Expected time of one step in ms. */
    std::int64_t m_stepMs = 0;
    /** Wall-clock time in ms until which the job counts as in time. */
    std::int64_t m_objectiveMs = 0;
  };

  // Takeover.
  void ReadProgress(const std::string& aAfter);
  void ReadLeasedWorkers();
  /**
   * Adds a worker from the stored list: [address, machine, start time]. If the
   * owner that wrote the list has given the worker no lease, the row ends with
   * the term of the last owner that may have, and its own term.
   */
  void AddLeasedWorker(const std::string& aId, const nlohmann::json& aRow);
  void BeginWhenLoaded();
  void Begin();
  /** Replaces a job whose progress cannot be decoded by one that waits. */
  static void ApplyProgress(std::unique_ptr<Job>& aJob, const StoreItem& aItem);
  void ResolveEarlierLease(const std::string& aWorkerId);
  bool MayRunOnUnresolvedWorker(const Job& aJob) const;
  /** Whether only earlier owners have given the worker a lease, and it is
   * silent now. */
  bool HasOnlyEarlierLease(const Worker& aWorker) const;
  /** Monotonic time by which the leases of earlier owners have expired. */
  absl::Time EarlierLeasesExpireAt(const Worker& aWorker) const;
  /** Gives up waiting for workers whose leases of previous owners expired. */
  void ClearExpiredLeases();
  void SendPlacedStarts();
  void SendStart(Task& aTask, Worker& aWorker, const std::string& aTicket);
  void ReleaseUnsentStarts();

  // Jobs.
  void OnJobItem(const StoreItem& aItem);
  void LoadJob(const std::string& aId, const StoreItem& aItem);
  void ForgetJob(const std::string& aId);
  void Cancel(Job& aJob);
  void CancelIfLoaded(const std::string& aId);
  /** Writes the job's progress soon, with other changed jobs. */
  void Store(Job& aJob);
  void PutChangedJobs();
  /**
   * Replaces the record and the progress of a final job without placed tasks by
   * its final entry, so that only jobs that are alive are read at a takeover.
   */
  void Archive(const Job& aJob);
  ActiveJob MakeActive(Job& aJob) const;
  void FinishJob(Job& aJob);
  Task* FindTask(const std::string& aName);
  void PublishStatus();
  /** Adds the capacity of the shard and the load of its jobs that end. */
  void MeasureLoad(ShardStatus& aStatus) const;

  // Placement.
  void RequestPlacement();
  void PlaceAll();
  JobTier TierOf(const ActiveJob& aActive) const;
  void PlacePool(const std::string& aPool,
                 const std::vector<const ActiveJob*>& aJobs,
                 Placement& aPlacement);
  bool HasSeveralTenants(const std::vector<const ActiveJob*>& aJobs) const;
  /** Whether the job has work now that counts in its tenant's share. */
  bool TakesPartInShares(const ActiveJob& aActive) const;
  /** Capacity of a pool's listed workers beside their long-running tasks. */
  Resources SharedCapacity(const std::string& aPool) const;
  /** Requires a configuration with tenants. */
  TenantShares MeasureShares(const std::string& aPool,
                             const std::vector<const ActiveJob*>& aJobs) const;
  /** Shows each tenant's usage and fair share as metrics. */
  void PublishShares();
  /** Sets these metrics to 0 when the shard has another owner. */
  void ClearShares();
  void PlaceJob(const std::string& aPool,
                const ActiveJob& aActive,
                JobTier aTier,
                Placement& aPlacement);
  /**
   * Whether jobs of a tier give way to other pools that are short. They then
   * start only on workers with long-running tasks, which stay in their pool
   * anyway.
   */
  bool IsWithheld(const std::string& aPool, JobTier aTier) const;
  void AddWaitingDemand(const std::string& aPool,
                        Job& aJob,
                        int aOccurrence,
                        int aStep,
                        JobTier aTier);
  void RecordArrival(const Job& aJob);
  double LoadOf(const Resources& aNeed) const;
  bool MayDisrupt(const Task& aTask) const;
  void Relocate(Task& aTask);
  /** Whether an owner without the store's lease knows the incarnation of the
   * worker and that it has not seen a later fence. */
  bool MayStartOn(const Worker& aWorker) const;
  void PlaceStep(const ActiveJob& aActive,
                 int aOccurrence,
                 int aStep,
                 bool aIsWithheld,
                 Placement& aPlacement);
  const std::string& PoolOf(const Job& aJob) const;
  bool IsDue(const Job& aJob, int aOccurrence) const;
  /** Opens the job's due occurrences, as far as there is memory for their
   * tasks, and drops the finished ones. */
  void OpenDueOccurrences(Job& aJob);
  /** Asks the advice service about workers that have room for a task of the
   * step, unless all answers are known or a request is in flight. */
  void RequestAdvice(const std::string& aStep,
                     const Task& aTask,
                     const WorkerFilter& aFilter,
                     const Placement& aPlacement);
  void OnAdvice(const std::string& aStep,
                const std::vector<AdvisedWorker>& aAsked,
                absl::Time aSentAt,
                const AdviceResult& aResult);
  static AdvisedWorker IncarnationOf(const Worker& aWorker);
  /** The task's worker has rejected its ticket. */
  void RejectTicket(const Task& aTask);
  /** Drops the advice about the steps whose names begin with a prefix. */
  void ForgetAdvice(const std::string& aPrefix);

  // Caps of tenants.
  void CreateCapShares();
  /** Counts what runs or may run beside the placed tasks, if there are caps. */
  void BeginCapPlacement();
  /** Adds what tasks of earlier owners may use on unresolved workers. */
  void AddEarlierUsage(TenantUsage& aUsage) const;
  /** Whether one of the step's tasks, or the whole gang, fits its tenant's cap.
   * If not, all its waiting tasks count as waiting for the cap. */
  bool FitsCap(const Job& aJob,
               const StepSpec& aSpec,
               const std::vector<Task>& aTasks);
  /** Whether no task of a previous owner may run unknown to this one. */
  bool KnowsAllRuns() const;
  /** The unresolved workers still count for the job, which has ended. */
  void KeepEarlierRuns(const Job& aJob);

  // Tasks.
  void StartTask(Task& aTask,
                 Worker& aWorker,
                 std::int64_t aAttempt,
                 const std::string& aTicket);
  void OnStarted(const std::string& aWorkerId,
                 const StartOrder& aOrder,
                 const OrderResult& aResult);
  void MarkUnresponsive(Worker& aWorker);
  void StopTask(Task& aTask);
  void SendStop(const std::string& aName,
                std::int64_t aAttempt,
                const std::string& aWorkerId);
  /** Repeats a stop of a task that is still to be stopped, after a delay. */
  void RetryStop(const std::string& aName,
                 std::int64_t aAttempt,
                 const std::string& aWorkerId);
  void OnStopped(const std::string& aName,
                 std::int64_t aAttempt,
                 const std::string& aWorkerId,
                 std::int64_t aFence,
                 const OrderResult& aResult);
  void Assign(Task& aTask, Worker& aWorker);
  /** Counts the tasks of a worker whose entry names another pool there. */
  void MoveUsage(const Worker& aWorker, const std::string& aPool);
  /** Lets the task start elsewhere. The proof has to be about its current
   * attempt. */
  void Release(Task& aTask, const ReleaseProof& aProof);
  /** Releases the task if its start was not sent. */
  void ReleaseUnsent(Task& aTask);
  /** Releases a task that has no end, now or once the owner holds the store's
   * lease again. */
  void ReleaseLost(Task& aTask, const ReleaseProof& aProof);
  std::int64_t NextAttempt(const Task& aTask) const;

  // Workers.
  /** Schedules a renewal unless one is in flight. */
  void EnsureRenewal(Worker& aWorker);
  void Renew(Worker& aWorker);
  /** The next point in the sequence of sent orders and read responses. */
  Moment NextMoment();
  /** A renewal that was sent to a worker. */
  struct SentRenewal
  {
    Moment m_at;
    std::string m_address;
    LeaseOrder m_order;
  };
  void OnRenewed(const std::string& aWorkerId,
                 const SentRenewal& aSent,
                 const LeaseOrderResult& aResult);
  void OnRenewalFailed(Worker& aWorker,
                       const SentRenewal& aSent,
                       const LeaseOrderResult& aResult);
  /**
   * Gives the worker a higher fencing token, since earlier orders may still be
   * carried out by it or by its next incarnation. Once a worker has accepted an
   * order with the new token, it refuses these. The response to a renewal in
   * flight is ignored.
   */
  void RaiseFence(Worker& aWorker);
  /** Asks the worker often while it may carry out a start late. */
  void WatchLateStarts(const std::string& aWorkerId);
  /** Remembers the start of a task that is released, if the next incarnation of
   * its worker may carry it out. */
  void KeepLateStart(const Task& aTask, ReleaseReason aReason);
  /** Whether the task waits since an earlier start may run elsewhere. */
  bool IsHeldBack(const Task& aTask) const;
  /** Stops tasks that may run on another worker as well; see LateStarts. */
  void StopBesideLateStarts();
  /** Sets Worker::m_respondedAfter by the clock of a response to an order that
   * was sent at a monotonic time. */
  void SetRespondedAfter(Worker& aWorker, absl::Time aSentAt);
  /** Whether the incarnation that responded last is certainly still up. */
  bool IsIncarnationKnown(const Worker& aWorker) const;
  /** Counts tasks on the worker as running for aLease of its clock from now. */
  void ExtendLeaseExpiry(Worker& aWorker, absl::Duration aLease);
  /** A worker has responded, so the earlier ones of its machine have ended. Its
   * entry alone would not show that: other writers may write entries, too. */
  void EndEarlierIncarnations(const Worker& aWorker);
  /**
   * The worker's entry has another start time. Another writer may have written
   * it, so only the response to a renewal shows whether the worker has
   * restarted.
   */
  void AskForRestart(Worker& aWorker);
  /** The worker has responded with another start time. */
  void StartNewIncarnation(Worker& aWorker, std::int64_t aStartTimeMs);
  /** Time since a monotonic time in ms, for logs. */
  std::int64_t MillisSince(absl::Time aTime) const;
  /** Whether the store reports an incarnation that has not responded yet. */
  static bool HasUnansweredRestart(const Worker& aWorker);
  /** Applies the list of running tasks; returns the worker's tasks in it. */
  std::set<const Task*> ApplyRunning(Worker& aWorker,
                                     const LeaseOrderResult& aResult,
                                     const Moment& aReadAt);
  /**
   * Releases the worker's tasks that neither run nor are to run there. Requires
   * that all ends of the response have been applied.
   */
  void ReleaseUnlisted(Worker& aWorker, const TaskList& aList);
  void ApplyEnd(Worker& aWorker, const TaskEnd& aEnd);
  void CheckProgress(Worker& aWorker, Task& aTask, const RunningTask& aRunning);
  /** Logs that a worker runs an attempt that is not the task's current one. */
  void ReportUnexpectedRun(const Worker& aWorker,
                           const Task& aTask,
                           std::int64_t aAttempt);
  void RecordTaskFailure(Worker& aWorker);
  void ScheduleRenewal(Worker& aWorker, absl::Duration aDelay);
  void ReleaseExpired(Worker& aWorker);
  /** Releases the tasks that ReleaseLost has kept. */
  void ReleaseLostTasks(Worker& aWorker);
  void EvacuateDraining(Worker& aWorker);
  std::int64_t NextLeaseExpiryMs(Worker& aWorker);
  WorkerAddress AddressOf(const Worker& aWorker) const;
  void StoreLeasedWorkers();
  void Tick();

  void After(absl::Duration aDelay, std::function<void()> aCallback);
  Worker* FindWorker(const std::string& aWorkerId);

  Environment m_env;
  SchedulerSettings m_settings;
  keys::ShardKeys m_keys;
  OwnershipGrant m_grant;
  /** Highest fencing token that a worker has been given. */
  std::int64_t m_lastFence;
  ProgressWriter m_writer;
  EntrySweeper m_sweeper;
  LateStarts m_lateStarts;
  std::unordered_map<std::string, std::unique_ptr<Job>> m_jobs;
  /** Jobs whose records cannot be decoded; their keys are left alone. */
  std::set<std::string> m_unreadableJobs;
  /** Jobs that are not final, in the order of their ids. */
  std::map<std::string, ActiveJob> m_active;
  /** Jobs whose progress has to be written. */
  std::set<const Job*> m_changedJobs;
  /** Tasks of all jobs that are in memory, as of the last placement. */
  std::int64_t m_openTasks = 0;
  std::uint64_t m_nextOrder = 1;
  std::uint64_t m_lastMoment = 0;
  /** Wall-clock time in ms of the last placement, and its duration. */
  std::int64_t m_wallNowMs = 0;
  absl::Duration m_placementTime;
  /** Jobs of previous terms; their tasks may run on unreachable workers. */
  std::set<const Job*> m_earlierJobs;
  std::set<std::string> m_cancelled;
  std::map<std::string, Worker> m_workers;
  /** Listed worker of each machine that has started last. */
  std::unordered_map<std::string, std::string> m_workerOfMachine;
  /** Capacity of the worker that was reported last. */
  Resources m_typicalWorker;
  /** What each tenant has on the workers; see Assign and Release. */
  TenantUsage m_tenantUsage;
  /** The same by pool, for fair shares. */
  PoolUsage m_poolUsage;
  /** Labels of the metrics of shares that are not 0. */
  std::set<std::map<std::string, std::string>> m_shownShares;
  /** What may run beside that, as of the last placement: late starts and tasks
   * of previous owners. */
  TenantUsage m_uncertainUsage;
  std::vector<EarlierRuns> m_earlierRuns;
  std::unique_ptr<CapShares> m_capShares;
  DemandEstimator m_demandEstimator;
  /** Workers with leases of a previous owner that have not responded yet. */
  std::set<std::string> m_unresolvedWorkers;
  /** Latest list of leased workers, stored or not yet, and its number. */
  std::string m_leasedWorkersText;
  std::int64_t m_leasedWorkersNumber = 0;
  std::map<std::string, StoreItem> m_progress;
  /** By the names of the steps, JOB.OCCURRENCE.STEP. */
  std::map<std::string, StepAdvice> m_advice;
  bool m_hasProgress = false;
  bool m_hasLeasedWorkers = false;
  bool m_areLeasedWorkersKnown = true;
  bool m_hasJobs = false;
  bool m_hasWorkers = false;
  bool m_isRunning = false;
  bool m_isPlacementDue = false;
  std::vector<PlacedStart> m_placedStarts;
  StartBudget m_startBudget;
  /** Workers that have to respond before a task can start there. */
  std::set<std::string> m_workersToAsk;
  /** ProgressWriter::IsBehind at the last placement. */
  bool m_isStoreBehind = false;
  absl::Time m_beganAt;
  std::int64_t m_statusSequence = 0;
  /** Machines of the shard that can run tasks; unset until they are listed. */
  std::optional<int> m_machineCount;
  std::map<std::string, PoolDemand> m_poolDemands;
  std::set<std::string> m_shortPools;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
  std::unique_ptr<StoreMirror> m_jobMirror;
};

}
