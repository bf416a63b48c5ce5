#pragma once

#include <vector>

namespace bramleystall {

/**
 * Part of a wave's limit that one shard may have down at once. The machines of
 * the wave are counted by shard, 0 for shards that have completed it. The
 * parts add up to the limit, and a part never shrinks when another shard
 * completes, so shards that learn of a completion at different times stay
 * within the limit together.
 */
int
WaveShare(const std::vector<int>& aMachines, int aShard, int aLimit);

}
