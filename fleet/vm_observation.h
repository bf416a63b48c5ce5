#pragma once

#include <absl/time/time.h>

namespace bramleystall {

/** Result of the probes of a VM by the daemons of its data centre. A VM without
 * data has no observation. */
struct VmObservation
{
  bool m_isHealthy = false;
  /** Wall-clock time of the last successful probe. */
  absl::Time m_lastHealthy = absl::InfinitePast();
  int m_consecutiveProbeFailures = 0;
  int m_consecutiveProbeSuccesses = 0;
};

}
