#pragma once

#include <absl/time/time.h>

#include <compare>
#include <cstdint>

namespace bramleystall {

/**
 * Point in the sequence in which a daemon sends orders and reads responses. A
 * worker carries an order out after the moment at which it was sent, and before
 * the one at which its response was read. Times do not order the events of one
 * iteration of the event loop.
 */
struct Moment
{
  std::uint64_t m_number = 0;
  /** Monotonic time, for logs and durations. */
  absl::Time m_time;

  bool operator==(const Moment& aOther) const
  {
    return m_number == aOther.m_number;
  }
  std::strong_ordering operator<=>(const Moment& aOther) const
  {
    return m_number <=> aOther.m_number;
  }
};

}
