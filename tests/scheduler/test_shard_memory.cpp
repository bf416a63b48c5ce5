#include "scheduler/shard_chooser.h"
#include "scheduler/shard_memory.h"

#include <catch2/catch.hpp>

using namespace bramleystall;

namespace {

constexpr std::int64_t kHalf = kMaxShardMemory / 2;
const absl::Time kNow = absl::UnixEpoch();

}

// Guards against jobs of one daemon that fill a shard before its owner has
// published the first of them.
TEST_CASE("Jobs taken lately count until the owner has published them",
          "[scheduler]")
{
  ShardMemory memory;
  CHECK(memory.Take(0, 0, kHalf, kNow));
  CHECK(memory.Take(0, 0, kHalf, kNow));
  CHECK_FALSE(memory.Take(0, 0, 1, kNow));
  CHECK(memory.Take(1, 0, kHalf, kNow));
  CHECK(memory.TakenSince(kNow) == 3 * kHalf);
  CHECK(memory.Take(0, kHalf, kHalf, kNow + absl::Seconds(3)));
  CHECK_FALSE(memory.Take(0, kHalf, 1, kNow + absl::Seconds(3)));
}

// Guards against refusing a job for ever that is larger than the limit.
TEST_CASE("A shard without jobs takes one of any size", "[scheduler]")
{
  ShardMemory memory;
  CHECK(memory.Take(0, 0, 2 * kMaxShardMemory, kNow));
  CHECK_FALSE(memory.Take(0, 0, 1, kNow));
}

// Guards against a new job for a shard whose memory is full while others have
// room.
TEST_CASE("A shard whose memory is full gets no weight", "[scheduler]")
{
  CHECK(ShardWeight({ .m_capacity = 1, .m_memory = kMaxShardMemory }) == 0);
  CHECK(ShardWeight({ .m_capacity = 1, .m_memory = kMaxShardMemory - 1 }) > 0);
}
