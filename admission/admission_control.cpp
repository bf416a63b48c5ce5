#include "admission/admission_control.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace bramleystall {

namespace {

/** A view was published this long before it was seen, on average: daemons read
 * the views every 0.8 s. */
constexpr absl::Duration kMeanReadDelay = absl::Milliseconds(400);

/** Jobs that were refused together are spread over this share of the time in
 * which the work ahead of them is served. */
constexpr double kSpreadShare = 0.5;
/** Least spread: Retry-After has whole seconds only. */
constexpr absl::Duration kLeastSpread = absl::Seconds(1);
/** Longest Retry-After in seconds. The demand of a pool changes within some
 * seconds, and callers retry 4 times within some seconds. */
constexpr int kMaxRetryAfterS = 8;

/** Keeps the spread independent of other hashes of the id. */
constexpr XXH64_hash_t kSpreadSeed = 2;

/** Uniform value from 0 to less than 1 that depends on the id alone. */
double
UniformOf(const std::string& aJobId)
{
  return static_cast<double>(
           XXH3_64bits_withSeed(aJobId.data(), aJobId.size(), kSpreadSeed) >>
           11U) /
         static_cast<double>(1ULL << 53U);
}

AdmissionRefusal
Refuse(const AdmissionJob& aJob,
       AdmissionReason aReason,
       const WaitEstimate& aEstimate,
       absl::Duration aExcess)
{
  return { .m_reason = aReason,
           .m_retryAfterS =
             RetryAfterSeconds(aJob.m_id, aExcess, aEstimate.m_wait),
           .m_wait = aEstimate.m_wait,
           .m_lateWait = aEstimate.m_lateWait };
}

bool
IsRecent(const LoadView& aView, absl::Time aNow)
{
  return aView.m_load != nullptr &&
         aNow <= aView.m_seenAt + AdmissionControl::kMaxViewAge;
}

}

int
RetryAfterSeconds(const std::string& aJobId,
                  absl::Duration aExcess,
                  absl::Duration aWait)
{
  const absl::Duration spread = std::max(kLeastSpread, aWait * kSpreadShare);
  const absl::Duration delay = aExcess + spread * UniformOf(aJobId);
  return static_cast<int>(std::clamp(std::ceil(absl::ToDoubleSeconds(delay)),
                                     1.0,
                                     static_cast<double>(kMaxRetryAfterS)));
}

std::optional<AdmissionRefusal>
AdmissionControl::Decide(const AdmissionJob& aJob,
                         int aShard,
                         const std::map<int, LoadView>& aViews,
                         const TenantWeights& aWeights,
                         absl::Time aNow)
{
  DropOld(aNow);
  const auto view = aViews.find(aShard);
  if (view != aViews.end() && IsRecent(view->second, aNow)) {
    const auto estimate = EstimateWait(*view->second.m_load,
                                       aJob,
                                       Since(aJob, aShard, view->second, aNow),
                                       aWeights);
    if (estimate && estimate->m_wait > aJob.m_inTimeWait) {
      // The job would be late, so it would wait behind the late ones as well.
      const absl::Duration excess =
        estimate->m_lateWait + aJob.m_leastRunTime - aJob.m_lateObjective;
      const absl::Duration lateness = estimate->m_wait - aJob.m_inTimeWait;
      if (excess > absl::ZeroDuration()) {
        return Refuse(aJob, AdmissionReason::TooLate, *estimate, excess);
      }
      if (IsBeyondWeight(aJob, aViews, aWeights, aNow)) {
        return Refuse(aJob, AdmissionReason::OverWeight, *estimate, lateness);
      }
    }
  }
  Accept(aJob, aShard, aNow);
  return std::nullopt;
}

void
AdmissionControl::DropOld(absl::Time aNow)
{
  while (!m_accepted.empty() &&
         aNow > m_accepted.front().m_acceptedAt + kMaxViewAge) {
    m_accepted.pop_front();
  }
}

SincePublication
AdmissionControl::Since(const AdmissionJob& aJob,
                        int aShard,
                        const LoadView& aView,
                        absl::Time aNow) const
{
  SincePublication since{ .m_age = aNow - aView.m_seenAt + kMeanReadDelay };
  for (const Accepted& other : m_accepted) {
    if (other.m_shard != aShard || other.m_pool != aJob.m_pool ||
        other.m_acceptedAt < aView.m_seenAt) {
      continue;
    }
    const bool isAhead = other.m_priority < aJob.m_priority ||
                         (other.m_priority == aJob.m_priority &&
                          other.m_objectiveAt <= aNow + aJob.m_objective);
    since.m_acceptedAhead += isAhead ? other.m_work : 0.0;
    since.m_acceptedOfTenant +=
      other.m_tenant == aJob.m_tenant ? other.m_work : 0.0;
  }
  return since;
}

bool
AdmissionControl::IsBeyondWeight(const AdmissionJob& aJob,
                                 const std::map<int, LoadView>& aViews,
                                 const TenantWeights& aWeights,
                                 absl::Time aNow) const
{
  const auto weight = aWeights(aJob.m_tenant);
  if (!weight) {
    return false;
  }
  double published = 0;
  for (const auto& [shard, view] : aViews) {
    if (!IsRecent(view, aNow)) {
      continue;
    }
    const auto rate = view.m_load->m_arrivals.find(aJob.m_tenant);
    published += rate == view.m_load->m_arrivals.end() ? 0.0 : rate->second;
  }
  const auto own =
    std::ranges::count(m_accepted, aJob.m_tenant, &Accepted::m_tenant);
  return std::max(published,
                  static_cast<double>(own) /
                    absl::ToDoubleSeconds(kMaxViewAge)) > *weight;
}

void
AdmissionControl::Accept(const AdmissionJob& aJob, int aShard, absl::Time aNow)
{
  m_accepted.push_back({ aShard,
                         aJob.m_pool,
                         aJob.m_tenant,
                         aJob.m_priority,
                         aNow + aJob.m_objective,
                         aJob.m_work,
                         aNow });
}

}
