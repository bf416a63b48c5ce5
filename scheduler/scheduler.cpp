#include "scheduler/scheduler.h"

#include "core/clock.h"
#include "core/error.h"
#include "core/log.h"
#include "core/metrics.h"
#include "jobs/job_codec.h"
#include "jobs/placement.h"
#include "net/event_loop.h"
#include "scheduler/job_keys.h"
#include "scheduler/scheduling_limits.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace bramleystall {

namespace {

using nlohmann::json;

}

Scheduler::Scheduler(Environment aEnvironment,
                     const SchedulerSettings& aSettings,
                     const OwnershipGrant& aGrant)
  : m_env(std::move(aEnvironment))
  , m_settings(aSettings)
  , m_grant(aGrant)
  , m_writer(m_env.m_loop, m_env.m_store, aGrant.m_fence)
  , m_beganAt(m_env.m_loop.Now())
{
  ReadLeasedWorkers();
  ReadProgress("");
  m_jobMirror = std::make_unique<StoreMirror>(
    m_env.m_loop,
    m_env.m_store,
    keys::kJobPrefix,
    [this](const StoreItem& aItem) { OnJobItem(aItem); },
    [this](bool aIsSynchronized) {
      m_hasJobs = m_hasJobs || aIsSynchronized;
      BeginWhenLoaded();
    });
}

