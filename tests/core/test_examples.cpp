#include "core/daemon_settings.h"
#include "core/service_file.h"
#include "core/tool_settings.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <map>
#include <set>

using namespace bramleystall;

namespace {

struct Deployment
{
  std::string m_name;
  std::size_t m_daemons;
  std::size_t m_dataCentres;
  /** Workers of each pool, sorted (docs/design.md, 1.6). */
  std::vector<int> m_workers;
};

std::string
DeploymentFolder(const Deployment& aDeployment)
{
  return absl::StrCat(
    BRAMLEYSTALL_SOURCE_DIR, "/examples/", aDeployment.m_name);
}

std::vector<DaemonSettings>
LoadDaemons(const Deployment& aDeployment)
{
  std::vector<DaemonSettings> daemons;
  for (const auto& entry : std::filesystem::directory_iterator(
         DeploymentFolder(aDeployment) + "/daemons")) {
    daemons.push_back(LoadDaemonSettings(entry.path().string()));
  }
  return daemons;
}

std::string
PeerAddress(const DaemonSettings& aDaemon)
{
  const ListenAddress& listen = aDaemon.m_peers.m_listen;
  return absl::StrCat(listen.m_address, ":", listen.m_port);
}

}

// Guards against examples that no longer match the schemas or the sizes of the
// deployments that they describe.
TEST_CASE("The examples are valid and have the deployments' sizes", "[core]")
{
  const auto deployment =
    GENERATE(Deployment{ "consortium", 6, 3, { 9, 9, 11, 12 } },
             Deployment{ "cooperative", 8, 4, { 8, 8, 10, 12 } });
  const auto folder =
    LoadConfigurationFolder(DeploymentFolder(deployment) + "/services");
  CHECK(folder.m_warnings.empty());
  CHECK(folder.m_configuration.m_fleet.m_spareWorkers == 8);
  std::vector<int> workers;
  for (const ServiceSpec& service : folder.m_configuration.m_services) {
    if (service.OwnsPool()) {
      workers.push_back(service.m_poolWorkers);
    }
  }
  std::ranges::sort(workers);
  CHECK(workers == deployment.m_workers);
  const auto daemons = LoadDaemons(deployment);
  CHECK(daemons.size() == deployment.m_daemons);
  std::set<std::string> dataCentres;
  for (const DaemonSettings& daemon : daemons) {
    dataCentres.insert(daemon.m_dataCentre);
  }
  CHECK(dataCentres.size() == deployment.m_dataCentres);
}

// Guards against seeds and admin addresses that refer to no daemon, and against
// ports that two daemons of one machine would share.
TEST_CASE("The examples' addresses agree with each other", "[core]")
{
  const auto deployment = GENERATE(Deployment{ "consortium", 0, 0, {} },
                                   Deployment{ "cooperative", 0, 0, {} });
  const auto daemons = LoadDaemons(deployment);
  const ToolSettings tool =
    LoadToolSettings(DeploymentFolder(deployment) + "/bramleystall.json");
  std::map<std::string, std::string> peers;
  std::set<std::uint16_t> ports;
  std::set<std::string> admins;
  for (const DaemonSettings& daemon : daemons) {
    peers[daemon.m_daemon] = PeerAddress(daemon);
    ports.insert({ daemon.m_callers.m_listen.m_port,
                   daemon.m_admin.m_port,
                   daemon.m_peers.m_listen.m_port });
    admins.insert(daemon.m_admin.m_address + ":" +
                  std::to_string(daemon.m_admin.m_port));
    CHECK(daemon.m_platform.m_url == tool.m_platform.m_url);
  }
  CHECK(ports.size() == 3 * daemons.size());
  CHECK(std::set<std::string>(tool.m_adminAddresses.begin(),
                              tool.m_adminAddresses.end()) == admins);
  for (const DaemonSettings& daemon : daemons) {
    CHECK(daemon.m_peers.m_seeds.size() == daemons.size() - 1);
    for (const PeerSeed& seed : daemon.m_peers.m_seeds) {
      CHECK(peers[seed.m_daemon] == seed.m_address);
    }
  }
}
