#include "scheduler/scheduler.h"

#include "core/error.h"
#include "core/log.h"
#include "jobs/job_codec.h"
#include "jobs/placement.h"
#include "net/event_loop.h"
#include "scheduler/cap_shares.h"
#include "scheduler/scheduling_limits.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace bramleystall {

namespace {

using nlohmann::json;

/** Factor on the load of long-running tasks: what they leave of a machine is
 * too small for many tasks. */
constexpr double kPermanentLoadFactor = 1.2;
/** Size of a row of the leased workers that names an earlier owner's term. */
constexpr std::size_t kEarlierLeaseRowSize = 5;
/** Least share of a shard's machines that counts as its capacity. */
constexpr double kLeastCapacityShare = 0.05;

}

Scheduler::Scheduler(Environment aEnvironment,
                     const SchedulerSettings& aSettings,
                     const keys::ShardKeys& aKeys,
                     const OwnershipGrant& aGrant)
  : m_env(std::move(aEnvironment))
  , m_settings(aSettings)
  , m_keys(aKeys)
  , m_grant(aGrant)
  , m_lastFence(aGrant.m_fencingToken * kFencesPerOwner)
  , m_writer(m_env.m_loop, m_env.m_store, aKeys.Owner(), aGrant.m_fencingToken)
  , m_sweeper(m_env.m_loop,
              m_env.m_store,
              aKeys.EntryPrefix(),
              aKeys.Owner(),
              aGrant.m_fencingToken,
              aSettings.m_jobRetention)
  , m_lateStarts(PadForClockDrift(aSettings.m_maxWorkerLease) + kLeaseMargin)
  , m_beganAt(m_env.m_loop.Now())
{
  CreateCapShares();
  ReadLeasedWorkers();
  ReadProgress("");
  m_jobMirror = std::make_unique<StoreMirror>(
    m_env.m_loop,
    m_env.m_store,
    m_keys.JobPrefix(),
    [this](const StoreItem& aItem) { OnJobItem(aItem); },
    [this](bool aIsSynchronized) {
      m_hasJobs = m_hasJobs || aIsSynchronized;
      BeginWhenLoaded();
    });
}

Scheduler::~Scheduler()
{
  *m_alive = false;
  ClearShares();
}

void
Scheduler::After(absl::Duration aDelay, std::function<void()> aCallback)
{
  m_env.m_loop.After(aDelay,
                     [alive = m_alive, callback = std::move(aCallback)] {
                       if (*alive) {
                         callback();
                       }
                     });
}

Worker*
Scheduler::FindWorker(const std::string& aWorkerId)
{
  const auto found = m_workers.find(aWorkerId);
  return found == m_workers.end() ? nullptr : &found->second;
}

// Takeover.

void
Scheduler::ReadProgress(const std::string& aAfter)
{
  m_env.m_store.List(
    m_keys.ProgressPrefix(),
    aAfter,
    [this, aAfter, alive = m_alive](const ReadResult& aResult) {
      if (!*alive) {
        return;
      }
      if (aResult.m_status != ReadStatus::Ok) {
        After(kRenewalRetryDelay, [this, aAfter] { ReadProgress(aAfter); });
        return;
      }
      for (const StoreItem& item : aResult.m_items) {
        m_writer.SetRevision(item.m_key, item.m_revision);
        m_progress[item.m_key] = item;
      }
      if (aResult.m_hasMore && !aResult.m_items.empty()) {
        ReadProgress(aResult.m_items.back().m_key);
        return;
      }
      m_hasProgress = true;
      BeginWhenLoaded();
    });
}

void
Scheduler::ReadLeasedWorkers()
{
  m_env.m_store.Get(
    m_keys.LeasedWorkers(), [this, alive = m_alive](const ReadResult& aResult) {
      if (!*alive) {
        return;
      }
      if (aResult.m_status != ReadStatus::Ok) {
        After(kRenewalRetryDelay, [this] { ReadLeasedWorkers(); });
        return;
      }
      for (const StoreItem& item : aResult.m_items) {
        m_writer.SetRevision(item.m_key, item.m_revision);
        const json body = json::parse(item.m_value, nullptr, false);
        if (!body.is_object()) {
          LogError(LogPart::Owner,
                   "cannot decode the list of leased workers; waiting for all "
                   "workers of the jobs");
          m_areLeasedWorkersKnown = false;
          continue;
        }
        for (const auto& [id, row] : body.items()) {
          AddLeasedWorker(id, row);
        }
      }
      m_hasLeasedWorkers = true;
      BeginWhenLoaded();
    });
}

