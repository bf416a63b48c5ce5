#include "core/job_settings.h"

#include "core/error.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <sstream>

namespace bramleystall {

namespace {

using nlohmann::json;

[[noreturn]] void
Fail(const std::string& aMessage)
{
  throw Error(ErrorCode::InvalidInput, absl::StrCat("settings: ", aMessage));
}

const json&
Field(const json& aObject, const std::string& aName)
{
  const auto found = aObject.find(aName);
  if (found == aObject.end()) {
    Fail(absl::StrCat("'", aName, "' is missing"));
  }
  return *found;
}

std::string
Text(const json& aObject, const std::string& aName)
{
  const json& value = Field(aObject, aName);
  if (!value.is_string() || value.get_ref<const std::string&>().empty()) {
    Fail(absl::StrCat("'", aName, "' must be a text that is not empty"));
  }
  return value.get<std::string>();
}

double
Number(const json& aObject, const std::string& aName)
{
  const json& value = Field(aObject, aName);
  if (!value.is_number() || value.get<double>() < 0) {
    Fail(absl::StrCat("'", aName, "' must be a number that is not negative"));
  }
  return value.get<double>();
}

absl::Duration
Time(const json& aObject, const std::string& aName, absl::Duration aUnit)
{
  return Number(aObject, aName) * aUnit;
}

}

JobSettings
ParseJobSettings(const std::string& aJson)
{
  const json body = json::parse(aJson, nullptr, false);
  if (!body.is_object()) {
    Fail("the file holds no JSON object");
  }
  const json& listen = Field(body, "listen");
  if (!listen.is_object()) {
    Fail("'listen' must be an object");
  }
  const absl::Duration ms = absl::Milliseconds(1);
  const absl::Duration s = absl::Seconds(1);
  JobSettings settings;
  settings.m_daemon = Text(body, "daemon");
  settings.m_dataCentre = Text(body, "data_centre");
  settings.m_callerAddress = Text(listen, "callers");
  settings.m_readyAddress = Text(listen, "ready");
  settings.m_storeAddress = Text(body, "store");
  settings.m_machineAddress = Text(body, "machines");
  settings.m_adviceAddress = body.value("advice", "");
  settings.m_grace = Time(body, "grace_ms", ms);
  settings.m_maxWorkerLease = Time(body, "max_worker_lease_ms", ms);
  settings.m_stopTime = Time(body, "stop_ms", ms);
  settings.m_jobRetention = Time(body, "job_retention_s", s);
  settings.m_disruptionNotice = Time(body, "notice_ms", ms);
  settings.m_moveTime = Time(body, "move_s", s);
  settings.m_maintenanceTime = Time(body, "upkeep_s", s);
  settings.m_machineTurn = Time(body, "machine_turn_ms", ms);
  settings.m_machineOrdersPerSecond = Number(body, "machine_orders_per_s");
  settings.m_machineReadsPerSecond = Number(body, "machine_reads_per_s");
  settings.m_cores = Number(body, "cores");
  settings.m_linkMbps = Number(body, "link_mbps");
  return settings;
}

JobSettings
LoadJobSettings(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    Fail(absl::StrCat("cannot read ", aPath));
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseJobSettings(text.str());
}

}
