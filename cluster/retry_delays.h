#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <random>

namespace bramleystall {

/**
 * Sequence of retry delays by exponential backoff with full jitter: the n-th
 * delay is uniform between 0 and the base doubled n times, capped at the bound.
 * Not thread-safe.
 */
class RetryDelays
{
public:
  RetryDelays(absl::Duration aBase, absl::Duration aBound, std::uint64_t aSeed);

  /** Draws the next delay and doubles its upper limit. */
  absl::Duration Next();

  /** Restarts at the base; called after a success. */
  void Reset();

private:
  absl::Duration m_base;
  absl::Duration m_bound;
  absl::Duration m_current;
  std::mt19937_64 m_random;
};

/** Seed that differs between processes, from the system's random source. */
std::uint64_t
RandomSeed();

}
