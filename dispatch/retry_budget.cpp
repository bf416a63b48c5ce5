#include "dispatch/retry_budget.h"

#include <algorithm>

namespace bramleystall {

namespace {

// Ten additions of 0.1 give slightly less than 1 in binary floating point.
constexpr double kRoundingTolerance = 1e-9;

}

void
RetryBudget::OnFirstAttemptSucceeded()
{
  m_tokens = std::min(m_tokens + kRetryFraction, kMaxTokens);
}

bool
RetryBudget::CanRetry() const
{
  return m_tokens >= 1 - kRoundingTolerance;
}

bool
RetryBudget::TakeRetry()
{
  if (!CanRetry()) {
    return false;
  }
  m_tokens = std::max(0.0, m_tokens - 1);
  return true;
}

}
