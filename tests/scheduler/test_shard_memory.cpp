#include "scheduler/shard_chooser.h"
#include "scheduler/shard_memory.h"
#include "scheduler/shard_status.h"

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
  CHECK(memory.Take(0, 0, kMaxShardMemory, kHalf, kNow));
  CHECK(memory.Take(0, 0, kMaxShardMemory, kHalf, kNow));
  CHECK_FALSE(memory.Take(0, 0, kMaxShardMemory, 1, kNow));
  CHECK(memory.Take(1, 0, kMaxShardMemory, kHalf, kNow));
  CHECK(memory.TakenSince(kNow) == 3 * kHalf);
  CHECK(memory.Take(0, kHalf, kMaxShardMemory, kHalf, kNow + absl::Seconds(3)));
  CHECK_FALSE(
    memory.Take(0, kHalf, kMaxShardMemory, 1, kNow + absl::Seconds(3)));
}

// Guards against refusing a job for ever that is larger than the limit.
TEST_CASE("A shard without jobs takes one of any size", "[scheduler]")
{
  ShardMemory memory;
  CHECK(memory.Take(0, 0, kMaxShardMemory, 2 * kMaxShardMemory, kNow));
  CHECK_FALSE(memory.Take(0, 0, kMaxShardMemory, 1, kNow));
}

// Guards against a new job for a shard whose memory is full while others have
// room.
TEST_CASE("A shard whose memory is full gets no weight", "[scheduler]")
{
  CHECK(ShardWeight({ .m_capacity = 1, .m_memory = kMaxShardMemory }) == 0);
  CHECK(ShardWeight({ .m_capacity = 1, .m_memory = kMaxShardMemory - 1 }) > 0);
}

// Guards against jobs that take more memory than the process may have, alone or
// with the jobs of further shards that it took over.
TEST_CASE("The limit of a shard follows its owner's memory", "[scheduler]")
{
  constexpr std::int64_t kMiB = 1024 * 1024;
  CHECK(ShardMemoryLimit(160, 1) == kMaxShardMemory);
  CHECK(ShardMemoryLimit(512, 1) == kMaxShardMemory);
  CHECK(ShardMemoryLimit(160, 3) == kMaxShardMemory / 3);
  CHECK(ShardMemoryLimit(160, 0) == kMaxShardMemory);
  CHECK(ShardMemoryLimit(60, 1) == 18 * kMiB);
}

// Guards against large jobs that leave no memory to small ones.
TEST_CASE("A reserve is open to small jobs only", "[scheduler]")
{
  constexpr std::int64_t kLimit = 256'000;
  CHECK(MemoryOpenTo(1'000, kLimit) == kLimit);
  CHECK(MemoryOpenTo(1'001, kLimit) == kLimit * 3 / 4);
}

// Guards against a daemon that ignores the limit of a shard's owner.
TEST_CASE("A shard at its own limit gets no weight", "[scheduler]")
{
  CHECK(ShardWeight(
          { .m_capacity = 1, .m_memory = 1'000, .m_memoryLimit = 1'000 }) == 0);
  const auto status = DecodeShardStatus(
    EncodeShardStatus({ .m_memory = 1, .m_memoryLimit = 1'000 }));
  REQUIRE(status);
  CHECK(status->m_memoryLimit == 1'000);
  const auto earlier = DecodeShardStatus(
    R"({"pending":{},"capacity":1,"load":0,"memory":1,"sequence":1})");
  REQUIRE(earlier);
  CHECK(earlier->m_memoryLimit == kMaxShardMemory);
}
