#pragma once

#include "core/machine_gateway.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace bramleystall {

/**
 * Division of the fleet into shards. Each shard has its own owner, machines
 * and jobs, so that the scheduling of a large fleet is spread over several
 * daemons. The division never changes once it is stored, so a machine or a job
 * has one owner at a time.
 */
class ShardLayout
{
public:
  /** One shard that holds everything. */
  ShardLayout() = default;

  /**
   * Divides machines evenly: each shard gets its part of each pool and of each
   * rack. The number of shards follows from the number of machines.
   */
  static ShardLayout Divide(std::vector<MachineEntry> aMachines,
                            std::int64_t aCreatedAtMs);

  /** Decodes the result of Encode. Throws Error (InvalidInput). */
  static ShardLayout Decode(const std::string& aJson);
  std::string Encode() const;

  int Count() const { return m_count; }
  /** Number of machines in the layout. */
  std::size_t MachineCount() const { return m_machines.size(); }
  /** Wall-clock time of the division in ms since the Unix epoch. */
  std::int64_t CreatedAtMs() const { return m_createdAtMs; }
  /** Shard in which a job is looked for first. */
  int OfJob(const std::string& aJobId) const;
  /**
   * Shard of a pool's long-running jobs, which share machines there. Each pool
   * has a different shard as far as there are enough, since such jobs occupy
   * many machines permanently.
   */
  int OfPool(const std::string& aPool) const;
  /** Shard of a machine; one added after the division is assigned by name. */
  int OfMachine(const std::string& aMachine) const;

private:
  int ByHash(const std::string& aName) const;

  int m_count = 1;
  std::int64_t m_createdAtMs = 0;
  std::vector<std::string> m_pools;
  std::unordered_map<std::string, int> m_machines;
};

}
