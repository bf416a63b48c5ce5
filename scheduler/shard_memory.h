#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <deque>

namespace bramleystall {

/**
 * Decides whether a shard has memory for a further job, by what its owner has
 * published and by what this daemon has submitted since. It does no I/O; times
 * are monotonic, sizes in bytes.
 */
class ShardMemory
{
public:
  /**
   * Whether a job of aMemory fits beside the jobs that take aPublished and
   * those that were taken lately. If so, it counts as taken. A job is also
   * taken if the shard has no other.
   */
  bool Take(int aShard,
            std::int64_t aPublished,
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
