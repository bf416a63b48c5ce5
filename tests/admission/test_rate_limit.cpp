#include "admission/rate_limit.h"

#include <catch2/catch.hpp>

using namespace bramleystall;

// Guards against more events than the limit allows, and against a limit that
// does not open again.
TEST_CASE("A rate limit allows a burst and then its rate", "[admission]")
{
  absl::Time now = absl::UnixEpoch();
  RateLimit limit(2, 3);
  for (int i = 0; i < 3; ++i) {
    CHECK(limit.IsOpen(now));
    limit.Take(now);
  }
  CHECK_FALSE(limit.IsOpen(now));
  now += absl::Milliseconds(499);
  CHECK_FALSE(limit.IsOpen(now));
  now += absl::Milliseconds(2);
  CHECK(limit.IsOpen(now));
  limit.Take(now);
  CHECK_FALSE(limit.IsOpen(now));
  CHECK_FALSE(limit.IsUnused(now));
  now += absl::Hours(1);
  CHECK(limit.IsUnused(now));
}
