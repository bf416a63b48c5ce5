#include "admission/rate_limit.h"

#include <algorithm>

namespace bramleystall {

RateLimit::RateLimit(double aPerSecond, double aBurst)
  : m_perSecond(aPerSecond)
  , m_burst(aBurst)
  , m_tokens(aBurst)
{
}

void
RateLimit::Take(absl::Time aNow)
{
  m_tokens = std::max(0.0, TokensAt(aNow) - 1);
  m_countedAt = aNow;
}

double
RateLimit::TokensAt(absl::Time aNow) const
{
  const double seconds = absl::ToDoubleSeconds(aNow - m_countedAt);
  return std::min(m_burst, m_tokens + seconds * m_perSecond);
}

}
