#include "scheduler/shard_status.h"

#include <nlohmann/json.hpp>

namespace bramleystall {

using nlohmann::json;

std::string
EncodeShardStatus(const ShardStatus& aStatus)
{
  return json{
    { "pending", aStatus.m_pending },
    { "capacity", aStatus.m_capacity },
    { "load", aStatus.m_load },
    { "memory", aStatus.m_memory },
    { "memory_limit", aStatus.m_memoryLimit },
    { "sequence", aStatus.m_sequence }
  }.dump();
}

std::optional<ShardStatus>
DecodeShardStatus(const std::string& aJson)
{
  try {
    const json body = json::parse(aJson);
    return ShardStatus{
      .m_pending =
        body.at("pending").get<std::map<std::string, std::int64_t>>(),
      .m_capacity = body.at("capacity").get<double>(),
      .m_load = body.at("load").get<double>(),
      // Earlier versions do not publish these.
      .m_memory = body.value("memory", std::int64_t{ 0 }),
      .m_memoryLimit = body.value("memory_limit", kMaxShardMemory),
      .m_sequence = body.at("sequence").get<std::int64_t>()
    };
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}