Scheduler::~Scheduler()
{
  *m_alive = false;
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
    keys::kProgressPrefix,
    aAfter,
    [this, aAfter, alive = m_alive](const ReadResult& aResult) {
      if (!*alive) {
        return;
      }
      if (aResult.m_status != ReadStatus::Ok) {
        After(kRenewalRetry, [this, aAfter] { ReadProgress(aAfter); });
        return;
      }
      for (const StoreItem& item : aResult.m_items) {
        m_writer.Know(item.m_key, item.m_revision);
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
    keys::kLeasedWorkersKey,
    [this, alive = m_alive](const ReadResult& aResult) {
      if (!*alive) {
        return;
      }
      if (aResult.m_status != ReadStatus::Ok) {
        After(kRenewalRetry, [this] { ReadLeasedWorkers(); });
        return;
      }
      for (const StoreItem& item : aResult.m_items) {
        m_writer.Know(item.m_key, item.m_revision);
        const json body = json::parse(item.m_value, nullptr, false);
        if (!body.is_object()) {
          LogError(LogPart::Owner, "the list of leased workers is unreadable.");
          continue;
        }
        for (const auto& [id, row] : body.items()) {
          m_unresolved.insert(id);
          Worker& worker = m_workers[id];
          if (worker.m_report.m_address.empty()) {
            worker.m_report.m_id = id;
            worker.m_report.m_address = row.at(0).get<std::string>();
            worker.m_report.m_machine = row.at(1).get<std::string>();
          }
        }
      }
      m_hasLeasedWorkers = true;
      BeginWhenLoaded();
    });
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
  for (const auto& [id, job] : m_jobs) {
    const auto found = m_progress.find(keys::ProgressKey(id));
    if (found != m_progress.end()) {
      try {
        job->ApplyProgress(found->second.m_value);
      } catch (const Error& error) {
        LogError(LogPart::Jobs, error.what());
      }
    }
    if (job->IsFinal()) {
      m_removals[id] = m_env.m_loop.Now() + m_settings.m_jobRetention;
    } else {
      m_active[id] = job.get();
      m_earlierJobs.insert(job.get());
    }
  }
  m_progress.clear();
  for (const auto& [id, worker] : m_workers) {
    if (worker.m_isListed && !worker.m_report.m_machine.empty()) {
      EndEarlierLives(worker);
    }
  }
  LogInfo(
    LogPart::Owner,
    absl::StrCat("took over; term=",
                 m_grant.m_term,
                 " jobs=",
                 m_active.size(),
                 " leased_workers=",
                 m_unresolved.size(),
                 " load_ms=",
                 absl::ToInt64Milliseconds(m_env.m_loop.Now() - m_beganAt)));
  for (const std::string& id : m_cancelled) {
    const auto found = m_active.find(id);
    if (found != m_active.end()) {
      Cancel(*found->second);
    }
  }
  for (auto& [id, worker] : m_workers) {
    Renew(worker);
  }
  Tick();
  PublishPending();
  RequestPlacement();
}

void
Scheduler::ResolveEarlierLease(const std::string& aWorkerId)
{
  if (m_unresolved.erase(aWorkerId) > 0 && m_unresolved.empty()) {
    RequestPlacement();
  }
}

bool
Scheduler::MayBeRunningUnseen(const Job& aJob) const
{
  return m_earlierJobs.contains(&aJob) &&
         std::ranges::any_of(aJob.Workers(), [this](const std::string& aId) {
           return m_unresolved.contains(aId);
         });
}

// Jobs.

void
Scheduler::OnJobItem(const StoreItem& aItem)
{
  std::string id = aItem.m_key.substr(std::string(keys::kJobPrefix).size());
  if (id.ends_with(keys::kCancelSuffix)) {
    id.resize(id.size() - std::string(keys::kCancelSuffix).size());
    if (aItem.m_isRemoved) {
      m_cancelled.erase(id);
      return;
    }
    m_cancelled.insert(id);
    const auto found = m_active.find(id);
    if (m_isRunning && found != m_active.end()) {
      Cancel(*found->second);
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
    if (m_isRunning) {
      m_active[aId] = job.get();
      NoteArrival(*job);
      RequestPlacement();
    }
    m_jobs[aId] = std::move(job);
  } catch (const Error& error) {
    // Another writer's record names no job to run; the others hold.
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
  m_active.erase(aId);
  m_earlierJobs.erase(found->second.get());
  m_removals.erase(aId);
  for (auto& [id, worker] : m_workers) {
    std::erase_if(worker.m_tasks, [&](Task* aTask) {
      return aTask->m_job == found->second.get();
    });
  }
  m_jobs.erase(found);
}

void
Scheduler::Cancel(Job& aJob)
{
  if (aJob.IsFinal()) {
    return;
  }
  aJob.MarkCancelled();
  FinishJob(aJob);
}

void
Scheduler::Store(Job& aJob)
{
  m_writer.Put(keys::ProgressKey(aJob.Id()), aJob.EncodeProgress());
}

void
Scheduler::FinishJob(Job& aJob)
{
  Store(aJob);
  m_active.erase(aJob.Id());
  m_earlierJobs.erase(&aJob);
  m_removals[aJob.Id()] = m_env.m_loop.Now() + m_settings.m_jobRetention;
  const std::string state(NameOf(kJobStateNames, aJob.State()));
  m_env.m_metrics.Count("jobs_finished", { { "state", state } });
  const std::int64_t ageMs =
    ToMillis(absl::Now()) - aJob.Record().m_acceptedAtMs;
  m_env.m_metrics.Observe(
    "job_duration_seconds", { { "state", state } }, absl::Milliseconds(ageMs));
  LogInfo(
    LogPart::Jobs,
    absl::StrCat(
      "job finished; job=", aJob.Id(), " state=", state, " age_ms=", ageMs));
  for (int k = 0; k < aJob.OccurrenceCount(); ++k) {
    for (std::size_t s = 0; s < aJob.Record().m_steps.size(); ++s) {
      for (Task& task : aJob.Tasks(k, static_cast<int>(s))) {
        if (task.m_isUnsent) {
          Release(task);
        } else if (task.IsPlaced() && task.m_phase != TaskPhase::Stopping) {
          StopTask(task, TaskPhase::Stopping);
        }
      }
    }
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
Scheduler::PublishPending()
{
  std::map<std::string, std::int64_t> counts;
  for (const auto& [id, job] : m_active) {
    if (!job->HasStarted()) {
      ++counts[job->Record().m_queue];
    }
  }
  std::string text = json(counts).dump();
  if (text != m_pendingText) {
    m_pendingText = text;
    m_writer.Put(keys::kPendingKey, std::move(text));
  }
  After(kPendingInterval, [this] { PublishPending(); });
}

// Placement.

void
Scheduler::RequestPlacement()
{
  if (m_isPlacementDue || !m_isRunning) {
    return;
  }
  m_isPlacementDue = true;
  After(kPlacementInterval, [this] {
    m_isPlacementDue = false;
    PlaceAll();
  });
}

const std::string&
Scheduler::PoolOf(const Job& aJob) const
{
  const QueueSpec* queue = m_env.m_configuration().Find(aJob.Record().m_queue);
  return queue == nullptr ? aJob.Record().m_pool : queue->m_pool;
}

bool
Scheduler::IsDue(const Job& aJob, int aOccurrence) const
{
  return ToMillis(absl::Now()) >= aJob.DueMs(aOccurrence);
}

void
Scheduler::PlaceAll()
{
  if (!m_env.m_mayOrder()) {
    return;
  }
  std::map<std::string, std::vector<Job*>> byPool;
  for (const auto& [id, job] : m_active) {
    if (m_unresolved.empty() || !MayBeRunningUnseen(*job)) {
      byPool[PoolOf(*job)].push_back(job);
    }
  }
  m_isStoreBehind = m_writer.IsBehind();
  std::map<std::string, std::vector<Worker*>> workers;
  for (auto& [id, worker] : m_workers) {
    workers[worker.m_report.m_pool].push_back(&worker);
  }
  m_waitingLoad.clear();
  m_minimumWorkers.clear();
  m_poolsWithWaitingLongRunning.clear();
  for (auto& [pool, jobs] : byPool) {
    Placement placement(workers[pool], m_env.m_loop.Now());
    PlacePool(pool, jobs, placement);
  }
  SendPlacedStarts();
}

void
Scheduler::SendPlacedStarts()
{
  if (m_placedStarts.empty()) {
    return;
  }
  m_writer.Hurry();
  m_writer.AfterStored(
    [this, starts = std::move(m_placedStarts), alive = m_alive] {
      if (!*alive || !m_env.m_mayOrder()) {
        return;
      }
      for (const PlacedStart& start : starts) {
        Task* task = FindTask(start.m_task);
        Worker* worker = FindWorker(start.m_worker);
        if (task == nullptr) {
          continue;
        }
        task->m_job->MarkRecordedOn(start.m_worker);
        const bool isCurrent = worker != nullptr && task->m_isUnsent &&
                               task->m_worker == start.m_worker &&
                               task->m_attempt == start.m_attempt;
        if (isCurrent) {
          SendStart(*task, *worker, start.m_ticket);
        }
      }
    });
  m_placedStarts.clear();
}

void
Scheduler::ReleaseUnsentStarts()
{
  for (auto& [id, worker] : m_workers) {
    const std::set<Task*> tasks = worker.m_tasks;
    for (Task* task : tasks) {
      if (task->m_isUnsent &&
          m_env.m_loop.Now() > task->m_orderedAt + kUnsentTime) {
        Release(*task);
      }
    }
  }
}

void
Scheduler::PlacePool(const std::string& aPool,
                     std::vector<Job*>& aJobs,
                     Placement& aPlacement)
{
  struct Rank
  {
    int m_priority;
    int m_tier;
    std::int64_t m_objectiveMs;
    Job* m_job;

    auto Key() const
    {
      return std::tuple(m_priority, m_tier, m_objectiveMs, m_job->Id());
    }
  };
  const std::int64_t nowMs = ToMillis(absl::Now());
  std::vector<Rank> ranks;
  ranks.reserve(aJobs.size());
  for (Job* job : aJobs) {
    const JobRecord& record = job->Record();
    const QueueSpec* queue = m_env.m_configuration().Find(record.m_queue);
    std::int64_t chain = 0;
    for (const StepSpec& step : record.m_steps) {
      chain += step.m_estimateMs;
    }
    const double stretch = queue == nullptr ? 1.0 : queue->m_stretch;
    const std::int64_t objective =
      record.m_acceptedAtMs +
      static_cast<std::int64_t>(stretch * static_cast<double>(chain)) +
      (queue == nullptr ? 0 : queue->m_objectiveMs);
    const bool isLongRunning = record.m_steps.front().m_isLongRunning;
    // What can no longer be in time yields to what still can.
    const int tier =
      isLongRunning
        ? 0
        : (nowMs + job->RemainingChainMs(0) / 2 > objective ? 2 : 1);
    ranks.push_back({ queue == nullptr ? record.m_priority : queue->m_priority,
                      tier,
                      objective,
                      job });
  }
  std::ranges::sort(ranks, {}, &Rank::Key);
  for (const Rank& rank : ranks) {
    Job& job = *rank.m_job;
    for (int k = 0; k < job.OccurrenceCount(); ++k) {
      if (!IsDue(job, k)) {
        continue;
      }
      for (int s = 0; s < static_cast<int>(job.Record().m_steps.size()); ++s) {
        if (!job.IsStepDone(k, s) && job.IsStepReady(k, s)) {
          PlaceStep(job, k, s, aPlacement);
        }
      }
    }
  }
  MeasureWaiting(aPool, aJobs);
}

void
Scheduler::MeasureWaiting(const std::string& aPool,
                          const std::vector<Job*>& aJobs)
{
  double& waiting = m_waitingLoad[aPool];
  int& minimum = m_minimumWorkers[aPool];
  for (Job* job : aJobs) {
    for (int k = 0; k < job->OccurrenceCount(); ++k) {
      for (int s = 0; s < static_cast<int>(job->Record().m_steps.size()); ++s) {
        const StepSpec& spec =
          job->Record().m_steps[static_cast<std::size_t>(s)];
        if (!IsDue(*job, k) || !job->IsStepReady(k, s)) {
          continue;
        }
        if (spec.m_isLongRunning && spec.m_maxPerWorker > 0) {
          minimum = std::max(minimum,
                             (spec.m_count + spec.m_maxPerWorker - 1) /
                               spec.m_maxPerWorker);
        }
        const auto count = std::ranges::count(
          job->Tasks(k, s), TaskPhase::Waiting, &Task::m_phase);
        if (spec.m_isLongRunning && count > 0) {
          m_poolsWithWaitingLongRunning.insert(aPool);
        }
        waiting += static_cast<double>(count) * LoadOf(OccupiedBy(spec));
      }
    }
  }
}

void
Scheduler::PlaceStep(Job& aJob,
                     int aOccurrence,
                     int aStep,
                     Placement& aPlacement)
{
  std::vector<Task>& tasks = aJob.Tasks(aOccurrence, aStep);
  const StepSpec& spec = aJob.Record().m_steps[static_cast<std::size_t>(aStep)];
  if (!aPlacement.LargestFree().Fits(OccupiedBy(spec)) ||
      std::ranges::none_of(tasks, [](const Task& aTask) {
        return aTask.m_phase == TaskPhase::Waiting;
      })) {
    return;
  }
  const QueueSpec* queue = m_env.m_configuration().Find(aJob.Record().m_queue);
  const std::map<std::string, std::string>* tickets = nullptr;
  if (queue != nullptr && queue->m_needsAdvice) {
    tickets = TicketsFor(aJob, aOccurrence, aStep);
    if (tickets == nullptr) {
      return;
    }
  }
  // While the store takes no writes, only workers that are already stored
  // with the job can get its tasks.
  const WorkerFilter filter = [this, tickets, &aJob](const Worker& aWorker) {
    return (tickets == nullptr || tickets->contains(aWorker.m_report.m_id)) &&
           (!m_isStoreBehind || aJob.IsRecordedOn(aWorker.m_report.m_id));
  };
  const auto ticketOf = [tickets](const Worker& aWorker) {
    return tickets == nullptr ? "" : tickets->at(aWorker.m_report.m_id);
  };
  if (spec.m_isGang) {
    const bool areAllWaiting =
      std::ranges::all_of(tasks, [](const Task& aTask) {
        return aTask.m_phase == TaskPhase::Waiting;
      });
    if (!areAllWaiting) {
      return;
    }
    const std::vector<Worker*> chosen = aPlacement.ChooseGang(tasks, filter);
    if (chosen.empty()) {
      return;
    }
    std::int64_t attempt = 0;
    std::string checkpoint;
    for (const Task& task : tasks) {
      attempt = std::max(attempt, NextAttempt(task));
      checkpoint = task.m_checkpoint.empty() ? checkpoint : task.m_checkpoint;
    }
    for (std::size_t i = 0; i < tasks.size(); ++i) {
      tasks[i].m_checkpoint = checkpoint;
      StartTask(tasks[i], *chosen[i], attempt, ticketOf(*chosen[i]));
    }
    aPlacement.RefreshLargestFree();
    return;
  }
  bool hasStarted = false;
  for (Task& task : tasks) {
    if (task.m_phase != TaskPhase::Waiting) {
      continue;
    }
    Worker* worker = aPlacement.Choose(task, filter);
    if (worker == nullptr) {
      break;
    }
    StartTask(task, *worker, NextAttempt(task), ticketOf(*worker));
    hasStarted = true;
  }
  if (hasStarted) {
    aPlacement.RefreshLargestFree();
  }
}

const std::map<std::string, std::string>*
Scheduler::TicketsFor(const Job& aJob, int aOccurrence, int aStep)
{
  const std::string step =
    absl::StrCat(aJob.Id(), ".", aOccurrence, ".", aStep);
  Advice& advice = m_advice[step];
  if (m_env.m_loop.Now() < advice.m_validUntil && !advice.m_tickets.empty()) {
    return &advice.m_tickets;
  }
  if (!advice.m_isOpen &&
      m_env.m_loop.Now() >= advice.m_askedAt + kAdviceRetry) {
    AskAdvice(step, PoolOf(aJob));
  }
  return nullptr;
}

void
Scheduler::AskAdvice(const std::string& aStep, const std::string& aPool)
{
  std::vector<std::pair<std::int64_t, std::string>> workers;
  for (const auto& [id, worker] : m_workers) {
    if (worker.m_isListed && worker.m_report.m_pool == aPool &&
        !worker.m_report.m_isDraining && worker.m_unanswered == 0) {
      workers.emplace_back(-worker.Free().m_cpu, id);
    }
  }
  std::ranges::sort(workers);
  workers.resize(std::min(workers.size(), kMaxAdvisedWorkers));
  std::vector<std::string> ids;
  std::ranges::transform(workers,
                         std::back_inserter(ids),
                         [](const auto& aRow) { return aRow.second; });
  if (ids.empty()) {
    return;
  }
  Advice& advice = m_advice[aStep];
  advice.m_isOpen = true;
  advice.m_askedAt = m_env.m_loop.Now();
  m_env.m_workers.Advise(
    aStep, ids, [this, aStep, alive = m_alive](const AdviceResult& aResult) {
      if (!*alive) {
        return;
      }
      Advice& answered = m_advice[aStep];
      answered.m_isOpen = false;
      if (!aResult.m_isAnswered) {
        m_env.m_metrics.Count("retries", { { "reason", "advice_unanswered" } });
        return;
      }
      answered.m_tickets.clear();
      for (const AdviceTicket& ticket : aResult.m_tickets) {
        answered.m_tickets[ticket.m_workerId] = ticket.m_ticket;
      }
      // The validity counts from the answer's creation, which is earlier.
      answered.m_validUntil = answered.m_askedAt + aResult.m_validFor;
      RequestPlacement();
    });
}

double
Scheduler::LoadOf(const Resources& aNeed) const
{
  const auto share = [](std::int64_t aPart, std::int64_t aWhole) {
    return aWhole > 0 ? static_cast<double>(aPart) / static_cast<double>(aWhole)
                      : 0.0;
  };
  return std::max(share(aNeed.m_cpu, m_typicalWorker.m_cpu),
                  share(aNeed.m_memoryMb, m_typicalWorker.m_memoryMb));
}

void
Scheduler::NoteArrival(const Job& aJob)
{
  const JobRecord& record = aJob.Record();
  if (record.m_repeats > 0) {
    return;
  }
  double work = 0;
  for (const StepSpec& step : record.m_steps) {
    if (!step.m_isLongRunning) {
      const absl::Duration time = m_demand.RunTime(
        record.m_queue, absl::Milliseconds(step.m_estimateMs));
      work += step.m_count * LoadOf(OccupiedBy(step)) *
              absl::ToDoubleSeconds(time);
    }
  }
  m_demand.AddArrival(PoolOf(aJob), work, m_env.m_loop.Now());
}

double
Scheduler::ArrivingLoad(const std::string& aPool) const
{
  return m_demand.ArrivingLoad(aPool, m_env.m_loop.Now());
}

double
Scheduler::UsedLoad(const std::string& aPool) const
{
  double load = 0;
  for (const auto& [id, worker] : m_workers) {
    if (worker.m_report.m_pool == aPool) {
      load += LoadOf(worker.m_used);
    }
  }
  return load;
}

double
Scheduler::WaitingLoad(const std::string& aPool) const
{
  const auto found = m_waitingLoad.find(aPool);
  return found == m_waitingLoad.end() ? 0.0 : found->second;
}

int
Scheduler::MinimumWorkers(const std::string& aPool) const
{
  const auto found = m_minimumWorkers.find(aPool);
  // A pool without a worker could start nothing while a machine moves.
  return std::max(1, found == m_minimumWorkers.end() ? 0 : found->second);
}

// Tasks.

std::int64_t
Scheduler::NextAttempt(const Task& aTask) const
{
  return std::max(aTask.m_attempt, (m_grant.m_term - 1) * kAttemptsPerTerm) + 1;
}

void
Scheduler::Assign(Task& aTask, Worker& aWorker)
{
  aTask.m_worker = aWorker.m_report.m_id;
  if (aWorker.m_tasks.insert(&aTask).second) {
    aWorker.m_used.Add(OccupiedBy(aTask.m_job->Spec(aTask)));
  }
}

void
Scheduler::Release(Task& aTask)
{
  Worker* worker = FindWorker(aTask.m_worker);
  if (worker != nullptr && worker->m_tasks.erase(&aTask) > 0) {
    worker->m_used.Subtract(OccupiedBy(aTask.m_job->Spec(aTask)));
  }
  aTask.m_worker.clear();
  aTask.m_isUnsent = false;
  if (aTask.m_phase != TaskPhase::Done) {
    aTask.m_phase = TaskPhase::Waiting;
  }
  RequestPlacement();
}

void
Scheduler::StartTask(Task& aTask,
                     Worker& aWorker,
                     std::int64_t aAttempt,
                     const std::string& aTicket)
{
  Job& job = *aTask.m_job;
  const std::string& workerId = aWorker.m_report.m_id;
  Assign(aTask, aWorker);
  aTask.m_phase = TaskPhase::Starting;
  aTask.m_attempt = aAttempt;
  aTask.m_percent = 0;
  aTask.m_orderedAt = m_env.m_loop.Now();
  if (job.IsRecordedOn(workerId)) {
    SendStart(aTask, aWorker, aTicket);
    return;
  }
  aTask.m_isUnsent = true;
  if (!job.Workers().contains(workerId)) {
    job.AddWorker(workerId);
    Store(job);
  }
  m_placedStarts.push_back({ job.NameOf(aTask), aAttempt, workerId, aTicket });
}

void
Scheduler::SendStart(Task& aTask, Worker& aWorker, const std::string& aTicket)
{
  const Job& job = *aTask.m_job;
  aTask.m_isUnsent = false;
  StartOrder order;
  order.m_task = job.NameOf(aTask);
  order.m_attempt = aTask.m_attempt;
  order.m_payload = job.Record().m_payload;
  order.m_leaseEndMs = NextLeaseEndMs(aWorker);
  order.m_fence = m_grant.m_fence;
  order.m_checkpoint = aTask.m_checkpoint;
  order.m_ticket = aTicket;
  m_env.m_workers.Start(AddressOf(aWorker),
                        order,
                        [this,
                         name = order.m_task,
                         attempt = aTask.m_attempt,
                         id = aWorker.m_report.m_id,
                         alive = m_alive](const OrderResult& aResult) {
                          if (*alive) {
                            OnStarted(name, attempt, id, aResult);
                          }
                        });
}

void
Scheduler::OnStarted(const std::string& aName,
                     std::int64_t aAttempt,
                     const std::string& aWorkerId,
                     const OrderResult& aResult)
{
  Worker* worker = FindWorker(aWorkerId);
  if (worker != nullptr && aResult.m_workerClockMs > 0) {
    worker->m_clockMs = aResult.m_workerClockMs;
    worker->m_clockReadAt = m_env.m_loop.Now();
  }
  const std::string outcome(NameOf(kOrderOutcomeNames, aResult.m_outcome));
  m_env.m_metrics.Count("task_starts", { { "outcome", outcome } });
  Task* task = FindTask(aName);
  const bool isCurrent = task != nullptr && task->m_worker == aWorkerId &&
                         task->m_attempt == aAttempt;
  if (!isCurrent || worker == nullptr) {
    return;
  }
  if (aResult.m_outcome != OrderOutcome::Accepted) {
    LogInfo(LogPart::Jobs,
            absl::StrCat("task not started; task=",
                         aName,
                         " attempt=",
                         aAttempt,
                         " worker=",
                         aWorkerId,
                         " outcome=",
                         outcome,
                         " error=",
                         aResult.m_error));
  }
  switch (aResult.m_outcome) {
    case OrderOutcome::Accepted:
      if (task->m_phase == TaskPhase::Starting) {
        task->m_phase = TaskPhase::Running;
        task->m_startedAt = m_env.m_loop.Now();
        task->m_progressAt = task->m_startedAt;
        task->m_job->MarkStarted();
      }
      Touch(*worker);
      return;
    case OrderOutcome::Unknown:
      worker->m_avoidUntil = m_env.m_loop.Now() + kBusyPause;
      if (task->m_phase == TaskPhase::Starting) {
        StopTask(*task, TaskPhase::Unresolved);
      }
      Touch(*worker);
      return;
    case OrderOutcome::NoRoom:
      worker->m_avoidUntil = m_env.m_loop.Now() + kNoRoomPause;
      break;
    case OrderOutcome::TicketRejected:
      m_advice.clear();
      break;
    case OrderOutcome::NotSent:
    case OrderOutcome::Busy:
    case OrderOutcome::WrongIncarnation:
    case OrderOutcome::Invalid:
    case OrderOutcome::LeaseExpired:
      worker->m_avoidUntil = m_env.m_loop.Now() + kBusyPause;
      break;
    case OrderOutcome::StaleFence:
      m_env.m_onSuperseded();
      return;
    case OrderOutcome::StaleAttempt:
      break;
  }
  if (task->m_phase == TaskPhase::Starting ||
      task->m_phase == TaskPhase::Stopping) {
    Release(*task);
  }
}

void
Scheduler::StopTask(Task& aTask, TaskPhase aPhase)
{
  aTask.m_phase = aPhase;
  aTask.m_stopAckedAt = absl::InfiniteFuture();
  SendStop(aTask.m_job->NameOf(aTask), aTask.m_attempt, aTask.m_worker);
}

void
Scheduler::SendStop(const std::string& aName,
                    std::int64_t aAttempt,
                    const std::string& aWorkerId)
{
  Worker* worker = FindWorker(aWorkerId);
  if (worker == nullptr || !m_env.m_mayOrder()) {
    return;
  }
  m_env.m_workers.Stop(
    AddressOf(*worker),
    { .m_task = aName, .m_attempt = aAttempt, .m_fence = m_grant.m_fence },
    [this, aName, aAttempt, aWorkerId, alive = m_alive](
      const OrderResult& aResult) {
      if (*alive) {
        OnStopped(aName, aAttempt, aWorkerId, aResult);
      }
    });
}

void
Scheduler::OnStopped(const std::string& aName,
                     std::int64_t aAttempt,
                     const std::string& aWorkerId,
                     const OrderResult& aResult)
{
  Task* task = FindTask(aName);
  const bool isCurrent = task != nullptr && task->m_worker == aWorkerId &&
                         task->m_attempt == aAttempt;
  if (!isCurrent || (task->m_phase != TaskPhase::Stopping &&
                     task->m_phase != TaskPhase::Unresolved)) {
    return;
  }
  Worker* worker = FindWorker(aWorkerId);
  if (aResult.m_outcome == OrderOutcome::Accepted) {
    // The end of what ran is listed within the stop time; what did not run
    // yet is refused from now on and lists no end.
    task->m_stopAckedAt = m_env.m_loop.Now();
    if (worker != nullptr) {
      ScheduleRenewal(*worker,
                      task->m_phase == TaskPhase::Unresolved
                        ? absl::ZeroDuration()
                        : m_settings.m_stopTime / 2);
    }
    return;
  }
  m_env.m_metrics.Count(
    "retries",
    { { "reason",
        absl::StrCat(
          "stop_",
          std::string(NameOf(kOrderOutcomeNames, aResult.m_outcome))) } });
  After(kStopRetry, [this, aName, aAttempt, aWorkerId] {
    const Task* stopping = FindTask(aName);
    if (stopping != nullptr && stopping->m_worker == aWorkerId &&
        stopping->m_attempt == aAttempt &&
        (stopping->m_phase == TaskPhase::Stopping ||
         stopping->m_phase == TaskPhase::Unresolved)) {
      SendStop(aName, aAttempt, aWorkerId);
    }
  });
}

void
Scheduler::Relocate(Task& aTask)
{
  if (aTask.m_phase == TaskPhase::Running) {
    StopTask(aTask, TaskPhase::Stopping);
  }
}

bool
Scheduler::MayDisrupt(const Task& aTask) const
{
  const StepSpec& spec = aTask.m_job->Spec(aTask);
  const std::vector<Task>& tasks =
    aTask.m_job->Tasks(aTask.m_occurrence, aTask.m_step);
  const auto away =
    std::ranges::count_if(tasks, [this, &aTask](const Task& aOther) {
      // What a silent worker said last may no longer hold.
      const auto worker = m_workers.find(aOther.m_worker);
      const bool isAtWork =
        aOther.m_phase == TaskPhase::Running && aOther.m_percent >= 100 &&
        worker != m_workers.end() && worker->second.m_unanswered == 0;
      return &aOther != &aTask && !isAtWork;
    });
  return away < std::max(1, spec.m_maxDisrupted);
}

void
Scheduler::EvacuateLongRunning(Worker& aWorker)
{
  std::vector<Worker*> pool;
  for (auto& [id, worker] : m_workers) {
    if (worker.m_report.m_pool == aWorker.m_report.m_pool) {
      pool.push_back(&worker);
    }
  }
  const Placement placement(pool, m_env.m_loop.Now());
  const std::set<Task*> tasks = aWorker.m_tasks;
  for (Task* task : tasks) {
    const bool hasPlace =
      placement.Choose(*task, [](const Worker&) { return true; }) != nullptr;
    if (task->m_job->Spec(*task).m_isLongRunning && hasPlace &&
        MayDisrupt(*task)) {
      Relocate(*task);
    }
  }
}

void
Scheduler::SetEvacuating(const std::string& aWorkerId, bool aIsEvacuating)
{
  Worker* worker = FindWorker(aWorkerId);
  if (worker != nullptr) {
    worker->m_isEvacuating = aIsEvacuating;
  }
}

}
