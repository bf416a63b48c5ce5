#include "scheduler/shard_status.h"

#include "scheduler/published_load_codec.h"

#include <nlohmann/json.hpp>

namespace bramleystall {

using nlohmann::json;

std::string
EncodeShardStatus(const ShardStatus& aStatus)
{
  json body{ { "pending", aStatus.m_pending },
             { "capacity", aStatus.m_capacity },
             { "load", aStatus.m_load },
             { "memory", aStatus.m_memory },
             { "sequence", aStatus.m_sequence } };
  if (aStatus.m_published) {
    body["published"] = EncodePublishedLoad(*aStatus.m_published);
  }
  return body.dump();
}

std::optional<ShardStatus>
DecodeShardStatus(const std::string& aJson)
{
  try {
    const json body = json::parse(aJson);
    ShardStatus status{
      .m_pending =
        body.at("pending").get<std::map<std::string, std::int64_t>>(),
      .m_capacity = body.at("capacity").get<double>(),
      .m_load = body.at("load").get<double>(),
      // An earlier version does not publish it.
      .m_memory = body.value("memory", std::int64_t{ 0 }),
      .m_sequence = body.at("sequence").get<std::int64_t>()
    };
    if (const auto published = body.find("published");
        published != body.end()) {
      status.m_published = DecodePublishedLoad(*published);
    }
    return status;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}
