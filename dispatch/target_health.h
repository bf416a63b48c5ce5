#pragma once

#include "core/enum_names.h"

#include <absl/time/time.h>

namespace bramleystall {

/** Whether a target receives work. */
enum class HealthState
{
  Healthy,
  /** Receives no work; probes decide when it returns. */
  Out,
  /** Passed its probes and receives a growing number of requests. */
  Returning,
};

inline constexpr EnumNames<HealthState, 3> kHealthStateNames = { {
  { HealthState::Healthy, "healthy" },
  { HealthState::Out, "out" },
  { HealthState::Returning, "returning" },
} };

/** Result of an attempt as far as the target's health is concerned. */
enum class TargetOutcome
{
  Success,
  /** Refused connection, closed connection or truncated response. */
  Failure,
  Timeout,
  /** Complete response with a server error (5xx). */
  ErrorResponse,
};

/** Health of one target, from its attempts and probes. */
class TargetHealth
{
public:
  /** Consecutive failures after which a target is taken out. */
  static constexpr int kFailuresToTakeOut = 3;
  /** Consecutive error responses after which a target is taken out when other
   * targets of the pool succeed. More than for failures, since the cause may be
   * the requests. */
  static constexpr int kErrorResponsesToTakeOut = 5;
  /** Consecutive passed probes after which a target returns. */
  static constexpr int kProbesToReturn = 3;
  /** Time between probes; it doubles with each failed probe. */
  static constexpr absl::Duration kFirstProbeDelay = absl::Milliseconds(500);
  static constexpr absl::Duration kMaxProbeDelay = absl::Seconds(15);

  HealthState State() const { return m_state; }

  /** Whether the failures justify taking the target out. */
  bool ShouldTakeOut() const;

  /** Whether the error responses justify taking the target out, provided that
   * other targets of the pool succeed. */
  bool ShouldTakeOutIfOthersSucceed() const;

  /** Whether the last attempt succeeded. */
  bool LastAttemptSucceeded() const { return m_lastAttemptSucceeded; }

  /** Records the result of an attempt at a target that is not out. */
  void OnOutcome(TargetOutcome aOutcome);

  /** Stops new work; the first probe is due after the probe delay. */
  void TakeOut(absl::Time aNow);

  /** Whether a probe is due; marks it as started when it is. */
  bool StartProbe(absl::Time aNow);

  void OnProbeResult(bool aPassed, absl::Time aNow);

  /** Largest number of requests in flight that health allows. */
  int InFlightLimit(int aAllowance) const;

private:
  void OnSuccess();

  HealthState m_state = HealthState::Healthy;
  int m_consecutiveFailures = 0;
  int m_consecutiveErrorResponses = 0;
  bool m_lastAttemptSucceeded = false;
  int m_passedProbes = 0;
  /** Requests in flight allowed while returning; doubles with each full round
   * of successes. */
  int m_returningInFlightLimit = 1;
  int m_returningSuccesses = 0;
  bool m_isProbing = false;
  absl::Time m_nextProbe = absl::InfiniteFuture();
  absl::Duration m_probeDelay = kFirstProbeDelay;
};

}
