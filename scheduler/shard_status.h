#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace bramleystall {

/** Largest memory in bytes that the jobs of a shard may take: 3/10 of the
 * smallest VM's 160 MiB. */
inline constexpr std::int64_t kMaxShardMemory = 48 * 1024 * 1024;

/**
 * What the owner of a shard publishes for all daemons. Loads are in units of
 * one machine's capacity.
 */
struct ShardStatus
{
  /** Number of jobs in each queue without a started task. */
  std::map<std::string, std::int64_t> m_pending;
  /** Capacity for jobs that end; 0 while the machines are not known. */
  double m_capacity = 0;
  /** Load of the placed and the waiting tasks of such jobs. */
  double m_load = 0;
  /** Memory in bytes that the accepted jobs may take at most. */
  std::int64_t m_memory = 0;
  /** Memory in bytes above which the owner takes no further jobs. */
  std::int64_t m_memoryLimit = kMaxShardMemory;
  /** Rises with each publication, so that a silent owner is noticed. */
  std::int64_t m_sequence = 0;
};

std::string
EncodeShardStatus(const ShardStatus& aStatus);

/** Decodes the result of EncodeShardStatus; unset for any other text. */
std::optional<ShardStatus>
DecodeShardStatus(const std::string& aJson);

}
