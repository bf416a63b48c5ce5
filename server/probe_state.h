#pragma once

#include <absl/time/time.h>

#include <string>

namespace bramleystall {

/** Results of the probes of one VM. Times are monotonic. */
struct ProbeState
{
  std::string m_address;
  /** Whether the VM is probed at the short interval even while healthy. */
  bool m_isWatched = false;
  /** Whether the last probe succeeded; false before the first one. */
  bool m_isHealthy = false;
  absl::Time m_lastHealthy = absl::InfinitePast();
  int m_consecutiveFailures = 0;
  int m_consecutiveSuccesses = 0;
  absl::Time m_nextProbe = absl::InfinitePast();
};

}
