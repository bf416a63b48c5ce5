#pragma once

#include <absl/time/time.h>

namespace bramleystall {

/**
 * Time of day that does not jump ahead: a machine's wall clock may be set ahead
 * by seconds and back again, and nothing that is due at a time may start early
 * meanwhile. A clock that was set ahead for good is followed after a while.
 */
class SteadyTimeOfDay
{
public:
  /** Returns the time of day at the given monotonic time, at which the wall
   * clock shows aWallTime. Between two calls a jump goes unnoticed. */
  absl::Time Update(absl::Time aMonotonicTime, absl::Time aWallTime);

private:
  /** Time of day at monotonic time 0. */
  absl::Time m_origin = absl::InfinitePast();
  /** Monotonic time since which the wall clock has been ahead. */
  absl::Time m_aheadSince = absl::InfiniteFuture();
};

}
