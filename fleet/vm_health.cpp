#include "fleet/vm_health.h"

namespace bramleystall {

VmHealth
ClassifyHealth(const VmObservation* aObservation,
               absl::Time aNow,
               absl::Duration aStaleAfter)
{
  if (!aObservation || aObservation->m_consecutiveProbeFailures < 0 ||
      aObservation->m_consecutiveProbeSuccesses < 0 ||
      aObservation->m_lastHealthy > aNow + kMaxClockSkew) {
    return VmHealth::Unknown;
  }
  if (aObservation->m_isHealthy) {
    const bool isFresh = aNow - aObservation->m_lastHealthy < aStaleAfter;
    return isFresh ? VmHealth::Healthy : VmHealth::Unknown;
  }
  const bool isProven =
    aObservation->m_consecutiveProbeFailures >= kMinProbeFailures;
  return isProven ? VmHealth::Failed : VmHealth::Unknown;
}

}
