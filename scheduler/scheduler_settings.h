#pragma once

#include "scheduler/shard_status.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>

namespace bramleystall {

/** Deployment settings of the scheduler. */
struct SchedulerSettings
{
  /** Longest lease that a worker grants. */
  absl::Duration m_maxWorkerLease = absl::Seconds(6);
  /** How long the state of a final job stays available. */
  absl::Duration m_jobRetention = absl::Seconds(120);
  /** Longest time that a stop takes on a worker. */
  absl::Duration m_stopTime = absl::Milliseconds(400);
  /** Number of shards among which the caps of tenants are divided. */
  int m_shardCount = 1;
  /** See ShardStatus::m_memoryLimit. */
  std::function<std::int64_t()> m_memoryLimit = [] { return kMaxShardMemory; };
};

}
