// The part of the scheduler that chooses workers for the tasks of all jobs.
// See scheduler.h.

#include "scheduler/scheduler.h"

#include "core/clock.h"
#include "core/error.h"
#include "core/log.h"
#include "core/metrics.h"
#include "jobs/job_codec.h"
#include "jobs/placement.h"
#include "net/event_loop.h"
#include "scheduler/cap_shares.h"
#include "scheduler/scheduling_limits.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace bramleystall {

void
Scheduler::RequestPlacement()
{
  if (m_isPlacementDue || !m_isRunning) {
    return;
  }
  m_isPlacementDue = true;
  After(std::max(kPlacementInterval, m_placementTime * kPlacementPauseFactor),
        [this] {
          m_isPlacementDue = false;
          PlaceAll();
        });
}

void
Scheduler::OnConfigurationChanged()
{
  for (auto& [id, active] : m_active) {
    active = MakeActive(*active.m_job);
  }
  m_capShares->OnConfigurationChanged();
  RequestPlacement();
}

bool
Scheduler::IsDue(const Job& aJob, int aOccurrence) const
{
  return m_wallNowMs >= aJob.DueMs(aOccurrence);
}

void
Scheduler::PlaceAll()
{
  if (!m_env.m_mayOrder()) {
    return;
  }
  const absl::Time begin = m_env.m_loop.ReadClock();
  m_wallNowMs = ToMillis(absl::Now());
  std::map<std::string, std::vector<const ActiveJob*>> byPool;
  for (const auto& [id, active] : m_active) {
    if (m_unresolvedWorkers.empty() ||
        !MayRunOnUnresolvedWorker(*active.m_job)) {
      byPool[active.m_pool].push_back(&active);
    }
  }
  m_openTasks = 0;
  for (const auto& [id, job] : m_jobs) {
    m_openTasks += job->OpenTaskCount();
  }
  m_isStoreBehind = m_writer.IsBehind();
  std::map<std::string, std::vector<Worker*>> workers;
  for (auto& [id, worker] : m_workers) {
    workers[worker.m_report.m_pool].push_back(&worker);
  }
  m_poolDemands.clear();
  BeginCapPlacement();
  for (auto& [pool, jobs] : byPool) {
    Placement placement(workers[pool], m_env.m_loop.Now());
    PlacePool(pool, jobs, placement);
  }
  SendPlacedStarts();
  for (const std::string& id : std::exchange(m_workersToAsk, {})) {
    EnsureRenewal(*FindWorker(id));
  }
  m_placementTime = m_env.m_loop.ReadClock() - begin;
}

