// The part of the scheduler that measures and publishes the load of the shard.
// See scheduler.h.

#include "scheduler/scheduler.h"

#include "admission/wait_estimate.h"
#include "jobs/placement.h"
#include "net/event_loop.h"
#include "scheduler/scheduling_limits.h"

#include <algorithm>
#include <utility>

namespace bramleystall {

namespace {

/** Factor on the load of long-running tasks: what they leave of a machine is
 * too small for many tasks. */
constexpr double kPermanentLoadFactor = 1.2;
/** Least share of a shard's machines that counts as its capacity. */
constexpr double kLeastCapacityShare = 0.05;

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
  if (m_env.m_configuration().m_tenants) {
    status.m_published = MeasurePublishedLoad();
  }
  for (const auto& [id, job] : m_jobs) {
    status.m_memory += static_cast<std::int64_t>(LargestMemory(job->Record()));
  }
  status.m_sequence = ++m_statusSequence;
  m_writer.Put(m_keys.Status(), EncodeShardStatus(status));
  After(kStatusInterval, [this] { PublishStatus(); });
}

PublishedLoad
Scheduler::MeasurePublishedLoad() const
{
  const absl::Time now = m_env.m_loop.Now();
  PublishedLoad load;
  load.m_worker = m_typicalWorker;
  load.m_arrivals = m_tenantArrivals.ArrivingLoads(now);
  load.m_runTimes = m_demandEstimator.LearnedRunTimes();
  MeasureRunning(load);
  const auto listed = static_cast<int>(std::ranges::count_if(
    m_workers, [](const auto& aEntry) { return aEntry.second.m_isListed; }));
  load.m_machines = m_machineCount.value_or(listed);
  MeasureWaiting(load);
  for (auto& [name, pool] : load.m_pools) {
    pool.m_arriving = ArrivingLoad(name);
  }
  return load;
}

void
Scheduler::MeasureRunning(PublishedLoad& aLoad) const
{
  const absl::Time now = m_env.m_loop.Now();
  for (const auto& [id, worker] : m_workers) {
    PublishedPool& pool = aLoad.m_pools[worker.m_report.m_pool];
    const bool isUsable = worker.m_isListed && !worker.m_isEvacuating &&
                          !worker.m_report.m_isDraining;
    pool.m_machines += isUsable ? 1 : 0;
    for (const Task* task : worker.m_tasks) {
      const JobRecord& record = task->m_job->Record();
      const StepSpec& spec = task->m_job->Spec(*task);
      const double load = LoadOf(OccupiedBy(spec));
      if (spec.m_isLongRunning) {
        pool.m_permanent += load;
        continue;
      }
      const absl::Duration expected = m_demandEstimator.ExpectedRunTime(
        record.m_queue, absl::Milliseconds(spec.m_estimateMs));
      // A task that was found running is assumed to have run for half its time.
      const absl::Duration elapsed = task->m_orderedAt == absl::Time()
                                       ? expected / 2
                                       : now - task->m_orderedAt;
      const double left = load * absl::ToDoubleSeconds(std::max(
                                   absl::ZeroDuration(), expected - elapsed));
      pool.m_running += left;
      pool.m_tenants[record.m_tenant].m_running += left;
    }
  }
}

void
Scheduler::MeasureWaiting(PublishedLoad& aLoad) const
{
  // By pool, priority and bound.
  std::map<std::string, std::map<std::pair<int, std::int64_t>, double>> rows;
  for (const auto& [id, active] : m_active) {
    const Tier tier = TierOf(active);
    if (active.m_isLongRunning || tier == Tier::Overdue) {
      continue;
    }
    const Job& job = *active.m_job;
    const JobRecord& record = job.Record();
    double work = 0;
    for (const int k : job.OpenOccurrences()) {
      if (!IsDue(job, k)) {
        continue;
      }
      for (int s = 0; s < static_cast<int>(record.m_steps.size()); ++s) {
        if (job.IsStepDone(k, s) || !job.IsStepReady(k, s)) {
          continue;
        }
        const StepSpec& spec = record.m_steps[static_cast<std::size_t>(s)];
        const auto count = std::ranges::count(
          job.Tasks(k, s), TaskPhase::Waiting, &Task::m_phase);
        work += static_cast<double>(count) * LoadOf(OccupiedBy(spec)) *
                absl::ToDoubleSeconds(m_demandEstimator.ExpectedRunTime(
                  record.m_queue, absl::Milliseconds(spec.m_estimateMs)));
      }
    }
    if (work <= 0) {
      continue;
    }
    const std::int64_t bound =
      tier == Tier::Late ? kLateBoundMs
                         : ObjectiveBoundMs(active.m_objectiveMs - m_wallNowMs);
    rows[active.m_pool][{ active.m_priority, bound }] += work;
    aLoad.m_pools[active.m_pool].m_tenants[record.m_tenant].m_waiting += work;
  }
  for (const auto& [pool, work] : rows) {
    for (const auto& [key, amount] : work) {
      aLoad.m_pools[pool].m_waiting.push_back(
        { key.first, key.second, amount });
    }
  }
}

}
