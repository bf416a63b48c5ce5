#include "daemon/status_report.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace bramleystall {

namespace {

using nlohmann::json;

/** JSON array of the results of a function for each element. */
template<typename Range, typename Function>
json
MapToArray(const Range& aRange, Function aFunction)
{
  json array = json::array();
  std::ranges::transform(aRange, std::back_inserter(array), aFunction);
  return array;
}

json
VmsToJson(const FleetDocument& aDocument)
{
  return MapToArray(aDocument.m_vms, [](const auto& aEntry) {
    const VmRecord& vm = aEntry.second;
    return json{ { "vm", aEntry.first },
                 { "pool", vm.m_pool },
                 { "state", NameOf(kVmStateNames, vm.m_state) },
                 { "rack", vm.m_rack },
                 { "target_pool", vm.m_targetPool },
                 { "wave", vm.m_wave },
                 { "reason", vm.m_reason },
                 { "maintained_ms", vm.m_maintainedMillis } };
  });
}

json
MembersToJson(const StatusInputs& aInputs)
{
  return MapToArray(aInputs.m_members, [&](const MemberView& aMember) {
    return json{ { "daemon", aMember.m_daemon },
                 { "data_centre", aMember.m_dataCentre },
                 { "liveness", NameOf(kLivenessNames, aMember.m_liveness) },
                 { "configuration_version", aMember.m_configurationVersion },
                 { "fleet_revision", aMember.m_fleetRevision },
                 { "last_heard_ms",
                   absl::ToInt64Milliseconds(aInputs.m_monotonicNow -
                                             aMember.m_lastHeard) } };
  });
}

json
ServicesToJson(const RequestPathStatus& aStatus)
{
  return MapToArray(aStatus.m_services, [](const ServiceStatus& aService) {
    return json{ { "service", aService.m_service },
                 { "queued", aService.m_queued },
                 { "in_flight", aService.m_inFlight },
                 { "started", aService.m_started },
                 { "refused", aService.m_refused } };
  });
}

json
TargetsToJson(const RequestPathStatus& aStatus)
{
  return MapToArray(aStatus.m_targets, [](const TargetStatus& aTarget) {
    return json{ { "vm", aTarget.m_vm },
                 { "pool", aTarget.m_pool },
                 { "health", NameOf(kHealthStateNames, aTarget.m_health) },
                 { "in_flight", aTarget.m_inFlight },
                 { "allowance", aTarget.m_allowance } };
  });
}

json
PoolsToJson(const std::vector<PoolReport>& aPools)
{
  return MapToArray(aPools, [](const PoolReport& aPool) {
    return json{
      { "pool", aPool.m_pool },         { "promised", aPool.m_promised },
      { "ready", aPool.m_ready },       { "margin", aPool.m_margin },
      { "spare", aPool.m_spare },       { "is_kept", aPool.m_isKept },
      { "shortage", aPool.m_shortage }, { "explanation", aPool.m_explanation }
    };
  });
}

}

std::string
MakeStatusReport(const StatusInputs& aInputs)
{
  json report = { { "daemon", aInputs.m_daemon },
                  { "data_centre", aInputs.m_dataCentre },
                  { "ready", aInputs.m_isReady },
                  { "is_decider", aInputs.m_isDecider },
                  { "term", aInputs.m_term },
                  { "configuration", nullptr },
                  { "fleet_revision", 0 },
                  { "vms", json::array() },
                  { "members", MembersToJson(aInputs) },
                  { "services", ServicesToJson(aInputs.m_requests) },
                  { "targets", TargetsToJson(aInputs.m_requests) },
                  { "pools", PoolsToJson(aInputs.m_pools) } };
  if (aInputs.m_configuration) {
    report["configuration"] = {
      { "version", aInputs.m_configuration->m_version },
      { "digest", aInputs.m_configuration->m_digest },
      { "accepted_ms", aInputs.m_configuration->m_acceptedMillis },
      { "in_effect_ms", aInputs.m_inEffectMillis }
    };
  }
  if (aInputs.m_fleetDocument) {
    report["fleet_revision"] = aInputs.m_fleetDocument->m_revision;
    report["vms"] = VmsToJson(*aInputs.m_fleetDocument);
  }
  return report.dump();
}

}
