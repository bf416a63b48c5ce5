#include "dispatch/retry_budget.h"

#include <catch2/catch.hpp>

using namespace bramleystall;

// Guards against retries that multiply the load of a failing pool.
TEST_CASE("Retries are at most a tenth of the successful first attempts",
          "[dispatch]")
{
  RetryBudget budget;
  CHECK_FALSE(budget.TakeRetry());
  int retries = 0;
  for (int i = 1; i <= 1000; ++i) {
    budget.OnFirstAttemptSucceeded();
    retries += budget.TakeRetry() ? 1 : 0;
    CHECK(retries <= i * RetryBudget::kRetryFraction + 1e-6);
  }
  CHECK(retries == 100);
}

// Guards against a large burst of retries after a long time without failures,
// in which the budget grows.
TEST_CASE("Accumulated retries are bounded", "[dispatch]")
{
  RetryBudget budget;
  for (int i = 0; i < 100000; ++i) {
    budget.OnFirstAttemptSucceeded();
  }
  int retries = 0;
  while (budget.TakeRetry()) {
    ++retries;
  }
  CHECK(retries == static_cast<int>(RetryBudget::kMaxTokens));
}
