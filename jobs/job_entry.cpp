#include "jobs/job_entry.h"

#include "jobs/job_record.h"

#include <nlohmann/json.hpp>

namespace bramleystall {

namespace {

using nlohmann::json;

constexpr const char* kShardField = "shard";
constexpr const char* kStateField = "state";
constexpr const char* kTenantField = "tenant";

}

std::string
TenantOfEntry(const JobRecord& aRecord)
{
  return aRecord.m_isPublic ? "" : aRecord.m_tenant;
}

std::string
EncodeJobEntry(const JobEntry& aEntry)
{
  json body = { { kShardField, aEntry.m_shard } };
  if (aEntry.m_finalState) {
    body[kStateField] = NameOf(kJobStateNames, *aEntry.m_finalState);
  }
  if (!aEntry.m_tenant.empty()) {
    body[kTenantField] = aEntry.m_tenant;
  }
  return body.dump();
}

std::optional<JobEntry>
DecodeJobEntry(const std::string& aJson)
{
  const json body = json::parse(aJson, nullptr, false);
  if (!body.is_object()) {
    return std::nullopt;
  }
  const auto shard = body.find(kShardField);
  if (shard == body.end() || !shard->is_number_integer()) {
    return std::nullopt;
  }
  JobEntry entry;
  entry.m_shard = shard->get<int>();
  const auto tenant = body.find(kTenantField);
  if (tenant != body.end()) {
    if (!tenant->is_string()) {
      return std::nullopt;
    }
    entry.m_tenant = tenant->get<std::string>();
  }
  const auto state = body.find(kStateField);
  if (state == body.end()) {
    return entry;
  }
  if (!state->is_string()) {
    return std::nullopt;
  }
  entry.m_finalState = ValueOf(kJobStateNames, state->get<std::string>());
  return entry.m_finalState ? std::optional(entry) : std::nullopt;
}

}
