#include "tests/fakes/deployment.h"

#include "consul/configuration_publisher.h"
#include "consul/consul_store.h"
#include "consul/http_client.h"
#include "core/configuration_codec.h"
#include "core/service_file.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <stdexcept>

namespace bramleystall {

namespace {

constexpr int kAdminOffset = 10;
constexpr int kPeerOffset = 20;
constexpr absl::Duration kStartTimeout = absl::Seconds(30);
constexpr int kWorkersPerRack = 4;

std::string
LocalAddress(int aPort)
{
  return absl::StrCat("127.0.0.1:", aPort);
}

void
Put(const std::string& aUrl, const std::string& aBody)
{
  ClientRequest request;
  request.m_method = "PUT";
  request.m_url = aUrl;
  request.m_body = aBody;
  HttpClient().Send(request);
}

}

Deployment::Deployment(std::string aPrograms,
                       const std::string& aName,
                       int aFirstPort)
  : m_programs(std::move(aPrograms))
  , m_firstPort(aFirstPort)
  , m_dataCentreCount(aName == "consortium" ? 3 : 4)
  , m_daemonCount(aName == "consortium" ? 6 : 8)
  , m_configuration(
      LoadConfigurationFolder(
        absl::StrCat(BRAMLEYSTALL_SOURCE_DIR, "/examples/", aName, "/services"))
        .m_configuration)
{
}

void
Deployment::StartPlatform()
{
  m_platform = std::make_unique<ChildProcess>(
    m_programs + "/platform_stand_in", std::vector<std::string>{ "--port=0" });
  m_platformUrl = "http://" + LocalAddress(m_platform->WaitForPort());
}

std::string
Deployment::DataCentreOf(std::size_t aDaemon) const
{
  return absl::StrCat("dc", aDaemon % m_dataCentreCount + 1);
}

int
Deployment::AddVms(int aScale)
{
  m_target = std::make_unique<ChildProcess>(
    m_programs + "/target_stand_in",
    std::vector<std::string>{ "--port=0", "--connections=1000" });
  const int port = m_target->WaitForPort();
  std::map<std::string, FleetDocument> documents;
  int count = 0;
  const auto addPool = [&](const std::string& aPool, int aWorkers) {
    for (int i = 0; i < aWorkers; ++i, ++count) {
      const std::string dataCentre = DataCentreOf(count);
      FleetDocument& document = documents[dataCentre];
      document.m_dataCentre = dataCentre;
      document.m_revision = 1;
      VmRecord vm;
      vm.m_name = absl::StrCat("worker-", count);
      vm.m_address = LocalAddress(port);
      vm.m_rack = absl::StrCat(
        dataCentre,
        "-rack",
        count / (kWorkersPerRack * static_cast<int>(m_dataCentreCount)));
      vm.m_pool = aPool;
      vm.m_state = VmState::Ready;
      vm.m_reason = "probe_passed";
      document.m_vms[vm.m_name] = vm;
      const nlohmann::json node = { { "Node", vm.m_name },
                                    { "Address", "127.0.0.1" },
                                    { "NodeMeta",
                                      { { "port", absl::StrCat(port) },
                                        { "data_centre", dataCentre },
                                        { "rack", vm.m_rack },
                                        { "pool", aPool },
                                        { "kind", "target" } } } };
      Put(m_platformUrl + "/v1/catalog/register", node.dump());
    }
  };
  for (ServiceSpec& service : m_configuration.m_services) {
    service.m_poolWorkers *= aScale;
    addPool(service.m_pool, service.m_poolWorkers);
  }
  m_configuration.m_fleet.m_spareWorkers *= aScale;
  addPool(m_configuration.m_fleet.m_sparePool,
          m_configuration.m_fleet.m_spareWorkers);
  m_configuration.m_digest = DigestOf(m_configuration);
  ConsulSettings settings;
  settings.m_baseUrl = m_platformUrl;
  ConsulStore store(settings);
  for (const auto& [dataCentre, document] : documents) {
    store.Write({ { absl::StrCat("bramleystall/dc/", dataCentre, "/vms"),
                    document.Serialize(),
                    0 } },
                std::nullopt);
  }
  return count;
}

void
Deployment::WriteSettings(std::size_t aDaemon)
{
  const int number = static_cast<int>(aDaemon);
  nlohmann::json seeds = nlohmann::json::array();
  for (std::size_t i = 0; i < m_daemonCount; ++i) {
    seeds.push_back(
      { { "daemon", absl::StrCat("entry-", i) },
        { "data_centre", DataCentreOf(i) },
        { "address",
          LocalAddress(m_firstPort + kPeerOffset + static_cast<int>(i)) } });
  }
  const auto listen = [](int aPort) {
    return nlohmann::json{ { "address", "127.0.0.1" }, { "port", aPort } };
  };
  nlohmann::json peers = listen(m_firstPort + kPeerOffset + number);
  peers["seeds"] = seeds;
  nlohmann::json settings = { { "daemon", absl::StrCat("entry-", aDaemon) },
                              { "data_centre", DataCentreOf(aDaemon) },
                              { "callers", listen(m_firstPort + number) },
                              { "admin",
                                listen(m_firstPort + kAdminOffset + number) },
                              { "peers", peers },
                              { "platform", { { "url", m_platformUrl } } },
                              { "log", { { "level", "error" } } } };
  settings.update(m_addedSettings);
  m_folder.Write(absl::StrCat("entry-", aDaemon, ".json"), settings.dump());
}

void
Deployment::StartDaemons()
{
  for (std::size_t i = 0; i < m_daemonCount; ++i) {
    WriteSettings(i);
    const nlohmann::json node = { { "Node", absl::StrCat("entry-", i) },
                                  { "Address", "127.0.0.1" },
                                  { "NodeMeta",
                                    { { "port", "1" },
                                      { "data_centre", DataCentreOf(i) },
                                      { "rack", "entry" },
                                      { "pool", "" },
                                      { "kind", "entry" } } } };
    Put(m_platformUrl + "/v1/catalog/register", node.dump());
    m_daemons.push_back(StartProcess(i));
  }
}

std::unique_ptr<ChildProcess>
Deployment::StartProcess(std::size_t aDaemon) const
{
  const std::string settings =
    m_folder.Path(absl::StrCat("entry-", aDaemon, ".json"));
  return std::make_unique<ChildProcess>(
    m_programs + "/bramleystalld",
    std::vector<std::string>{ "--settings=" + settings });
}

void
Deployment::RestartDaemon(std::size_t aDaemon)
{
  m_daemons[aDaemon] = StartProcess(aDaemon);
}

void
Deployment::KillPlatform()
{
  m_platform.reset();
}

std::string
Deployment::CallerUrl(std::size_t aDaemon) const
{
  return absl::StrCat("http://",
                      LocalAddress(m_firstPort + static_cast<int>(aDaemon)));
}

void
Deployment::WaitUntilUp() const
{
  WaitForStatus([](const nlohmann::json&) { return true; });
}

void
Deployment::WaitUntilReady() const
{
  WaitForStatus([](const nlohmann::json& aStatus) {
    return aStatus.at("ready").get<bool>();
  });
}

void
Deployment::WaitForStatus(
  const std::function<bool(const nlohmann::json&)>& aCondition) const
{
  const absl::Time end = absl::Now() + kStartTimeout;
  for (std::size_t i = 0; i < m_daemons.size(); ++i) {
    const auto isMet = [&] {
      try {
        return aCondition(Status(i));
      } catch (const std::exception&) {
        // The daemon is not listening yet.
        return false;
      }
    };
    while (!isMet()) {
      if (absl::Now() > end) {
        throw std::runtime_error(
          "a daemon did not reach the expected status in time");
      }
      absl::SleepFor(absl::Milliseconds(50));
    }
  }
}

std::string
Deployment::Get(const std::string& aUrl) const
{
  ClientRequest request;
  request.m_url = aUrl;
  return HttpClient().Send(request).m_body;
}

nlohmann::json
Deployment::Status(std::size_t aDaemon) const
{
  return nlohmann::json::parse(Get(absl::StrCat(
    "http://",
    LocalAddress(m_firstPort + kAdminOffset + static_cast<int>(aDaemon)),
    "/v1/status")));
}

std::string
Deployment::MetricsText(std::size_t aDaemon) const
{
  return Get(absl::StrCat(
    "http://",
    LocalAddress(m_firstPort + kAdminOffset + static_cast<int>(aDaemon)),
    "/metrics"));
}

nlohmann::json
Deployment::StoreCalls() const
{
  return nlohmann::json::parse(Get(m_platformUrl + "/stand_in/calls"));
}

}
