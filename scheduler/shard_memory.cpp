#include "scheduler/shard_memory.h"

#include "scheduler/shard_chooser.h"

#include <algorithm>
#include <numeric>

namespace bramleystall {

namespace {

/** An owner has published a job after this time: it stores the job, publishes
 * every 0.8 s and is read every 0.8 s. */
constexpr absl::Duration kPublishTime = absl::Seconds(3);

}

bool
ShardMemory::Take(int aShard,
                  std::int64_t aPublished,
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
  if (used > 0 && used + aMemory > kMaxShardMemory) {
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
