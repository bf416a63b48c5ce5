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
  /** Maximum number of accumulated retries, which bounds the burst of retries
   * after a long time without failures. */
  static constexpr double kMaxTokens = 20;

  /** Adds kRetryFraction of a retry to the budget. */
  void OnFirstAttemptSucceeded();

  /** Whether the budget allows a retry now. */
  bool CanRetry() const;

  /** Takes one retry from the budget. Returns false if it is exhausted. */
  bool TakeRetry();

private:
  double m_tokens = 0;
};

}
