#include "core/daemon_settings.h"

#include "core/json_schema.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>

#include <set>

namespace bramleystall {

namespace {

using nlohmann::json;

ListenAddress
ParseListen(const json& aJson)
{
  return { aJson.at("address"), aJson.at("port").get<std::uint16_t>() };
}

CallerSettings
ParseCallers(const json& aJson)
{
  CallerSettings callers;
  callers.m_listen = ParseListen(aJson);
  callers.m_threads = aJson.value("threads", callers.m_threads);
  callers.m_maxRequestBytes =
    aJson.value("max_request_bytes", callers.m_maxRequestBytes);
  callers.m_maxResponseBytes =
    aJson.value("max_response_bytes", callers.m_maxResponseBytes);
  return callers;
}

PeerSettings
ParsePeers(const json& aJson)
{
  PeerSettings peers;
  peers.m_listen = ParseListen(aJson);
  for (const json& seed : aJson.value("seeds", json::array())) {
    peers.m_seeds.push_back(
      { seed.at("daemon"), seed.at("data_centre"), seed.at("address") });
  }
  return peers;
}

absl::Duration
ReadMillis(const json& aJson, const char* aKey, absl::Duration aDefault)
{
  return absl::Milliseconds(
    aJson.value(aKey, absl::ToInt64Milliseconds(aDefault)));
}

DaemonSettings
FromJson(const json& aJson)
{
  DaemonSettings settings;
  settings.m_daemon = aJson.at("daemon");
  settings.m_dataCentre = aJson.at("data_centre");
  settings.m_callers = ParseCallers(aJson.at("callers"));
  settings.m_admin = ParseListen(aJson.at("admin"));
  settings.m_peers = ParsePeers(aJson.at("peers"));
  const json& platform = aJson.at("platform");
  settings.m_platform.m_url = platform.at("url");
  settings.m_platform.m_timeout =
    ReadMillis(platform, "timeout_ms", settings.m_platform.m_timeout);
  settings.m_leaseTtl = ReadMillis(aJson.value("decider", json::object()),
                                   "lease_ttl_ms",
                                   settings.m_leaseTtl);
  const json log = aJson.value("log", json::object());
  settings.m_logLevel =
    ValueOf(kLogLevelNames, log.value("level", "info")).value();
  settings.m_logFormat =
    ValueOf(kLogFormatNames, log.value("format", "text")).value();
  settings.m_drainTimeout =
    ReadMillis(aJson, "drain_timeout_ms", settings.m_drainTimeout);
  ProcessLimits& limits = settings.m_limits;
  limits.m_memoryMb = aJson.value("memory_mb", limits.m_memoryMb);
  limits.m_maxDescriptors = aJson.value("max_fds", limits.m_maxDescriptors);
  limits.m_requestReadTimeout =
    ReadMillis(aJson, "request_read_timeout_ms", limits.m_requestReadTimeout);
  return settings;
}

void
CheckListen(const std::string& aPrefix,
            const ListenAddress& aListen,
            std::vector<std::string>& aErrors)
{
  if (!IsIpv4Address(aListen.m_address)) {
    aErrors.push_back(absl::StrCat(aPrefix,
                                   "/address: value \"",
                                   aListen.m_address,
                                   "\", expected an IPv4 address"));
  }
}

/** Without this check, a port that two servers share would fail only when the
 * daemon starts to listen. */
void
CheckPorts(const std::string& aFile,
           const DaemonSettings& aSettings,
           std::vector<std::string>& aErrors)
{
  std::set<std::uint16_t> ports;
  for (const ListenAddress* listen : { &aSettings.m_callers.m_listen,
                                       &aSettings.m_admin,
                                       &aSettings.m_peers.m_listen }) {
    if (!ports.insert(listen->m_port).second) {
      aErrors.push_back(
        absl::StrCat(aFile,
                     ": /: port ",
                     listen->m_port,
                     " is used twice, expected a different port for callers, "
                     "admin and peers"));
    }
  }
}

void
CheckSeeds(const std::string& aFile,
           const DaemonSettings& aSettings,
           std::vector<std::string>& aErrors)
{
  std::set<std::string> names;
  for (std::size_t i = 0; i < aSettings.m_peers.m_seeds.size(); ++i) {
    const PeerSeed& seed = aSettings.m_peers.m_seeds[i];
    const std::string location = absl::StrCat(aFile, ": /peers/seeds/", i);
    if (!IsIpv4AddressWithPort(seed.m_address)) {
      aErrors.push_back(
        absl::StrCat(location,
                     "/address: value \"",
                     seed.m_address,
                     "\", expected an IPv4 address and a port"));
    }
    if (!names.insert(seed.m_daemon).second) {
      aErrors.push_back(absl::StrCat(location,
                                     "/daemon: value \"",
                                     seed.m_daemon,
                                     "\", expected each daemon once"));
    }
  }
}

}

bool
IsIpv4Address(const std::string& aText)
{
  in_addr address{};
  return inet_pton(AF_INET, aText.c_str(), &address) == 1;
}

bool
IsIpv4AddressWithPort(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  int port = 0;
  return colon != std::string::npos && IsIpv4Address(aText.substr(0, colon)) &&
         absl::SimpleAtoi(aText.substr(colon + 1), &port) && port >= 1 &&
         port <= 65535;
}

DaemonSettings
LoadDaemonSettings(const std::string& aPath)
{
  std::vector<std::string> errors;
  const json document = LoadChecked(SchemaName::DaemonSettings, aPath, errors);
  ThrowIfAny(errors);
  DaemonSettings settings = FromJson(document);
  CheckListen(
    absl::StrCat(aPath, ": /callers"), settings.m_callers.m_listen, errors);
  CheckListen(absl::StrCat(aPath, ": /admin"), settings.m_admin, errors);
  CheckListen(
    absl::StrCat(aPath, ": /peers"), settings.m_peers.m_listen, errors);
  CheckPorts(aPath, settings, errors);
  CheckSeeds(aPath, settings, errors);
  ThrowIfAny(errors);
  return settings;
}

}
