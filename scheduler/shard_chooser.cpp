#include "scheduler/shard_chooser.h"

#include <xxhash.h>

#include <algorithm>

namespace bramleystall {

namespace {

/** Keeps the choice independent of other hashes of the id. */
constexpr XXH64_hash_t kHashSeed = 1;

/** Uniform value from 0 to less than 1 that depends on the id alone. */
double
UniformOf(const std::string& aJobId)
{
  return static_cast<double>(
           XXH3_64bits_withSeed(aJobId.data(), aJobId.size(), kHashSeed) >>
           11U) /
         static_cast<double>(1ULL << 53U);
}

}

double
ShardWeight(const ShardView& aView)
{
  if (aView.m_isSilent || aView.m_capacity <= 0 ||
      aView.m_memory >= aView.m_memoryLimit) {
    return 0;
  }
  return aView.m_capacity / std::max(1.0, aView.m_load / aView.m_capacity);
}

int
ChooseShard(const std::map<int, ShardView>& aViews,
            const std::string& aJobId,
            int aFallback)
{
  double total = 0;
  for (const auto& [shard, view] : aViews) {
    total += ShardWeight(view);
  }
  double left = UniformOf(aJobId) * total;
  for (const auto& [shard, view] : aViews) {
    const double weight = ShardWeight(view);
    if (left < weight) {
      return shard;
    }
    left -= weight;
  }
  return aFallback;
}

}
