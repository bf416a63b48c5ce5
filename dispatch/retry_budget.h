#pragma once

namespace bramleystall {

/**
 * Token bucket that bounds the extra load from retries to a fraction of the
 * successful first attempts. It starts empty, so the bound holds from the first
 * request on.
 */
class RetryBudget
{
public:
  /** Retries per successful first attempt (docs/design.md, 5.4). */
  static constexpr double kRetryFraction = 0.1;
  /** Largest number of saved retries, which bounds a burst after a calm time.
   */
  static constexpr double kMaxTokens = 20;

  /** A first attempt succeeded. */
  void OnFirstAttemptSucceeded();

  /** Whether a retry would be allowed now. */
  bool CanRetry() const;

  /** Takes one retry from the budget; false when it is exhausted. */
  bool TakeRetry();

private:
  double m_tokens = 0;
};

}
