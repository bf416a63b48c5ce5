#include "core/configuration_codec.h"

#include "core/error.h"
#include "core/service_codec.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <map>

namespace bramleystall {

namespace {

using nlohmann::json;

/** The content in a form that does not depend on the order of the files. */
json
CanonicalContent(const Configuration& aConfiguration)
{
  std::vector<ServiceSpec> services = aConfiguration.m_services;
  std::ranges::sort(services, {}, &ServiceSpec::m_name);
  json list = json::array();
  for (const ServiceSpec& service : services) {
    list.push_back(ServiceToJson(service));
  }
  return { { "fleet", FleetToJson(aConfiguration.m_fleet) },
           { "services", std::move(list) } };
}

std::map<std::string, json>
ServicesByName(const Configuration& aConfiguration)
{
  std::map<std::string, json> services;
  for (const ServiceSpec& service : aConfiguration.m_services) {
    services.emplace(service.m_name, ServiceToJson(service));
  }
  return services;
}

/** Services that are added (+), removed (-) or changed (~). */
std::vector<std::string>
ChangedServices(const Configuration& aOld, const Configuration& aNew)
{
  const auto before = ServicesByName(aOld);
  const auto after = ServicesByName(aNew);
  std::vector<std::string> changes;
  for (const auto& [name, service] : after) {
    const auto found = before.find(name);
    if (found == before.end()) {
      changes.push_back(absl::StrCat("+", name));
    } else if (found->second != service) {
      changes.push_back(absl::StrCat("~", name));
    }
  }
  for (const auto& [name, service] : before) {
    if (!after.contains(name)) {
      changes.push_back(absl::StrCat("-", name));
    }
  }
  return changes;
}

}

Configuration
ParseConfiguration(const std::string& aJson)
{
  try {
    const json document = json::parse(aJson);
    Configuration configuration;
    document.at("version").get_to(configuration.m_version);
    document.at("digest").get_to(configuration.m_digest);
    document.at("writer_token").get_to(configuration.m_writerToken);
    document.at("operator").get_to(configuration.m_operator);
    document.at("accepted_ms").get_to(configuration.m_acceptedMillis);
    configuration.m_fleet = FleetFromJson(document.at("fleet"));
    for (const json& service : document.at("services")) {
      configuration.m_services.push_back(ServiceFromJson(service));
    }
    return configuration;
  } catch (const json::exception& error) {
    throw Error(ErrorCode::InvalidInput,
                absl::StrCat("configuration: ", error.what()));
  }
}

std::string
SerializeConfiguration(const Configuration& aConfiguration)
{
  json document = CanonicalContent(aConfiguration);
  document["version"] = aConfiguration.m_version;
  document["digest"] = aConfiguration.m_digest;
  document["writer_token"] = aConfiguration.m_writerToken;
  document["operator"] = aConfiguration.m_operator;
  document["accepted_ms"] = aConfiguration.m_acceptedMillis;
  return document.dump();
}

std::string
DigestOf(const Configuration& aConfiguration)
{
  const std::string content = CanonicalContent(aConfiguration).dump();
  return absl::StrCat(
    absl::Hex(XXH3_64bits(content.data(), content.size()), absl::kZeroPad16));
}

std::string
DescribeChange(const Configuration& aOld, const Configuration& aNew)
{
  // The history holds 64 entries in one store value, so each entry is short.
  constexpr std::size_t kMaxNamedServices = 20;
  std::vector<std::string> changes = ChangedServices(aOld, aNew);
  const std::size_t count = changes.size();
  if (count > kMaxNamedServices) {
    changes.resize(kMaxNamedServices);
    changes.push_back(absl::StrCat("and ", count - kMaxNamedServices, " more"));
  }
  std::vector<std::string> parts;
  if (!changes.empty()) {
    parts.push_back(absl::StrCat("services: ", absl::StrJoin(changes, " ")));
  }
  if (FleetToJson(aOld.m_fleet) != FleetToJson(aNew.m_fleet)) {
    parts.emplace_back("fleet changed");
  }
  return parts.empty() ? "no change" : absl::StrJoin(parts, "; ");
}

}
