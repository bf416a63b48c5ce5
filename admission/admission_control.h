#pragma once

#include "admission/published_load.h"
#include "admission/wait_estimate.h"
#include "core/enum_names.h"

#include <absl/time/time.h>

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace bramleystall {

/** Why a job is not admitted. */
enum class AdmissionReason
{
  /** It could not be completed within its late objective. */
  TooLate,
  /** It would not be in time, and its tenant already sends more jobs than its
   * weight covers. */
  OverWeight,
};

inline constexpr EnumNames<AdmissionReason, 2> kAdmissionReasonNames = { {
  { AdmissionReason::TooLate, "too_late" },
  { AdmissionReason::OverWeight, "over_weight" },
} };

struct AdmissionRefusal
{
  AdmissionReason m_reason = AdmissionReason::TooLate;
  /** Whole seconds after which there will be capacity. */
  int m_retryAfterS = 1;
  /** See WaitEstimate. */
  absl::Duration m_wait;
  absl::Duration m_lateWait;
};

/** Load that the owner of a shard has published, and the monotonic time at
 * which this daemon saw it first. */
struct LoadView
{
  const PublishedLoad* m_load = nullptr;
  absl::Time m_seenAt;
};

/**
 * Decides whether a job is accepted, by the published load of its shard and by
 * what this daemon has accepted since. It refuses nothing without a recent
 * view. It does no I/O; times are monotonic.
 */
class AdmissionControl
{
public:
  /** A view that is older, or whose owner has been silent for this time, is not
   * used: owners publish every 0.8 s, daemons read every 0.8 s, and a machine
   * has moved by then. */
  static constexpr absl::Duration kMaxViewAge = absl::Seconds(3);

  /** Returns a refusal, or nothing; then the job counts as accepted. */
  std::optional<AdmissionRefusal> Decide(const AdmissionJob& aJob,
                                         int aShard,
                                         const std::map<int, LoadView>& aViews,
                                         const TenantWeights& aWeights,
                                         absl::Time aNow);

private:
  struct Accepted
  {
    int m_shard = 0;
    std::string m_pool;
    std::string m_tenant;
    int m_priority = 0;
    absl::Time m_objectiveAt;
    double m_work = 0;
    absl::Time m_acceptedAt;
  };

  /** Drops the accepted jobs that are older than any usable view. */
  void DropOld(absl::Time aNow);
  SincePublication Since(const AdmissionJob& aJob,
                         int aShard,
                         const LoadView& aView,
                         absl::Time aNow) const;
  bool IsBeyondWeight(const AdmissionJob& aJob,
                      const std::map<int, LoadView>& aViews,
                      const TenantWeights& aWeights,
                      absl::Time aNow) const;
  void Accept(const AdmissionJob& aJob, int aShard, absl::Time aNow);

  /** Jobs that this daemon has accepted lately, oldest first. */
  std::deque<Accepted> m_accepted;
};

/** Whole seconds until a job should be sent again that would be completed
 * aExcess too late behind aWait of waiting work. The job's id spreads the
 * result, so that jobs refused together do not come back together. */
int
RetryAfterSeconds(const std::string& aJobId,
                  absl::Duration aExcess,
                  absl::Duration aWait);

}
