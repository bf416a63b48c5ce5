#pragma once

#include <absl/time/time.h>

namespace bramleystall {

/**
 * Token bucket: allows aPerSecond events a second on average, and up to aBurst
 * at once. Times are monotonic.
 */
class RateLimit
{
public:
  RateLimit(double aPerSecond, double aBurst);

  /** Whether a further event is within the limit. */
  bool IsOpen(absl::Time aNow) const { return TokensAt(aNow) >= 1; }
  /** Whether the limit is in the state of a new one. */
  bool IsUnused(absl::Time aNow) const { return TokensAt(aNow) >= m_burst; }
  /** Counts an event. */
  void Take(absl::Time aNow);

private:
  double TokensAt(absl::Time aNow) const;

  double m_perSecond;
  double m_burst;
  /** At m_countedAt. */
  double m_tokens;
  absl::Time m_countedAt = absl::InfinitePast();
};

}
