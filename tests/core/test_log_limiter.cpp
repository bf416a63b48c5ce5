#include "core/log_limiter.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace bramleystall;

// Guards against a flood that fills the log, and against events that no line
// counts.
TEST_CASE("A reason is logged once a second with its count", "[log]")
{
  LogLimiter limiter;
  std::vector<std::string> lines;
  const auto flush = [&](double aSeconds) {
    limiter.Flush(absl::UnixEpoch() + absl::Seconds(aSeconds),
                  [&](const std::string& aReason, std::uint64_t aCount) {
                    lines.push_back(aReason + " " + std::to_string(aCount));
                  });
  };
  limiter.Add("evicted");
  flush(0);
  for (int i = 0; i < 1000; ++i) {
    limiter.Add("evicted");
    flush(0.0005 * i);
  }
  limiter.Add("overdue");
  flush(0.9);
  flush(1.0);
  flush(5.0);
  CHECK(lines ==
        std::vector<std::string>{ "evicted 1", "overdue 1", "evicted 1000" });
}
