#pragma once

#include "scheduler/shard_status.h"

#include <cstdint>
#include <map>
#include <string>

namespace bramleystall {

/** What a daemon knows of a shard when it chooses one for a job. */
struct ShardView
{
  /** See ShardStatus. */
  double m_capacity = 0;
  double m_load = 0;
  std::int64_t m_memory = 0;
  std::int64_t m_memoryLimit = kMaxShardMemory;
  /** The owner has published nothing for some time. */
  bool m_isSilent = false;
};

/**
 * Share of the new jobs that a shard gets, relative to other shards: its
 * capacity, less as its backlog exceeds what it can run at once. Shards whose
 * machines run long-running tasks so get fewer other jobs, and a shard that has
 * fallen behind catches up. A silent shard and one whose memory is full get
 * none.
 */
double
ShardWeight(const ShardView& aView);

/**
 * Chooses a shard in proportion to the weights; the job's id decides among
 * them, so that daemons with old views do not all choose the same shard.
 * Returns aFallback when no shard has a weight.
 */
int
ChooseShard(const std::map<int, ShardView>& aViews,
            const std::string& aJobId,
            int aFallback);

}
