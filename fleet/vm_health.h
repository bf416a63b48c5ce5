#pragma once

#include "fleet/vm_observation.h"

#include <absl/time/time.h>

namespace bramleystall {

/** Health of a VM as far as the observations prove it. */
enum class VmHealth
{
  Healthy,
  /** Repeated failures; a few failures leave the health unknown. */
  Failed,
  Unknown,
};

/** Probe failures in a row that prove a failure. */
inline constexpr int kMinProbeFailures = 3;

/** Largest accepted difference between clocks. */
inline constexpr absl::Duration kMaxClockSkew = absl::Seconds(5);

/** Classifies an observation; contradictory or stale ones prove nothing. */
VmHealth
ClassifyHealth(const VmObservation* aObservation,
               absl::Time aNow,
               absl::Duration aStaleAfter);

}
