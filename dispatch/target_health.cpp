#include "dispatch/target_health.h"

#include <algorithm>

namespace bramleystall {

namespace {

// Limit at which a returning target becomes healthy. Exceeds the slots of any
// worker, so the limit has no effect from there on.
constexpr int kHealthyInFlightLimit = 64;

}

bool
TargetHealth::ShouldTakeOut() const
{
  // A returning target has failed recently, so one more failure is enough.
  const int threshold =
    m_state == HealthState::Returning ? 1 : kFailuresToTakeOut;
  return m_state != HealthState::Out && m_consecutiveFailures >= threshold;
}

bool
TargetHealth::ShouldTakeOutIfOthersSucceed() const
{
  const int threshold =
    m_state == HealthState::Returning ? 1 : kErrorResponsesToTakeOut;
  return m_state != HealthState::Out &&
         m_consecutiveErrorResponses >= threshold;
}

void
TargetHealth::OnOutcome(TargetOutcome aOutcome)
{
  if (m_state == HealthState::Out) {
    return;
  }
  m_lastAttemptSucceeded = aOutcome == TargetOutcome::Success;
  switch (aOutcome) {
    case TargetOutcome::Success:
      OnSuccess();
      return;
    case TargetOutcome::ErrorResponse:
      // A response shows that the connection works, so it ends a series of
      // connection failures.
      m_consecutiveFailures = 0;
      ++m_consecutiveErrorResponses;
      return;
    case TargetOutcome::Failure:
    case TargetOutcome::Timeout:
      ++m_consecutiveFailures;
      return;
  }
}

void
TargetHealth::OnSuccess()
{
  m_consecutiveFailures = 0;
  m_consecutiveErrorResponses = 0;
  if (m_state != HealthState::Returning) {
    return;
  }
  ++m_returningSuccesses;
  if (m_returningSuccesses < m_returningInFlightLimit) {
    return;
  }
  m_returningSuccesses = 0;
  m_returningInFlightLimit *= 2;
  if (m_returningInFlightLimit >= kHealthyInFlightLimit) {
    m_state = HealthState::Healthy;
    m_probeDelay = kFirstProbeDelay;
  }
}

void
TargetHealth::TakeOut(absl::Time aNow)
{
  if (m_state == HealthState::Returning) {
    m_probeDelay = std::min(m_probeDelay * 2, kMaxProbeDelay);
  }
  m_state = HealthState::Out;
  m_passedProbes = 0;
  m_nextProbe = aNow + m_probeDelay;
}

bool
TargetHealth::StartProbe(absl::Time aNow)
{
  if (m_state != HealthState::Out || m_isProbing || aNow < m_nextProbe) {
    return false;
  }
  m_isProbing = true;
  return true;
}

void
TargetHealth::OnProbeResult(bool aPassed, absl::Time aNow)
{
  m_isProbing = false;
  if (m_state != HealthState::Out) {
    return;
  }
  if (!aPassed) {
    m_passedProbes = 0;
    m_probeDelay = std::min(m_probeDelay * 2, kMaxProbeDelay);
    m_nextProbe = aNow + m_probeDelay;
    return;
  }
  ++m_passedProbes;
  m_nextProbe = aNow + kFirstProbeDelay;
  if (m_passedProbes < kProbesToReturn) {
    return;
  }
  m_state = HealthState::Returning;
  m_consecutiveFailures = 0;
  m_consecutiveErrorResponses = 0;
  m_returningInFlightLimit = 1;
  m_returningSuccesses = 0;
}

int
TargetHealth::InFlightLimit(int aAllowance) const
{
  switch (m_state) {
    case HealthState::Healthy:
      return aAllowance;
    case HealthState::Out:
      return 0;
    case HealthState::Returning:
      return std::min(aAllowance, m_returningInFlightLimit);
  }
  return 0;
}

}
