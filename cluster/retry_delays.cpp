#include "cluster/retry_delays.h"

#include <algorithm>

namespace bramleystall {

RetryDelays::RetryDelays(absl::Duration aBase,
                         absl::Duration aBound,
                         std::uint64_t aSeed)
  : m_base(aBase)
  , m_bound(aBound)
  , m_current(std::min(aBase, aBound))
  , m_random(aSeed)
{
}

absl::Duration
RetryDelays::Next()
{
  std::uniform_real_distribution<double> unit(0, 1);
  const absl::Duration delay = m_current * unit(m_random);
  m_current = std::min(m_current * 2, m_bound);
  return delay;
}

void
RetryDelays::Reset()
{
  m_current = std::min(m_base, m_bound);
}

std::uint64_t
RandomSeed()
{
  std::random_device device;
  constexpr unsigned kHalfBits = 32;
  return (std::uint64_t{ device() } << kHalfBits) | device();
}

}
