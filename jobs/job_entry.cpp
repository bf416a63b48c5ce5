#include "jobs/job_entry.h"

#include "jobs/job_record.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace bramleystall {

namespace {

using nlohmann::json;

constexpr const char* kShardField = "shard";
constexpr const char* kStateField = "state";
constexpr const char* kTenantField = "tenant";
/** Only in a tombstone. It has no shard, so that earlier versions reject it as
 * malformed instead of taking it for the entry of a job. */
constexpr const char* kCancelledByField = "cancelled_by";

std::optional<JobEntry>
DecodeTombstone(const json& aTenants)
{
  const auto isString = [](const json& aTenant) { return aTenant.is_string(); };
  if (!aTenants.is_array() || !std::ranges::all_of(aTenants, isString)) {
    return std::nullopt;
  }
  return JobEntry{ .m_cancelledBy = aTenants.get<std::vector<std::string>>() };
}

}

bool
JobEntry::IsCancelledBy(const std::string& aTenant) const
{
  return m_cancelledBy && std::ranges::count(*m_cancelledBy, aTenant) > 0;
}

std::string
TenantOfEntry(const JobRecord& aRecord)
{
  return aRecord.m_isPublic ? "" : aRecord.m_tenant;
}

std::string
EncodeJobEntry(const JobEntry& aEntry)
{
  if (aEntry.m_cancelledBy) {
    return json{ { kCancelledByField, *aEntry.m_cancelledBy } }.dump();
  }
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
  const auto cancelledBy = body.find(kCancelledByField);
  if (cancelledBy != body.end()) {
    return DecodeTombstone(*cancelledBy);
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
