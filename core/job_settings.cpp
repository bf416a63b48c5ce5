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
ThrowInvalidInput(const std::string& aMessage)
{
  throw Error(ErrorCode::InvalidInput, absl::StrCat("settings: ", aMessage));
}

const json&
RequireField(const json& aObject, const std::string& aName)
{
  const auto found = aObject.find(aName);
  if (found == aObject.end()) {
    ThrowInvalidInput(absl::StrCat("'", aName, "' is missing"));
  }
  return *found;
}

std::string
ReadText(const json& aObject, const std::string& aName)
{
  const json& value = RequireField(aObject, aName);
  if (!value.is_string() || value.get_ref<const std::string&>().empty()) {
    ThrowInvalidInput(absl::StrCat("'", aName, "' must be a non-empty string"));
  }
  return value.get<std::string>();
}

double
ReadNumber(const json& aObject, const std::string& aName)
{
  const json& value = RequireField(aObject, aName);
  if (!value.is_number() || value.get<double>() < 0) {
    ThrowInvalidInput(
      absl::StrCat("'", aName, "' must be a non-negative number"));
  }
  return value.get<double>();
}

absl::Duration
ReadDuration(const json& aObject,
             const std::string& aName,
             absl::Duration aUnit)
{
  return ReadNumber(aObject, aName) * aUnit;
}

/** An optional setting that is a number of aMinimum or more; fractions are
 * dropped. */
std::int64_t
ReadLimit(const json& aObject,
          const std::string& aName,
          std::int64_t aDefault,
          std::int64_t aMinimum)
{
  const auto found = aObject.find(aName);
  if (found == aObject.end()) {
    return aDefault;
  }
  // The upper bound keeps the conversion to an integer defined.
  constexpr double kMaximum = 1e9;
  const double value = found->is_number() ? found->get<double>() : -1;
  if (value < static_cast<double>(aMinimum) || value > kMaximum) {
    ThrowInvalidInput(absl::StrCat(
      "'", aName, "' must be a number of ", aMinimum, " to 1000000000"));
  }
  return static_cast<std::int64_t>(value);
}

ProcessLimits
ReadProcessLimits(const json& aObject)
{
  ProcessLimits limits;
  limits.m_memoryMb = ReadLimit(
    aObject, "memory_mb", limits.m_memoryMb, ProcessLimits::kMinMemoryMb);
  limits.m_maxDescriptors = ReadLimit(aObject,
                                      "max_fds",
                                      limits.m_maxDescriptors,
                                      ProcessLimits::kMinDescriptors);
  limits.m_requestReadTimeout = absl::Milliseconds(
    ReadLimit(aObject,
              "request_read_timeout_ms",
              absl::ToInt64Milliseconds(limits.m_requestReadTimeout),
              ProcessLimits::kMinRequestReadTimeoutMs));
  return limits;
}

}

JobSettings
ParseJobSettings(const std::string& aJson)
{
  const json body = json::parse(aJson, nullptr, false);
  if (!body.is_object()) {
    ThrowInvalidInput("expected a JSON object");
  }
  const json& listen = RequireField(body, "listen");
  if (!listen.is_object()) {
    ThrowInvalidInput("'listen' must be an object");
  }
  const absl::Duration ms = absl::Milliseconds(1);
  const absl::Duration s = absl::Seconds(1);
  JobSettings settings;
  settings.m_daemon = ReadText(body, "daemon");
  settings.m_dataCentre = ReadText(body, "data_centre");
  settings.m_callerAddress = ReadText(listen, "callers");
  settings.m_readyAddress = ReadText(listen, "ready");
  settings.m_storeAddress = ReadText(body, "store");
  settings.m_machineAddress = ReadText(body, "machines");
  settings.m_adviceAddress = body.value("advice", "");
  settings.m_terminationGracePeriod = ReadDuration(body, "grace_ms", ms);
  settings.m_maxWorkerLease = ReadDuration(body, "max_worker_lease_ms", ms);
  settings.m_stopTime = ReadDuration(body, "stop_ms", ms);
  settings.m_jobRetention = ReadDuration(body, "job_retention_s", s);
  settings.m_disruptionThreshold = ReadDuration(body, "notice_ms", ms);
  settings.m_moveTime = ReadDuration(body, "move_s", s);
  settings.m_maintenanceTime = ReadDuration(body, "upkeep_s", s);
  settings.m_machineTurn = ReadDuration(body, "machine_turn_ms", ms);
  settings.m_machineOrdersPerSecond = ReadNumber(body, "machine_orders_per_s");
  settings.m_machineReadsPerSecond = ReadNumber(body, "machine_reads_per_s");
  settings.m_cores = ReadNumber(body, "cores");
  settings.m_linkMbps = ReadNumber(body, "link_mbps");
  settings.m_limits = ReadProcessLimits(body);
  return settings;
}

JobSettings
LoadJobSettings(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    ThrowInvalidInput(absl::StrCat("cannot read ", aPath));
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseJobSettings(text.str());
}

}