void
Scheduler::AddLeasedWorker(const std::string& aId, const json& aRow)
{
  // Even if its row is malformed, the worker may hold leases until they expire.
  m_unresolvedWorkers.insert(aId);
  Worker& worker = m_workers[aId];
  if (worker.m_fence == 0) {
    RaiseFence(worker);
  }
  const std::int64_t previousTerm = m_grant.m_term - 1;
  worker.m_earlierLeaseTerm = previousTerm;
  // A list of an owner before the previous one does not tell whether that one
  // has given a lease.
  if (aRow.is_array() && aRow.size() == kEarlierLeaseRowSize &&
      aRow[3].is_number_integer() && aRow[4] == previousTerm) {
    worker.m_earlierLeaseTerm =
      std::min(previousTerm, aRow[3].get<std::int64_t>());
  }
  if (!worker.m_report.m_address.empty()) {
    return;
  }
  worker.m_report.m_id = aId;
  try {
    worker.m_report.m_address = aRow.at(0).get<std::string>();
    worker.m_report.m_machine = aRow.at(1).get<std::string>();
    worker.m_report.m_startTimeMs = aRow.at(2).get<std::int64_t>();
  } catch (const json::exception& error) {
    LogError(LogPart::Owner,
             absl::StrCat("cannot decode a leased worker; worker=",
                          aId,
                          " error=",
                          error.what()));
  }
}

void
Scheduler::BeginWhenLoaded()
{
  if (!m_isRunning && m_hasProgress && m_hasLeasedWorkers && m_hasJobs &&
      m_hasWorkers) {
    m_isRunning = true;
    Begin();
  }
}

void
Scheduler::Begin()
{
  for (auto& [id, job] : m_jobs) {
    const auto found = m_progress.find(m_keys.Progress(id));
    if (found != m_progress.end()) {
      ApplyProgress(job, found->second);
      m_progress.erase(found);
    }
    if (!job->IsProgressKnown()) {
      KeepEarlierRuns(*job);
      continue;
    }
    if (!m_areLeasedWorkersKnown) {
      for (const std::string& worker : job->Workers()) {
        AddLeasedWorker(worker, {});
      }
    }
    if (job->IsFinal()) {
      // The previous owner ended before it could archive the job.
      KeepEarlierRuns(*job);
      Store(*job);
    } else {
      m_active[id] = MakeActive(*job);
      m_earlierJobs.insert(job.get());
      // Its tasks start once the leases of previous owners are over. A write
      // after that shows that no later owner has renewed them; see StartTask.
      job->ForgetRecordedWorkers();
    }
  }
  // Progress without a record was left behind by a write that was applied after
  // its job had been archived.
  for (const auto& [key, item] : m_progress) {
    const std::string id = key.substr(m_keys.ProgressPrefix().size());
    if (!m_unreadableJobs.contains(id)) {
      m_writer.Replace(key, {});
    }
  }
  m_progress.clear();
  LogInfo(
    LogPart::Owner,
    absl::StrCat("took over; shard=",
                 m_keys.Shard(),
                 " term=",
                 m_grant.m_term,
                 " jobs=",
                 m_active.size(),
                 " leased_workers=",
                 m_unresolvedWorkers.size(),
                 " load_ms=",
                 absl::ToInt64Milliseconds(m_env.m_loop.Now() - m_beganAt)));
  for (const std::string& id : m_cancelled) {
    CancelIfLoaded(id);
  }
  for (auto& [id, worker] : m_workers) {
    Renew(worker);
  }
  Tick();
  PublishStatus();
  RequestPlacement();
}

void
Scheduler::ApplyProgress(std::unique_ptr<Job>& aJob, const StoreItem& aItem)
{
  try {
    aJob->ApplyProgress(aItem.m_value);
  } catch (const Error& error) {
    LogError(LogPart::Jobs,
             absl::StrCat("cannot decode the progress of a job; no task of it "
                          "starts until it is cancelled; key=",
                          aItem.m_key,
                          " error=",
                          error.what()));
    // The tasks may have been restored in part.
    auto job = std::make_unique<Job>(aJob->Record());
    job->SetOrder(aJob->Order());
    job->MarkProgressUnknown();
    aJob = std::move(job);
  }
}

