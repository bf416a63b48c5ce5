#pragma once

#include <absl/time/time.h>

namespace bramleystall {

/** What the daemons of a data centre saw of a VM; absent means no data. */
struct VmObservation
{
  bool m_isHealthy = false;
  /** Wall-clock time of the last successful probe. */
  absl::Time m_lastHealthy = absl::InfinitePast();
  int m_consecutiveProbeFailures = 0;
  int m_consecutiveProbeSuccesses = 0;
};

}
