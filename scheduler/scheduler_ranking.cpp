// The part of the scheduler that decides in which order jobs are placed. See
// scheduler.h.

#include "scheduler/scheduler.h"

#include "core/metrics.h"
#include "scheduler/job_ranking.h"
#include "tenants/tenant_label.h"
#include "tenants/tenant_shares.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace bramleystall {

const std::string&
Scheduler::PoolOf(const Job& aJob) const
{
  const QueueSpec* queue = m_env.m_configuration().Find(aJob.Record().m_queue);
  return queue == nullptr ? aJob.Record().m_pool : queue->m_pool;
}

Scheduler::ActiveJob
Scheduler::MakeActive(Job& aJob) const
{
  const JobRecord& record = aJob.Record();
  const QueueSpec* queue = m_env.m_configuration().Find(record.m_queue);
  absl::Duration totalRunTime;
  for (const StepSpec& step : record.m_steps) {
    totalRunTime += m_demandEstimator.ExpectedRunTime(
      record.m_queue, absl::Milliseconds(step.m_estimateMs));
  }
  ActiveJob active;
  active.m_job = &aJob;
  active.m_pool = queue == nullptr ? record.m_pool : queue->m_pool;
  active.m_priority = queue == nullptr ? record.m_priority : queue->m_priority;
  active.m_needsAdvice = queue != nullptr && queue->m_needsAdvice;
  active.m_isLongRunning = record.m_steps.front().m_isLongRunning;
  active.m_stepMs = absl::ToInt64Milliseconds(totalRunTime) /
                    static_cast<std::int64_t>(record.m_steps.size());
  active.m_objectiveMs =
    record.m_acceptedAtMs +
    absl::ToInt64Milliseconds(totalRunTime *
                              (queue == nullptr ? 1.0 : queue->m_stretch)) +
    (queue == nullptr ? 0 : queue->m_objectiveSlackMs);
  return active;
}

bool
Scheduler::IsWithheld(const std::string& aPool, JobTier aTier) const
{
  return aTier >= JobTier::Late &&
         std::ranges::any_of(m_shortPools, [&aPool](const std::string& aShort) {
           return aShort != aPool;
         });
}

JobTier
Scheduler::TierOf(const ActiveJob& aActive) const
{
  if (aActive.m_isLongRunning) {
    return JobTier::LongRunning;
  }
  const Job& job = *aActive.m_job;
  return ChooseTier(
    { .m_expectedMs = aActive.m_stepMs * job.RemainingStepCount(),
      .m_acceptedAtMs = job.Record().m_acceptedAtMs,
      .m_objectiveMs = aActive.m_objectiveMs },
    m_wallNowMs);
}

void
Scheduler::PlacePool(const std::string& aPool,
                     const std::vector<const ActiveJob*>& aJobs,
                     Placement& aPlacement)
{
  std::optional<TenantShares> shares;
  if (HasSeveralTenants(aJobs)) {
    shares.emplace(MeasureShares(aPool, aJobs));
  }
  std::vector<RankedJob> ranks;
  ranks.reserve(aJobs.size());
  for (std::size_t i = 0; i < aJobs.size(); ++i) {
    const ActiveJob& active = *aJobs[i];
    ranks.push_back({ .m_priority = active.m_priority,
                      .m_tier = TierOf(active),
                      .m_objectiveMs = active.m_objectiveMs,
                      .m_order = active.m_job->Order(),
                      .m_index = i });
    if (shares && TakesPartInShares(active)) {
      ranks.back().m_tenant = shares->Add(active.m_job->Record().m_tenant);
    }
  }
  VisitByRank(
    std::move(ranks), shares ? &*shares : nullptr, [&](const RankedJob& aRank) {
      PlaceJob(aPool, *aJobs[aRank.m_index], aRank.m_tier, aPlacement);
      if (aRank.m_tenant) {
        const std::string& tenant = shares->Name(*aRank.m_tenant);
        shares->SetUsed(*aRank.m_tenant,
                        m_poolUsage.ByTenant(aPool).Of(tenant));
      }
    });
}

