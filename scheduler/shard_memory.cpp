#include "scheduler/shard_memory.h"

#include "scheduler/shard_status.h"

#include <algorithm>
#include <numeric>

namespace bramleystall {

namespace {

/** An owner has published a job after this time: it stores the job, publishes
 * every 0.8 s and is read every 0.8 s. */
constexpr absl::Duration kPublishTime = absl::Seconds(3);
/** Part of a process's memory for jobs. A quarter is for requests; the rest is
 * for the program, store documents, and memory that the allocator keeps. */
constexpr std::int64_t kJobMemoryPercent = 30;
/** A job that takes a larger part of the limit is large. In 48 MiB an ordinary
 * job with 400 tasks is not. */
constexpr std::int64_t kLargeJobFraction = 256;
/** Part of the limit that large jobs leave. */
constexpr std::int64_t kReserveFraction = 4;

}

std::int64_t
ShardMemoryLimit(std::int64_t aMemoryMb, std::int64_t aShards)
{
  constexpr std::int64_t kMiB = std::int64_t{ 1 } << 20;
  const std::int64_t all = aMemoryMb * kMiB * kJobMemoryPercent / 100;
  return std::min(kMaxShardMemory, all / std::max<std::int64_t>(1, aShards));
}

std::int64_t
MemoryOpenTo(std::int64_t aMemory, std::int64_t aLimit)
{
  return aMemory > aLimit / kLargeJobFraction
           ? aLimit - aLimit / kReserveFraction
           : aLimit;
}

bool
ShardMemory::Take(int aShard,
                  std::int64_t aPublished,
                  std::int64_t aLimit,
                  std::int64_t aMemory,
                  absl::Time aNow)
{
  while (!m_taken.empty() && aNow >= m_taken.front().m_takenAt + kPublishTime) {
    m_taken.pop_front();
  }
  const std::int64_t used = std::accumulate(
    m_taken.begin(),
    m_taken.end(),
    aPublished,
    [aShard](std::int64_t aSum, const Job& aJob) {
      return aSum + (aJob.m_shard == aShard ? aJob.m_memory : 0);
    });
  if (used > 0 && used + aMemory > aLimit) {
    return false;
  }
  m_taken.push_back({ aShard, aMemory, aNow });
  return true;
}

std::int64_t
ShardMemory::TakenSince(absl::Time aTime) const
{
  std::int64_t taken = 0;
  for (const Job& job : m_taken) {
    taken += job.m_takenAt >= aTime ? job.m_memory : 0;
  }
  return taken;
}

}
