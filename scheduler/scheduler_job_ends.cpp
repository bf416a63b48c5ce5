// The part of the scheduler that ends jobs and stores their state. See
// scheduler.h.

#include "scheduler/scheduler.h"

#include "core/clock.h"
#include "core/log.h"
#include "core/metrics.h"
#include "jobs/job_entry.h"
#include "tenants/tenant_labels.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

namespace bramleystall {

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
  m_changedJobs.insert(&aJob);
  if (m_changedJobs.size() == 1) {
    After(absl::ZeroDuration(), [this] { PutChangedJobs(); });
  }
}

void
Scheduler::PutChangedJobs()
{
  for (const Job* job : m_changedJobs) {
    if (job->IsFinal() && !job->HasPlacedTask()) {
      Archive(*job);
    } else if (job->IsFinal() || job->IsProgressKnown()) {
      m_writer.Put(m_keys.Progress(job->Id()), job->EncodeProgress());
    }
  }
  m_changedJobs.clear();
}

void
Scheduler::Archive(const Job& aJob)
{
  const std::string& id = aJob.Id();
  const keys::ShardKeys entryKeys(aJob.Record().m_entryShard);
  const JobEntry entry{ .m_shard = m_keys.Shard(),
                        .m_finalState = aJob.State(),
                        .m_tenant = TenantOfEntry(aJob.Record()) };
  m_writer.Replace(
    m_keys.Progress(id),
    { .m_put = StorePut{ entryKeys.Entry(id), EncodeJobEntry(entry) },
      .m_removals = { m_keys.Job(id), m_keys.Cancel(id) } });
}

void
Scheduler::FinishJob(Job& aJob)
{
  Store(aJob);
  m_active.erase(aJob.Id());
  ForgetAdvice(absl::StrCat(aJob.Id(), "."));
  if (m_earlierJobs.erase(&aJob) > 0) {
    KeepEarlierRuns(aJob);
  }
  const std::string state(NameOf(kJobStateNames, aJob.State()));
  const std::string& tenant = aJob.Record().m_tenant;
  m_env.m_metrics.Count(
    "bramleystall_jobs_finished_total",
    WithTenant(m_env.m_metrics, { { "state", state } }, tenant));
  const std::int64_t ageMs =
    ToMillis(absl::Now()) - aJob.Record().m_acceptedAtMs;
  m_env.m_metrics.Observe("bramleystall_job_duration_seconds",
                          { { "state", state } },
                          absl::Milliseconds(ageMs));
  LogInfo(LogPart::Jobs,
          absl::StrCat("job finished; job=",
                       aJob.Id(),
                       " state=",
                       state,
                       " age_ms=",
                       ageMs,
                       TenantField(tenant)));
  for (const int k : aJob.OpenOccurrences()) {
    for (std::size_t s = 0; s < aJob.Record().m_steps.size(); ++s) {
      for (Task& task : aJob.Tasks(k, static_cast<int>(s))) {
        if (task.m_isStartUnsent) {
          ReleaseUnsent(task);
        } else if (task.IsPlaced() && task.m_phase != TaskPhase::Stopping) {
          StopTask(task);
        }
      }
    }
  }
}

}
