#include "tests/stand_ins/caller/plan.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <stdexcept>

namespace bramleystall {

namespace {

PlannedService
ParseService(const nlohmann::json& aJson)
{
  PlannedService service;
  service.m_name = aJson.at("service").get<std::string>();
  service.m_host = aJson.value("host", service.m_host);
  service.m_method = aJson.value("method", service.m_method);
  service.m_path = aJson.value("path", service.m_path);
  service.m_rate = aJson.value("rate", service.m_rate);
  service.m_workMs = aJson.value("work_ms", service.m_workMs);
  service.m_deadline = absl::Milliseconds(
    aJson.value("deadline_ms", absl::ToInt64Milliseconds(service.m_deadline)));
  const bool isSafe = service.m_method == "GET" || service.m_method == "HEAD";
  service.m_isIdempotent = aJson.value("idempotent", isSafe);
  service.m_bodyBytes =
    isSafe ? 0 : aJson.value("body_bytes", service.m_bodyBytes);
  service.m_startSeconds = aJson.value("start_s", service.m_startSeconds);
  service.m_endSeconds = aJson.value("end_s", service.m_endSeconds);
  return service;
}

}

Plan
LoadPlan(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    throw std::runtime_error("cannot open the plan file " + aPath);
  }
  const auto json = nlohmann::json::parse(file);
  Plan plan;
  for (const auto& service : json.is_array() ? json : json.at("services")) {
    plan.m_services.push_back(ParseService(service));
  }
  if (json.is_object()) {
    plan.m_daemons = json.value("daemons", plan.m_daemons);
    plan.m_targets = json.value("targets", plan.m_targets);
  }
  return plan;
}

}
