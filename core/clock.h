#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace bramleystall {

/** Wall-clock time in milliseconds since the Unix epoch, as documents store it.
 */
inline std::int64_t
ToMillis(absl::Time aTime)
{
  return absl::ToUnixMillis(aTime);
}

/** Wall-clock time from milliseconds since the Unix epoch. */
inline absl::Time
FromMillis(std::int64_t aMillis)
{
  return absl::FromUnixMillis(aMillis);
}

/**
 * Monotonic time that includes suspension (CLOCK_BOOTTIME), as an absl::Time
 * with an arbitrary origin. Leases and time-outs use it, since the wall clock
 * may be set back.
 */
absl::Time
MonotonicNow();

}