bool
Scheduler::HasSeveralTenants(const std::vector<const ActiveJob*>& aJobs) const
{
  if (!m_env.m_configuration().m_tenants || aJobs.empty()) {
    return false;
  }
  const std::string& first = aJobs.front()->m_job->Record().m_tenant;
  return std::ranges::any_of(aJobs, [&first](const ActiveJob* aActive) {
    return aActive->m_job->Record().m_tenant != first;
  });
}

bool
Scheduler::TakesPartInShares(const ActiveJob& aActive) const
{
  if (aActive.m_isLongRunning) {
    return false;
  }
  const Job& job = *aActive.m_job;
  return job.Record().m_repeats == 0 || job.MayOpenNext(m_wallNowMs) ||
         std::ranges::any_of(job.OpenOccurrences(), [&](int aOccurrence) {
           return IsDue(job, aOccurrence);
         });
}

Resources
Scheduler::SharedCapacity(const std::string& aPool) const
{
  Resources capacity;
  for (const auto& [id, worker] : m_workers) {
    if (worker.m_isListed && worker.m_report.m_pool == aPool) {
      capacity.Add(worker.m_report.m_capacity);
    }
  }
  capacity.Subtract(m_poolUsage.LongRunning(aPool));
  return capacity;
}

TenantShares
Scheduler::MeasureShares(const std::string& aPool,
                         const std::vector<const ActiveJob*>& aJobs) const
{
  TenantShares shares(*m_env.m_configuration().m_tenants,
                      SharedCapacity(aPool));
  for (const ActiveJob* active : aJobs) {
    if (TakesPartInShares(*active)) {
      shares.Add(active->m_job->Record().m_tenant);
    }
  }
  const TenantUsage& usage = m_poolUsage.ByTenant(aPool);
  for (const std::string& tenant : usage.Tenants()) {
    shares.SetUsed(shares.Add(tenant), usage.Of(tenant));
  }
  return shares;
}

void
Scheduler::PublishShares()
{
  std::map<MetricLabels, std::pair<double, double>> shown;
  std::map<std::string, std::vector<const ActiveJob*>> byPool;
  const auto& directory = m_env.m_configuration().m_tenants;
  if (directory) {
    for (const auto& [id, active] : m_active) {
      byPool[active.m_pool].push_back(&active);
    }
  }
  for (const auto& [pool, jobs] : byPool) {
    const TenantShares shares = MeasureShares(pool, jobs);
    for (std::size_t i = 0; i < shares.Size(); ++i) {
      auto& [usage, share] =
        shown[{ { "pool", pool },
                { "shard", absl::StrCat(m_keys.Shard()) },
                { "tenant", TenantLabel(*directory, shares.Name(i)) } }];
      usage += shares.Usage(i);
      share += shares.FairShare(i);
    }
  }
  // The registry keeps gauges for good, so those without work are set to 0.
  for (const MetricLabels& labels : m_shownShares) {
    shown.try_emplace(labels);
  }
  m_shownShares.clear();
  for (const auto& [labels, values] : shown) {
    m_env.m_metrics.SetGauge(
      "bramleystall_tenant_pool_usage", labels, values.first);
    m_env.m_metrics.SetGauge(
      "bramleystall_tenant_pool_share", labels, values.second);
    if (values != std::pair(0.0, 0.0)) {
      m_shownShares.insert(labels);
    }
  }
}

void
Scheduler::ClearShares()
{
  for (const MetricLabels& labels : m_shownShares) {
    m_env.m_metrics.SetGauge("bramleystall_tenant_pool_usage", labels, 0);
    m_env.m_metrics.SetGauge("bramleystall_tenant_pool_share", labels, 0);
  }
}

}
