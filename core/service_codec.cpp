#include "core/service_codec.h"

#include "core/error.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace bramleystall {

namespace {

using nlohmann::json;

template<typename Value>
void
Read(const json& aJson, const char* aKey, Value& aValue)
{
  if (aJson.contains(aKey)) {
    aJson.at(aKey).get_to(aValue);
  }
}

void
ReadMillis(const json& aJson, const char* aKey, absl::Duration& aValue)
{
  if (aJson.contains(aKey)) {
    aValue = absl::Milliseconds(aJson.at(aKey).get<std::int64_t>());
  }
}

template<typename Table>
auto
ParseName(const Table& aTable, const std::string& aName)
{
  const auto value = ValueOf(aTable, aName);
  if (!value) {
    throw Error(ErrorCode::InvalidInput,
                absl::StrCat("unknown name '", aName, "' in a configuration"));
  }
  return *value;
}

template<typename Table, typename Enum>
void
ReadName(const Table& aTable, const json& aJson, const char* aKey, Enum& aValue)
{
  if (aJson.contains(aKey)) {
    aValue = ParseName(aTable, aJson.at(aKey).get<std::string>());
  }
}

void
ReadStop(const json& aJson, ServiceSpec& aService)
{
  ReadMillis(aJson, "grace_ms", aService.m_stopGrace);
  for (const json& measure : aJson.value("measures", json::array())) {
    aService.m_stopMeasures.push_back(
      ParseName(kStopMeasureNames, measure.get<std::string>()));
  }
}

void
ReadDeclared(const json& aJson, DeclaredSize& aSize)
{
  Read(aJson, "cores", aSize.m_cores);
  Read(aJson, "memory_mb", aSize.m_memoryMb);
  Read(aJson, "accelerators", aSize.m_accelerators);
  ReadMillis(aJson, "run_time_ms", aSize.m_runTime);
}

json
StopToJson(const ServiceSpec& aService)
{
  json measures = json::array();
  for (const StopMeasure measure : aService.m_stopMeasures) {
    measures.push_back(NameOf(kStopMeasureNames, measure));
  }
  return { { "grace_ms", absl::ToInt64Milliseconds(aService.m_stopGrace) },
           { "measures", std::move(measures) } };
}

json
DeclaredToJson(const DeclaredSize& aSize)
{
  return { { "cores", aSize.m_cores },
           { "memory_mb", aSize.m_memoryMb },
           { "accelerators", aSize.m_accelerators },
           { "run_time_ms", absl::ToInt64Milliseconds(aSize.m_runTime) } };
}

}

ServiceSpec
ServiceFromJson(const json& aJson)
{
  ServiceSpec service;
  aJson.at("name").get_to(service.m_name);
  aJson.at("team").get_to(service.m_team);
  aJson.at("pool").get_to(service.m_pool);
  aJson.at("kind").get_to(service.m_kind);
  Read(aJson, "pool_workers", service.m_poolWorkers);
  Read(aJson, "availability_budget", service.m_availabilityBudget);
  ReadName(kUrgencyNames, aJson, "urgency", service.m_urgency);
  Read(aJson, "weight", service.m_weight);
  Read(aJson, "hosts", service.m_hosts);
  Read(aJson, "path_prefix", service.m_pathPrefix);
  const json idempotent = aJson.value("idempotent", json::object());
  Read(idempotent, "methods", service.m_idempotentMethods);
  Read(idempotent, "paths", service.m_idempotentPaths);
  ReadMillis(aJson, "default_deadline_ms", service.m_defaultDeadline);
  ReadMillis(aJson, "max_deadline_ms", service.m_maxDeadline);
  Read(aJson, "queue_limit", service.m_queueLimit);
  ReadStop(aJson.value("stop", json::object()), service);
  ReadDeclared(aJson.value("declared", json::object()), service.m_declared);
  return service;
}

