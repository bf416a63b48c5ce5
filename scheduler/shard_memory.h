#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <deque>

namespace bramleystall {

/** Memory in bytes that the jobs of each shard may take whose owner may have
 * aMemoryMb MiB and owns aShards shards. */
std::int64_t
ShardMemoryLimit(std::int64_t aMemoryMb, std::int64_t aShards);

/** Part of a shard's memory that is open to a job of aMemory. Large jobs leave
 * a reserve to small ones, so that a few clients cannot keep out the others. */
std::int64_t
MemoryOpenTo(std::int64_t aMemory, std::int64_t aLimit);

/**
 * Decides whether a shard has memory for a further job, by what its owner has
 * published and by what this daemon has submitted since. It does no I/O; times
 * are monotonic, sizes in bytes.
 */
class ShardMemory
{
public:
  /**
   * Whether a job of aMemory fits into aLimit beside the jobs that take
   * aPublished and those that were taken lately. If so, it counts as taken. A
   * job is also taken if the shard has no other.
   */
  bool Take(int aShard,
            std::int64_t aPublished,
            std::int64_t aLimit,
            std::int64_t aMemory,
            absl::Time aNow);
  /** Memory of the jobs of all shards that were taken since a time. */
  std::int64_t TakenSince(absl::Time aTime) const;

private:
  struct Job
  {
    int m_shard = 0;
    std::int64_t m_memory = 0;
    absl::Time m_takenAt;
  };
  /** Jobs that the owner may not have published yet, oldest first. */
  std::deque<Job> m_taken;
};

}
