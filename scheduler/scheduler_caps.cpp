// The part of the scheduler that keeps tenants within their caps. See
// scheduler.h and cap_shares.h.

#include "scheduler/scheduler.h"

#include "net/event_loop.h"
#include "scheduler/cap_shares.h"

#include <algorithm>

namespace bramleystall {

namespace {

Resources
Times(const Resources& aNeed, std::int64_t aCount)
{
  return { .m_cpu = aNeed.m_cpu * aCount,
           .m_memoryMb = aNeed.m_memoryMb * aCount,
           .m_accelerators = aNeed.m_accelerators * aCount };
}

/** Adds the needs of the job's tasks that are neither done nor placed. */
template<typename AddNeed>
void
ForEachUnknownRun(const Job& aJob, const AddNeed& aAddNeed)
{
  const auto& steps = aJob.Record().m_steps;
  for (const int k : aJob.OpenOccurrences()) {
    for (std::size_t s = 0; s < steps.size(); ++s) {
      const auto count = std::ranges::count_if(
        aJob.Tasks(k, static_cast<int>(s)), [](const Task& aTask) {
          return aTask.m_phase != TaskPhase::Done && !aTask.IsPlaced();
        });
      if (count > 0) {
        aAddNeed(Times(steps[s].m_need, count));
      }
    }
  }
}

}

void
Scheduler::CreateCapShares()
{
  m_capShares = std::make_unique<CapShares>(
    CapShares::Environment{
      .m_loop = m_env.m_loop,
      .m_store = m_env.m_store,
      .m_metrics = m_env.m_metrics,
      .m_configuration = m_env.m_configuration,
      .m_usage =
        [this](const std::string& aTenant) {
          TenantUsage late;
          m_lateStarts.AddUsage(late, m_env.m_loop.Now());
          Resources usage = m_tenantUsage.Of(aTenant);
          usage.Add(late.Of(aTenant));
          return usage;
        },
      .m_earlierUsage =
        [this] {
          TenantUsage usage;
          AddEarlierUsage(usage);
          return usage;
        },
      .m_knowsAllRuns = [this] { return KnowsAllRuns(); },
      .m_setRevision =
        [this](const std::string& aKey, std::int64_t aRevision) {
          m_writer.SetRevision(aKey, aRevision);
        },
      .m_put =
        [this](const std::string& aKey, std::string aValue) {
          m_writer.Put(aKey, std::move(aValue));
        },
      .m_onRaised = [this] { RequestPlacement(); } },
    m_keys,
    m_settings.m_shardCount);
}

bool
Scheduler::KnowsAllRuns() const
{
  return m_isRunning && m_unresolvedWorkers.empty() &&
         m_env.m_loop.Now() >= m_grant.m_previousOwnersExpireAt;
}

void
Scheduler::BeginCapPlacement()
{
  if (!m_capShares->HasCaps()) {
    return;
  }
  m_capShares->BeginPlacement();
  m_uncertainUsage = {};
  m_lateStarts.AddUsage(m_uncertainUsage, m_env.m_loop.Now());
  if (m_unresolvedWorkers.empty()) {
    m_earlierRuns.clear();
    return;
  }
  std::erase_if(m_earlierRuns, [this](const EarlierRuns& aRuns) {
    return aRuns.m_workers &&
           std::ranges::none_of(*aRuns.m_workers,
                                [this](const std::string& aWorker) {
                                  return m_unresolvedWorkers.contains(aWorker);
                                });
  });
  AddEarlierUsage(m_uncertainUsage);
}

void
Scheduler::AddEarlierUsage(TenantUsage& aUsage) const
{
  if (m_unresolvedWorkers.empty()) {
    return;
  }
  for (const Job* job : m_earlierJobs) {
    if (MayRunOnUnresolvedWorker(*job)) {
      ForEachUnknownRun(*job, [&aUsage, job](const Resources& aNeed) {
        aUsage.Add(job->Record().m_tenant, aNeed);
      });
    }
  }
  for (const EarlierRuns& runs : m_earlierRuns) {
    aUsage.Add(runs.m_tenant, runs.m_resources);
  }
}

void
Scheduler::KeepEarlierRuns(const Job& aJob)
{
  const std::string& tenant = aJob.Record().m_tenant;
  if (m_unresolvedWorkers.empty() || tenant.empty()) {
    return;
  }
  EarlierRuns runs{ .m_tenant = tenant };
  if (aJob.IsProgressKnown()) {
    runs.m_workers = aJob.Workers();
    ForEachUnknownRun(
      aJob, [&runs](const Resources& aNeed) { runs.m_resources.Add(aNeed); });
  } else {
    // It is unknown as well which occurrences have begun; one counts.
    for (const StepSpec& step : aJob.Record().m_steps) {
      runs.m_resources.Add(Times(step.m_need, step.m_count));
    }
  }
  m_earlierRuns.push_back(std::move(runs));
}

bool
Scheduler::FitsCap(const Job& aJob,
                   const StepSpec& aSpec,
                   const std::vector<Task>& aTasks)
{
  const std::string& tenant = aJob.Record().m_tenant;
  if (tenant.empty() || !m_capShares->HasCaps()) {
    return true;
  }
  const Resources need =
    aSpec.m_isGang
      ? Times(aSpec.m_need, static_cast<std::int64_t>(aTasks.size()))
      : aSpec.m_need;
  Resources usage = m_tenantUsage.Of(tenant);
  usage.Add(m_uncertainUsage.Of(tenant));
  if (m_capShares->Fits(tenant, usage, need)) {
    return true;
  }
  const auto waiting =
    std::ranges::count(aTasks, TaskPhase::Waiting, &Task::m_phase);
  m_capShares->AddWaiting(tenant, usage, need, Times(aSpec.m_need, waiting));
  return false;
}

}
