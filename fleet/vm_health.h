#pragma once

#include "fleet/vm_observation.h"

#include <absl/time/time.h>

namespace bramleystall {

/** Health of a VM, as far as the observations prove it. */
enum class VmHealth
{
  Healthy,
  /** At least kMinProbeFailures consecutive probes have failed. */
  Failed,
  /** No observation, a stale or contradictory one, or too few failures. */
  Unknown,
};

/** Number of consecutive probe failures that prove that a VM has failed. */
inline constexpr int kMinProbeFailures = 3;

/** Largest accepted difference between the clocks of two machines; an
 * observation further in the future is not used. */
inline constexpr absl::Duration kMaxClockSkew = absl::Seconds(5);

/**
 * Derives the health of a VM from an observation, which may be null. The result
 * is unknown if the observation is contradictory, or if it is healthy but the
 * last successful probe is at least aStaleAfter old.
 */
VmHealth
ClassifyHealth(const VmObservation* aObservation,
               absl::Time aNow,
               absl::Duration aStaleAfter);

}
