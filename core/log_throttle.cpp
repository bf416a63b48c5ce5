#include "core/log_throttle.h"

#include <utility>

namespace bramleystall {

std::optional<std::uint64_t>
LogThrottle::Count(absl::Time aNow)
{
  ++m_events;
  if (aNow < m_nextLineAt) {
    return std::nullopt;
  }
  m_nextLineAt = aNow + m_interval;
  return std::exchange(m_events, 0);
}

}