json
ServiceToJson(const ServiceSpec& aService)
{
  json service = {
    { "name", aService.m_name },
    { "team", aService.m_team },
    { "pool", aService.m_pool },
    { "kind", aService.m_kind },
    { "urgency", NameOf(kUrgencyNames, aService.m_urgency) },
    { "weight", aService.m_weight },
    { "hosts", aService.m_hosts },
    { "idempotent",
      { { "methods", aService.m_idempotentMethods },
        { "paths", aService.m_idempotentPaths } } },
    { "default_deadline_ms",
      absl::ToInt64Milliseconds(aService.m_defaultDeadline) },
    { "max_deadline_ms", absl::ToInt64Milliseconds(aService.m_maxDeadline) },
    { "queue_limit", aService.m_queueLimit },
    { "stop", StopToJson(aService) },
    { "declared", DeclaredToJson(aService.m_declared) },
  };
  if (aService.OwnsPool()) {
    service["pool_workers"] = aService.m_poolWorkers;
  }
  if (aService.m_availabilityBudget > 0) {
    service["availability_budget"] = aService.m_availabilityBudget;
  }
  if (!aService.m_pathPrefix.empty()) {
    service["path_prefix"] = aService.m_pathPrefix;
  }
  return service;
}

FleetSpec
FleetFromJson(const json& aJson)
{
  FleetSpec fleet;
  Read(aJson, "spare_pool", fleet.m_sparePool);
  Read(aJson, "spare_workers", fleet.m_spareWorkers);
  ReadName(kFailureDomainNames, aJson, "survive", fleet.m_survive);
  Read(aJson, "max_eviction_fraction", fleet.m_maxEvictionFraction);
  ReadMillis(aJson, "reboot_timeout_ms", fleet.m_rebootTimeout);
  ReadMillis(aJson, "vm_gone_after_ms", fleet.m_vmGoneAfter);
  ReadMillis(aJson, "surplus_hold_ms", fleet.m_surplusHold);
  Read(aJson, "wave_failure_limit", fleet.m_waveFailureLimit);
  Read(aJson, "slots_per_worker", fleet.m_slotsPerWorker);
  Read(aJson, "connections_per_worker", fleet.m_connectionsPerWorker);
  Read(aJson, "team_quotas", fleet.m_teamQuotas);
  const json weights = aJson.value("weights", json::object());
  Read(weights, "buffer_cost", fleet.m_weights.m_bufferCost);
  Read(weights, "rollout_time", fleet.m_weights.m_rolloutTime);
  Read(weights, "moves", fleet.m_weights.m_moves);
  Read(weights, "other_work", fleet.m_weights.m_otherWork);
  return fleet;
}

json
FleetToJson(const FleetSpec& aFleet)
{
  return {
    { "spare_pool", aFleet.m_sparePool },
    { "spare_workers", aFleet.m_spareWorkers },
    { "survive", NameOf(kFailureDomainNames, aFleet.m_survive) },
    { "max_eviction_fraction", aFleet.m_maxEvictionFraction },
    { "reboot_timeout_ms", absl::ToInt64Milliseconds(aFleet.m_rebootTimeout) },
    { "vm_gone_after_ms", absl::ToInt64Milliseconds(aFleet.m_vmGoneAfter) },
    { "surplus_hold_ms", absl::ToInt64Milliseconds(aFleet.m_surplusHold) },
    { "wave_failure_limit", aFleet.m_waveFailureLimit },
    { "slots_per_worker", aFleet.m_slotsPerWorker },
    { "connections_per_worker", aFleet.m_connectionsPerWorker },
    { "team_quotas", aFleet.m_teamQuotas },
    { "weights",
      { { "buffer_cost", aFleet.m_weights.m_bufferCost },
        { "rollout_time", aFleet.m_weights.m_rolloutTime },
        { "moves", aFleet.m_weights.m_moves },
        { "other_work", aFleet.m_weights.m_otherWork } } },
  };
}

}
