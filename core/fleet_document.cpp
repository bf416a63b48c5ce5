#include "core/fleet_document.h"

#include "core/error.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace bramleystall {

namespace {

nlohmann::json
ToJson(const VmRecord& aVm)
{
  nlohmann::json json = { { "address", aVm.m_address },
                          { "rack", aVm.m_rack },
                          { "pool", aVm.m_pool },
                          { "state", NameOf(kVmStateNames, aVm.m_state) },
                          { "since_ms", aVm.m_sinceMillis },
                          { "reason", aVm.m_reason } };
  const auto addText = [&json](const char* aKey, const std::string& aText) {
    if (!aText.empty()) {
      json[aKey] = aText;
    }
  };
  addText("target_pool", aVm.m_targetPool);
  addText("wave", aVm.m_wave);
  addText("reboot_token", aVm.m_rebootToken);
  if (aVm.m_maintainedMillis != 0) {
    json["maintained_ms"] = aVm.m_maintainedMillis;
  }
  if (aVm.m_drainRevision != 0) {
    json["drain_revision"] = aVm.m_drainRevision;
  }
  return json;
}

VmRecord
ParseVm(const std::string& aName, const nlohmann::json& aJson)
{
  const std::string stateName = aJson.at("state");
  const auto state = ValueOf(kVmStateNames, stateName);
  if (!state) {
    throw Error(
      ErrorCode::InvalidInput,
      absl::StrCat("VM '", aName, "' has unknown state '", stateName, "'"));
  }
  VmRecord vm;
  vm.m_name = aName;
  vm.m_address = aJson.at("address");
  vm.m_rack = aJson.at("rack");
  vm.m_pool = aJson.at("pool");
  vm.m_state = *state;
  vm.m_sinceMillis = aJson.at("since_ms");
  vm.m_reason = aJson.at("reason");
  vm.m_targetPool = aJson.value("target_pool", "");
  vm.m_wave = aJson.value("wave", "");
  vm.m_rebootToken = aJson.value("reboot_token", "");
  vm.m_maintainedMillis = aJson.value("maintained_ms", std::int64_t{ 0 });
  vm.m_drainRevision = aJson.value("drain_revision", std::uint64_t{ 0 });
  return vm;
}

}

FleetDocument
FleetDocument::Parse(const std::string& aJson)
{
  try {
    const auto json = nlohmann::json::parse(aJson);
    FleetDocument document;
    document.m_dataCentre = json.at("data_centre");
    document.m_revision = json.at("revision");
    document.m_term = json.at("term");
    document.m_writerToken = json.at("writer_token");
    for (const auto& [name, vm] : json.at("vms").items()) {
      document.m_vms.emplace(name, ParseVm(name, vm));
    }
    return document;
  } catch (const nlohmann::json::exception& error) {
    throw Error(ErrorCode::InvalidInput,
                absl::StrCat("fleet document: ", error.what()));
  }
}

std::string
FleetDocument::Serialize() const
{
  nlohmann::json vms = nlohmann::json::object();
  for (const auto& [name, vm] : m_vms) {
    vms[name] = ToJson(vm);
  }
  const nlohmann::json json = { { "data_centre", m_dataCentre },
                                { "revision", m_revision },
                                { "term", m_term },
                                { "writer_token", m_writerToken },
                                { "vms", std::move(vms) } };
  return json.dump();
}

}
