#include "server/submission_admission.h"

#include "core/log.h"
#include "core/metrics.h"
#include "jobs/job_configuration.h"
#include "jobs/job_record.h"
#include "jobs/placement.h"
#include "net/event_loop.h"
#include "scheduler/scheduling_limits.h"
#include "scheduler/shard_status_reader.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace bramleystall {

namespace {

/** Age of the views at which a submission refreshes them; owners publish every
 * 0.8 s. */
constexpr absl::Duration kViewRefreshAge = kStatusInterval;
constexpr absl::Duration kLogInterval = absl::Seconds(1);
/** Most values of the label `tenant`; the other tenants share one. */
constexpr std::ptrdiff_t kMaxTenantLabels = 64;

/** Run times of a job's steps: as the owner expects them, and the shortest and
 * longest plausible ones of the declared and the learned time. */
struct RunTimes
{
  absl::Duration m_expected;
  absl::Duration m_shortest;
  absl::Duration m_longest;
};

RunTimes
RunTimesOf(const StepSpec& aStep, absl::Duration aLearned)
{
  const absl::Duration declared = absl::Milliseconds(aStep.m_estimateMs);
  return { aLearned,
           kLeastTimeShare * std::min(declared, aLearned),
           std::max(declared, aLearned) };
}

/** Run time of the longest chain of steps, for one run time of each step. */
absl::Duration
LongestChain(const std::vector<StepSpec>& aSteps,
             const std::vector<absl::Duration>& aRunTimes)
{
  std::vector<absl::Duration> ends(aSteps.size());
  for (std::size_t i = 0; i < aSteps.size(); ++i) {
    for (const int earlier : aSteps[i].m_after) {
      if (earlier >= 0 && static_cast<std::size_t>(earlier) < i) {
        ends[i] = std::max(ends[i], ends[static_cast<std::size_t>(earlier)]);
      }
    }
    ends[i] += aRunTimes[i];
  }
  return ends.empty() ? absl::ZeroDuration() : std::ranges::max(ends);
}

/** Unset if the owner has not learned the run time of the queue's tasks yet:
 * declared ones alone are too inaccurate for a refusal. */
std::optional<AdmissionJob>
MakeAdmissionJob(const JobRecord& aRecord,
                 const QueueSpec& aQueue,
                 const PublishedLoad& aLoad)
{
  const auto learned = aLoad.m_runTimes.find(aQueue.m_name);
  if (learned == aLoad.m_runTimes.end()) {
    return std::nullopt;
  }
  AdmissionJob job{ .m_id = aRecord.m_id,
                    .m_pool = aQueue.m_pool,
                    .m_tenant = aRecord.m_tenant,
                    .m_priority = aQueue.m_priority };
  absl::Duration expected;
  absl::Duration longest;
  std::vector<absl::Duration> shortest;
  for (const StepSpec& step : aRecord.m_steps) {
    const RunTimes times = RunTimesOf(step, absl::Seconds(learned->second));
    expected += times.m_expected;
    longest += times.m_longest;
    shortest.push_back(times.m_shortest);
    job.m_work += step.m_count * LoadOn(aLoad.m_worker, OccupiedBy(step)) *
                  absl::ToDoubleSeconds(times.m_expected);
  }
  const auto objectiveOf = [&aQueue](absl::Duration aRunTime) {
    return aRunTime * aQueue.m_stretch +
           absl::Milliseconds(aQueue.m_objectiveSlackMs);
  };
  job.m_objective = objectiveOf(expected);
  job.m_inTimeWait = job.m_objective - kExpectedTimeShare * expected;
  job.m_lateObjective = kLateFactor * objectiveOf(longest);
  job.m_leastRunTime = LongestChain(aRecord.m_steps, shortest);
  return job;
}

std::string
TenantLabel(const std::string& aTenant, const JobConfiguration& aConfiguration)
{
  if (aTenant.empty()) {
    return "none";
  }
  const auto& tenants = aConfiguration.m_tenants->Tenants();
  const auto found = std::ranges::find(tenants, aTenant, &TenantSpec::m_name);
  const bool hasLabel =
    found != tenants.end() &&
    std::distance(tenants.begin(), found) < kMaxTenantLabels;
  return hasLabel ? aTenant : "other";
}

}

SubmissionAdmission::SubmissionAdmission(EventLoop& aLoop,
                                         Metrics& aMetrics,
                                         ShardStatusReader& aStatus)
  : m_loop(aLoop)
  , m_metrics(aMetrics)
  , m_status(aStatus)
{
}

std::optional<AdmissionRefusal>
SubmissionAdmission::Check(const JobRecord& aRecord,
                           const QueueSpec& aQueue,
                           int aShard,
                           const JobConfiguration& aConfiguration)
{
  const bool isExempt =
    aRecord.m_repeats > 0 ||
    std::ranges::any_of(aRecord.m_steps, &StepSpec::m_isLongRunning);
  if (!aConfiguration.m_tenants || isExempt) {
    return std::nullopt;
  }
  // The decision uses the last views, so that no submission waits for a read.
  m_status.Refresh(kViewRefreshAge, [](bool) {});
  const std::map<int, LoadView> views = m_status.LoadViews();
  const auto view = views.find(aShard);
  if (view == views.end()) {
    return std::nullopt;
  }
  const auto job = MakeAdmissionJob(aRecord, aQueue, *view->second.m_load);
  if (!job) {
    return std::nullopt;
  }
  const TenantWeights weights =
    [&aConfiguration](const std::string& aName) -> std::optional<double> {
    const TenantSpec* tenant = aConfiguration.m_tenants->FindByName(aName);
    return tenant == nullptr ? std::nullopt : std::optional(tenant->m_weight);
  };
  return m_control.Decide(*job, aShard, views, weights, m_loop.Now());
}

void
SubmissionAdmission::Report(const AdmissionRefusal& aRefusal,
                            const std::string& aTenant,
                            int aShard,
                            const JobConfiguration& aConfiguration)
{
  const std::string reason(NameOf(kAdmissionReasonNames, aRefusal.m_reason));
  const std::string tenant =
    aConfiguration.m_tenants ? TenantLabel(aTenant, aConfiguration) : "other";
  m_metrics.Count("bramleystall_admission_refusals_total",
                  { { "reason", reason }, { "tenant", tenant } });
  Logged& logged = m_logged[aRefusal.m_reason];
  ++logged.m_count;
  if (m_loop.Now() < logged.m_at + kLogInterval) {
    return;
  }
  LogWarning(LogPart::Server,
             absl::StrCat("jobs refused by admission control; reason=",
                          reason,
                          " count=",
                          logged.m_count,
                          " tenant=",
                          tenant,
                          " shard=",
                          aShard,
                          " wait_ms=",
                          absl::ToInt64Milliseconds(aRefusal.m_wait),
                          " late_wait_ms=",
                          absl::ToInt64Milliseconds(aRefusal.m_lateWait),
                          " retry_after_s=",
                          aRefusal.m_retryAfterS));
  logged = { m_loop.Now(), 0 };
}

}