void
Scheduler::ResolveEarlierLease(const std::string& aWorkerId)
{
  if (!m_env.m_holdsLease()) {
    // The next owner may have renewed these leases or recorded how the tasks
    // ended, and the worker may have restarted since.
    return;
  }
  if (m_unresolvedWorkers.erase(aWorkerId) > 0 && m_unresolvedWorkers.empty()) {
    RequestPlacement();
  }
}

// Jobs.

void
Scheduler::OnJobItem(const StoreItem& aItem)
{
  std::string id = aItem.m_key.substr(m_keys.JobPrefix().size());
  if (id.ends_with(keys::kCancelSuffix)) {
    id.resize(id.size() - std::string(keys::kCancelSuffix).size());
    if (aItem.m_isRemoved) {
      m_cancelled.erase(id);
      return;
    }
    m_cancelled.insert(id);
    if (m_isRunning) {
      CancelIfLoaded(id);
    }
    return;
  }
  if (aItem.m_isRemoved) {
    ForgetJob(id);
    return;
  }
  if (!m_jobs.contains(id)) {
    LoadJob(id, aItem);
  }
}

void
Scheduler::LoadJob(const std::string& aId, const StoreItem& aItem)
{
  try {
    auto job = std::make_unique<Job>(DecodeJobRecord(aId, aItem.m_value));
    job->SetOrder(m_nextOrder++);
    if (m_isRunning) {
      m_active[aId] = MakeActive(*job);
      RecordArrival(*job);
      RequestPlacement();
    }
    m_jobs[aId] = std::move(job);
  } catch (const Error& error) {
    // An invalid record of another writer does not affect the other jobs.
    m_unreadableJobs.insert(aId);
    LogError(LogPart::Jobs, error.what());
    return;
  }
  if (m_isRunning && m_cancelled.contains(aId)) {
    Cancel(*m_jobs[aId]);
  }
}

void
Scheduler::ForgetJob(const std::string& aId)
{
  const auto found = m_jobs.find(aId);
  if (found == m_jobs.end()) {
    return;
  }
  for (auto& [id, worker] : m_workers) {
    const std::set<Task*> tasks = worker.m_tasks;
    for (Task* task : tasks) {
      if (task->m_job == found->second.get()) {
        Release(*task, ReleaseProof::FromRemovedJob(*task));
      }
    }
  }
  m_active.erase(aId);
  ForgetAdvice(absl::StrCat(aId, "."));
  m_changedJobs.erase(found->second.get());
  m_earlierJobs.erase(found->second.get());
  m_jobs.erase(found);
}

void
Scheduler::CancelIfLoaded(const std::string& aId)
{
  const auto found = m_jobs.find(aId);
  if (found != m_jobs.end()) {
    Cancel(*found->second);
  }
}

Task*
Scheduler::FindTask(const std::string& aName)
{
  TaskName name;
  if (!TaskName::Parse(aName, name)) {
    return nullptr;
  }
  const auto found = m_jobs.find(name.m_job);
  return found == m_jobs.end() ? nullptr : found->second->Find(name);
}

void
Scheduler::MeasureLoad(ShardStatus& aStatus) const
{
  double permanent = 0;
  int listed = 0;
  for (const auto& [id, worker] : m_workers) {
    listed += worker.m_isListed ? 1 : 0;
    for (const Task* task : worker.m_tasks) {
      const StepSpec& spec = task->m_job->Spec(*task);
      (spec.m_isLongRunning ? permanent : aStatus.m_load) +=
        LoadOf(OccupiedBy(spec));
    }
  }
  for (const auto& [pool, demand] : m_poolDemands) {
    aStatus.m_load += demand.m_waitingLoad + demand.m_lateWaitingLoad;
  }
  const double machines = m_machineCount.value_or(listed);
  aStatus.m_capacity = std::max(kLeastCapacityShare * machines,
                                machines - kPermanentLoadFactor * permanent);
}

void
Scheduler::PublishStatus()
{
  ShardStatus status;
  for (const auto& [id, active] : m_active) {
    if (!active.m_job->HasStarted()) {
      ++status.m_pending[active.m_job->Record().m_queue];
    }
  }
  MeasureLoad(status);
  for (const auto& [id, job] : m_jobs) {
    status.m_memory += static_cast<std::int64_t>(LargestMemory(job->Record()));
  }
  status.m_memoryLimit = m_settings.m_memoryLimit();
  status.m_sequence = ++m_statusSequence;
  m_writer.Put(m_keys.Status(), EncodeShardStatus(status));
  PublishShares();
  After(kStatusInterval, [this] { PublishStatus(); });
}

}
