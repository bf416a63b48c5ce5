#include "scheduler/steady_time_of_day.h"

#include <algorithm>

namespace bramleystall {

namespace {

/** Corrections up to this size are no jumps. */
constexpr absl::Duration kMaxCorrection = absl::Milliseconds(100);
/** A clock that has been ahead for this long was set for good. */
constexpr absl::Duration kLastingTime = absl::Seconds(30);

}

absl::Time
SteadyTimeOfDay::Update(absl::Time aMonotonicTime, absl::Time aWallTime)
{
  const absl::Duration elapsed = aMonotonicTime - absl::Time();
  const absl::Time origin = aWallTime - elapsed;
  const bool isAhead =
    m_origin != absl::InfinitePast() && origin > m_origin + kMaxCorrection;
  m_aheadSince =
    isAhead ? std::min(m_aheadSince, aMonotonicTime) : absl::InfiniteFuture();
  if (!isAhead || aMonotonicTime >= m_aheadSince + kLastingTime) {
    m_origin = origin;
    m_aheadSince = absl::InfiniteFuture();
  }
  return m_origin + elapsed;
}

}
