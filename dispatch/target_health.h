#pragma once

#include "core/enum_names.h"

#include <absl/time/time.h>

namespace bramleystall {

/** Whether a target receives work. */
enum class HealthState
{
  Healthy,
  /** Out of rotation: receives no work until enough probes have passed. */
  Out,
  /** Back in rotation after passed probes, with a limit on the requests in
   * flight that grows with its successes. */
  Returning,
};

inline constexpr EnumNames<HealthState, 3> kHealthStateNames = { {
  { HealthState::Healthy, "healthy" },
  { HealthState::Out, "out" },
  { HealthState::Returning, "returning" },
} };

/** Result of an attempt with regard to the health of the target. */
enum class TargetOutcome
{
  Success,
  /** The connection was refused or closed, or the response was truncated. */
  Failure,
  Timeout,
  /** Complete response with a server error (5xx). */
  ErrorResponse,
};

/** Health of one target, derived from its attempts and probes. */
class TargetHealth
{
public:
  /** Consecutive failures after which a target is taken out of rotation. */
  static constexpr int kFailuresToTakeOut = 3;
  /** Consecutive error responses after which a target is taken out of rotation
   * if other targets of the pool succeed. More than for failures, since the
   * requests may be the cause. */
  static constexpr int kErrorResponsesToTakeOut = 5;
  /** Consecutive passed probes after which a target returns to rotation. */
  static constexpr int kProbesToReturn = 3;
  /** Initial time between probes; it doubles with each failed probe. */
  static constexpr absl::Duration kFirstProbeDelay = absl::Milliseconds(500);
  static constexpr absl::Duration kMaxProbeDelay = absl::Seconds(15);

  HealthState State() const { return m_state; }

  /** Whether the failures justify taking the target out of rotation. */
  bool ShouldTakeOut() const;

  /** Whether the error responses justify taking the target out of rotation if
   * other targets of the pool succeed. */
  bool ShouldTakeOutIfOthersSucceed() const;

  bool LastAttemptSucceeded() const { return m_lastAttemptSucceeded; }

  /** Records the result of an attempt; ignored while the target is out. */
  void OnOutcome(TargetOutcome aOutcome);

  /** Takes the target out of rotation. The first probe is due after the current
   * probe delay. */
  void TakeOut(absl::Time aNow);

  /** Returns whether a probe is due, and marks it as started if it is. */
  bool StartProbe(absl::Time aNow);

  void OnProbeResult(bool aPassed, absl::Time aNow);

  /** Maximum number of requests in flight in the current state, at most
   * aAllowance. */
  int InFlightLimit(int aAllowance) const;

private:
  void OnSuccess();

  HealthState m_state = HealthState::Healthy;
  int m_consecutiveFailures = 0;
  int m_consecutiveErrorResponses = 0;
  bool m_lastAttemptSucceeded = false;
  int m_passedProbes = 0;
  /** Maximum number of requests in flight in the state Returning. Doubles after
   * the same number of successes. */
  int m_returningInFlightLimit = 1;
  int m_returningSuccesses = 0;
  bool m_isProbing = false;
  absl::Time m_nextProbe = absl::InfiniteFuture();
  absl::Duration m_probeDelay = kFirstProbeDelay;
};

}