void
Scheduler::SendPlacedStarts()
{
  if (m_placedStarts.empty()) {
    return;
  }
  m_writer.FlushSoon();
  AfterStored([this, starts = std::move(m_placedStarts), alive = m_alive] {
    if (!*alive || !m_env.m_mayOrder()) {
      return;
    }
    for (const PlacedStart& start : starts) {
      Task* task = FindTask(start.m_task);
      Worker* worker = FindWorker(start.m_worker);
      if (task == nullptr) {
        continue;
      }
      if (start.m_forgetCount == task->m_job->ForgetCount()) {
        task->m_job->MarkWorkerRecorded(start.m_worker);
      }
      const bool isCurrent = worker != nullptr && task->m_isStartUnsent &&
                             task->m_worker == start.m_worker &&
                             task->m_attempt == start.m_attempt;
      if (!isCurrent) {
        continue;
      }
      // Meanwhile another worker may have listed the task as done, or this one
      // may have restarted, so that its clock and fencing token are unknown.
      if (task->m_phase == TaskPhase::Starting && worker->m_isLeaseRecorded &&
          worker->m_clockReadAt != absl::InfinitePast() &&
          MayStartOn(*worker)) {
        SendStart(*task, *worker, start.m_ticket);
      } else {
        ReleaseUnsent(*task);
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
      if (m_env.m_loop.Now() > task->m_orderedAt + kUnsentStartTimeout) {
        ReleaseUnsent(*task);
      }
    }
  }
}

void
Scheduler::PlaceJob(const std::string& aPool,
                    const ActiveJob& aActive,
                    JobTier aTier,
                    Placement& aPlacement)
{
  Job& job = *aActive.m_job;
  const int steps = static_cast<int>(job.Record().m_steps.size());
  const bool isWithheld = IsWithheld(aPool, aTier);
  OpenDueOccurrences(job);
  for (const int k : job.OpenOccurrences()) {
    if (!IsDue(job, k)) {
      continue;
    }
    for (int s = 0; s < steps; ++s) {
      if (!job.IsStepDone(k, s) && job.IsStepReady(k, s)) {
        PlaceStep(aActive, k, s, isWithheld, aPlacement);
        AddWaitingDemand(aPool, job, k, s, aTier);
      }
    }
  }
}

void
Scheduler::OpenDueOccurrences(Job& aJob)
{
  for (const int dropped : aJob.DropFinished()) {
    ForgetAdvice(absl::StrCat(aJob.Id(), ".", dropped, "."));
  }
  const int perOccurrence = aJob.TasksPerOccurrence();
  while (aJob.MayOpenNext(m_wallNowMs) &&
         (m_openTasks == 0 || m_openTasks + perOccurrence <= kMaxOpenTasks)) {
    const int before = aJob.OpenTaskCount();
    aJob.OpenNext();
    m_openTasks += aJob.OpenTaskCount() - before;
  }
}

void
Scheduler::AddWaitingDemand(const std::string& aPool,
                            Job& aJob,
                            int aOccurrence,
                            int aStep,
                            JobTier aTier)
{
  const StepSpec& spec = aJob.Record().m_steps[static_cast<std::size_t>(aStep)];
  const auto count = std::ranges::count(
    aJob.Tasks(aOccurrence, aStep), TaskPhase::Waiting, &Task::m_phase);
  PoolDemand& demand = m_poolDemands[aPool];
  if (spec.m_isLongRunning) {
    if (spec.m_maxPerWorker > 0) {
      demand.m_minimumWorkers = std::max(
        demand.m_minimumWorkers,
        (spec.m_count + spec.m_maxPerWorker - 1) / spec.m_maxPerWorker);
    }
    demand.m_hasWaitingLongRunning |= count > 0;
  }
  demand.m_hasWaitingInTime |= aTier == JobTier::InTime && count > 0;
  double& waiting =
    aTier >= JobTier::Late ? demand.m_lateWaitingLoad : demand.m_waitingLoad;
  waiting += static_cast<double>(count) * LoadOf(OccupiedBy(spec));
}

void
Scheduler::PlaceStep(const ActiveJob& aActive,
                     int aOccurrence,
                     int aStep,
                     bool aIsWithheld,
                     Placement& aPlacement)
{
  Job& job = *aActive.m_job;
  std::vector<Task>& tasks = job.Tasks(aOccurrence, aStep);
  const StepSpec& spec = job.Record().m_steps[static_cast<std::size_t>(aStep)];
  const auto mayStart = [this](const Task& aTask) {
    return aTask.m_phase == TaskPhase::Waiting && !IsHeldBack(aTask);
  };
  if (!aPlacement.LargestFree().Fits(OccupiedBy(spec)) ||
      std::ranges::none_of(tasks, mayStart)) {
    return;
  }
  if ((spec.m_isGang && !std::ranges::all_of(tasks, mayStart)) ||
      !FitsCap(job, spec, tasks) || !m_startBudget.Allows(job.Id())) {
    return;
  }
  const std::string step =
    aActive.m_needsAdvice ? absl::StrCat(job.Id(), ".", aOccurrence, ".", aStep)
                          : "";
  const auto ticketOf = [this, &step](const Worker& aWorker) {
    const auto advice = m_advice.find(step);
    return advice == m_advice.end()
             ? nullptr
             : advice->second.FindTicket(IncarnationOf(aWorker),
                                         m_env.m_loop.Now());
  };
  const auto startOn =
    [&](Task& aTask, Worker& aWorker, std::int64_t aAttempt) {
      const std::string* ticket = ticketOf(aWorker);
      StartTask(aTask, aWorker, aAttempt, ticket == nullptr ? "" : *ticket);
    };
  // While the store accepts no writes, the job's tasks can start only on
  // workers that are already stored with it.
  const WorkerFilter isUsable =
    [this, &job, aIsWithheld](const Worker& aWorker) {
      const std::string& id = aWorker.m_report.m_id;
      const bool isAllowed = (!aIsWithheld || HasLongRunning(aWorker)) &&
                             (!m_isStoreBehind || job.IsWorkerRecorded(id));
      if (!isAllowed || MayStartOn(aWorker)) {
        return isAllowed;
      }
      m_workersToAsk.insert(id);
      return false;
    };
  const WorkerFilter filter = [&](const Worker& aWorker) {
    return (step.empty() || ticketOf(aWorker) != nullptr) && isUsable(aWorker);
  };
  if (spec.m_isGang) {
    const std::vector<Worker*> chosen = aPlacement.ChooseGang(tasks, filter);
    if (chosen.empty()) {
      if (aActive.m_needsAdvice) {
        RequestAdvice(step, tasks.front(), isUsable, aPlacement);
      }
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
      startOn(tasks[i], *chosen[i], attempt);
    }
    aPlacement.RefreshLargestFree();
    return;
  }
  bool hasStarted = false;
  for (Task& task : tasks) {
    if (!mayStart(task)) {
      continue;
    }
    if (hasStarted &&
        (!FitsCap(job, spec, tasks) || !m_startBudget.Allows(job.Id()))) {
      break;
    }
    Worker* worker = aPlacement.Choose(task, filter);
    if (worker == nullptr) {
      if (aActive.m_needsAdvice) {
        RequestAdvice(step, task, isUsable, aPlacement);
      }
      break;
    }
    startOn(task, *worker, NextAttempt(task));
    hasStarted = true;
  }
  if (hasStarted) {
    aPlacement.RefreshLargestFree();
  }
}

bool
Scheduler::MayStartOn(const Worker& aWorker) const
{
  // A next owner may have given the worker its fence before a restart.
  return m_env.m_holdsLease() || IsIncarnationKnown(aWorker);
}

void
Scheduler::RequestAdvice(const std::string& aStep,
                         const Task& aTask,
                         const WorkerFilter& aFilter,
                         const Placement& aPlacement)
{
  std::vector<Worker*> fitting = aPlacement.Fitting(aTask, aFilter);
  std::ranges::sort(fitting, std::ranges::greater{}, [](const Worker* aWorker) {
    return aWorker->Free().m_cpu;
  });
  std::vector<AdvisedWorker> candidates;
  std::ranges::transform(
    fitting, std::back_inserter(candidates), [](const Worker* aWorker) {
      return IncarnationOf(*aWorker);
    });
  StepAdvice& advice = m_advice[aStep];
  const std::vector<AdvisedWorker> asked =
    advice.ChooseToAsk(candidates, kMaxAdvisedWorkers, m_env.m_loop.Now());
  if (asked.empty()) {
    return;
  }
  advice.OnRequested();
  std::vector<std::string> ids;
  std::ranges::transform(asked, std::back_inserter(ids), &AdvisedWorker::m_id);
  // The validity begins when the response is created, before it arrives.
  m_env.m_workers.Advise(
    aStep,
    ids,
    [this, aStep, asked, sentAt = m_env.m_loop.Now(), alive = m_alive](
      const AdviceResult& aResult) {
      if (*alive) {
        OnAdvice(aStep, asked, sentAt, aResult);
      }
    });
}

void
Scheduler::OnAdvice(const std::string& aStep,
                    const std::vector<AdvisedWorker>& aAsked,
                    absl::Time aSentAt,
                    const AdviceResult& aResult)
{
  const auto found = m_advice.find(aStep);
  if (found == m_advice.end()) {
    return;
  }
  if (!aResult.m_hasResponse) {
    m_env.m_metrics.Count("bramleystall_job_retries_total",
                          { { "reason", "advice_unanswered" } });
    found->second.OnFailure(aSentAt + kAdviceRetryDelay);
    return;
  }
  std::map<std::string, std::string> tickets;
  for (const AdviceTicket& ticket : aResult.m_tickets) {
    tickets[ticket.m_workerId] = ticket.m_ticket;
  }
  found->second.OnResponse(aAsked, tickets, aSentAt + aResult.m_validFor);
  RequestPlacement();
}

AdvisedWorker
Scheduler::IncarnationOf(const Worker& aWorker)
{
  return { aWorker.m_report.m_id, aWorker.m_startTimeMs };
}

void
Scheduler::RejectTicket(const Task& aTask)
{
  const auto found = m_advice.find(absl::StrCat(
    aTask.m_job->Id(), ".", aTask.m_occurrence, ".", aTask.m_step));
  if (found != m_advice.end()) {
    found->second.OnTicketRejected(aTask.m_worker,
                                   m_env.m_loop.Now() + kAdviceRetryDelay);
  }
}

void
Scheduler::ForgetAdvice(const std::string& aPrefix)
{
  const auto begin = m_advice.lower_bound(aPrefix);
  const auto end = std::find_if(begin, m_advice.end(), [&](const auto& aEntry) {
    return !aEntry.first.starts_with(aPrefix);
  });
  m_advice.erase(begin, end);
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
Scheduler::RecordArrival(const Job& aJob)
{
  const JobRecord& record = aJob.Record();
  if (record.m_repeats > 0) {
    return;
  }
  double work = 0;
  for (const StepSpec& step : record.m_steps) {
    if (!step.m_isLongRunning) {
      const absl::Duration time = m_demandEstimator.ExpectedRunTime(
        record.m_queue, absl::Milliseconds(step.m_estimateMs));
      work +=
        step.m_count * LoadOf(OccupiedBy(step)) * absl::ToDoubleSeconds(time);
    }
  }
  m_demandEstimator.AddArrival(PoolOf(aJob), work, m_env.m_loop.Now());
}

double
Scheduler::ArrivingLoad(const std::string& aPool) const
{
  return m_demandEstimator.ArrivingLoad(aPool, m_env.m_loop.Now());
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

PoolDemand
Scheduler::Demand(const std::string& aPool) const
{
  const auto found = m_poolDemands.find(aPool);
  return found == m_poolDemands.end() ? PoolDemand{} : found->second;
}

}
