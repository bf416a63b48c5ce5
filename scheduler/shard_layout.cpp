#include "scheduler/shard_layout.h"

#include "core/error.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace bramleystall {

namespace {

using nlohmann::json;

/**
 * Machines of one shard. Fewer would not hold the long-running tasks of a pool
 * along with the other pools; more would need over half a core at a peak.
 */
constexpr std::size_t kMachinesPerShard = 85;
/** Each shard costs a lease renewal and some watches. */
constexpr std::size_t kMaxShards = 64;

}

ShardLayout
ShardLayout::Divide(std::vector<MachineEntry> aMachines,
                    std::int64_t aCreatedAtMs)
{
  ShardLayout layout;
  layout.m_createdAtMs = aCreatedAtMs;
  layout.m_count = static_cast<int>(
    std::clamp((aMachines.size() + kMachinesPerShard / 2) / kMachinesPerShard,
               std::size_t{ 1 },
               kMaxShards));
  std::ranges::sort(
    aMachines, [](const MachineEntry& aOne, const MachineEntry& aOther) {
      return std::tie(aOne.m_pool, aOne.m_labels, aOne.m_name) <
             std::tie(aOther.m_pool, aOther.m_labels, aOther.m_name);
    });
  // Pools that are off, such as a standby pool, have no long-running jobs.
  std::map<std::string, bool> isOff;
  for (const MachineEntry& machine : aMachines) {
    bool& isPoolOff = isOff.try_emplace(machine.m_pool, true).first->second;
    isPoolOff = isPoolOff && machine.m_state == MachineState::Down;
  }
  for (const bool isPoolOff : { false, true }) {
    for (const auto& [pool, state] : isOff) {
      if (state == isPoolOff) {
        layout.m_pools.push_back(pool);
      }
    }
  }
  int next = 0;
  for (const MachineEntry& machine : aMachines) {
    layout.m_machines[machine.m_name] = next;
    next = (next + 1) % layout.m_count;
  }
  return layout;
}

ShardLayout
ShardLayout::Decode(const std::string& aJson)
{
  try {
    const json body = json::parse(aJson);
    ShardLayout layout;
    layout.m_count = body.at("shards").get<int>();
    layout.m_machines =
      body.at("machines").get<std::unordered_map<std::string, int>>();
    layout.m_createdAtMs = body.at("created_at_ms").get<std::int64_t>();
    layout.m_pools = body.at("pools").get<std::vector<std::string>>();
    const bool isValid =
      layout.m_count > 0 &&
      std::ranges::all_of(layout.m_machines, [&layout](const auto& aEntry) {
        return aEntry.second >= 0 && aEntry.second < layout.m_count;
      });
    if (!isValid) {
      throw Error(ErrorCode::InvalidInput, "shard layout: shard out of range");
    }
    return layout;
  } catch (const json::exception& error) {
    throw Error(ErrorCode::InvalidInput,
                absl::StrCat("shard layout: ", error.what()));
  }
}

std::string
ShardLayout::Encode() const
{
  return json{
    { "shards", m_count },
    { "created_at_ms", m_createdAtMs },
    { "machines", m_machines },
    { "pools", m_pools }
  }.dump();
}

int
ShardLayout::ByHash(const std::string& aName) const
{
  return static_cast<int>(XXH3_64bits(aName.data(), aName.size()) %
                          static_cast<XXH64_hash_t>(m_count));
}

int
ShardLayout::OfJob(const std::string& aJobId) const
{
  return ByHash(aJobId);
}

int
ShardLayout::OfPool(const std::string& aPool) const
{
  const auto found = std::ranges::find(m_pools, aPool);
  return found == m_pools.end()
           ? ByHash(aPool)
           : static_cast<int>(found - m_pools.begin()) % m_count;
}

int
ShardLayout::OfMachine(const std::string& aMachine) const
{
  const auto found = m_machines.find(aMachine);
  return found == m_machines.end() ? ByHash(aMachine) : found->second;
}

}
