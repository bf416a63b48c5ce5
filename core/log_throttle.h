#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>

namespace bramleystall {

/** Limits lines about a frequent event to one in an interval, and counts the
 * events that they stand for. */
class LogThrottle
{
public:
  explicit LogThrottle(absl::Duration aInterval)
    : m_interval(aInterval)
  {
  }

  /** Counts an event. If a line is due, returns the number of events since the
   * last one, this event included. */
  std::optional<std::uint64_t> Count(absl::Time aNow);

private:
  absl::Duration m_interval;
  absl::Time m_nextLineAt = absl::InfinitePast();
  std::uint64_t m_events = 0;
};

}
