#include "review/platform_front.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <stdexcept>
#include <utility>

namespace third_review {

namespace {

using nlohmann::json;
using namespace second_review;

constexpr int kMaxDescriptors = 4100;

std::string
MakeFolder()
{
  std::string path = "/tmp/bramleystall-review-XXXXXX";
  if (mkdtemp(path.data()) == nullptr) {
    throw std::runtime_error("cannot make a temporary folder");
  }
  return path;
}

/** Adds the settings that deploy/settings.json.tmpl has since the stand-in for
 * a daemon was written, as they are on lican-gt. */
void
AddLimits(const std::string& aSettingsPath)
{
  json settings;
  std::ifstream(aSettingsPath) >> settings;
  settings["memory_mb"] = kMemoryMb;
  settings["max_fds"] = kMaxDescriptors;
  std::ofstream(aSettingsPath) << settings.dump(2);
}

}

PlatformFront::PlatformFront(SmallDeployment& aDeployment, StoreHook aHook)
  : m_deployment(aDeployment)
  , m_hook(std::move(aHook))
  , m_folder(MakeFolder())
  , m_store(
      [this](const HttpRequest& aRequest) { return HandleStore(aRequest); })
  , m_machines(
      [this](const HttpRequest& aRequest) { return HandleMachines(aRequest); })
{
}

HttpResponse
PlatformFront::HandleStore(const HttpRequest& aRequest)
{
  if (const auto response = m_hook(aRequest)) {
    return *response;
  }
  return m_deployment.Store().Handle(aRequest);
}

HttpResponse
PlatformFront::HandleMachines(const HttpRequest& aRequest)
{
  if (aRequest.m_path != "/bramleystall/machines") {
    // The pools of these deployments are pools of other machines.
    return { 400, "{}" };
  }
  json machines = json::array();
  for (const auto& worker : m_deployment.Workers()) {
    const WorkerDescription& description = worker->Description();
    machines.push_back({ { "machine", description.m_machine },
                         { "pool", description.m_service },
                         { "state", "up" },
                         { "zone", "gt-a" },
                         { "labels", description.m_labels },
                         { "capacity",
                           { { "cpu", description.m_cpu },
                             { "mem_mb", description.m_memoryMb },
                             { "gpu", 0 } } },
                         { "id", description.m_id } });
  }
  return { 200,
           json{ { "machines", std::move(machines) },
                 { "next_token", nullptr } }
             .dump() };
}

void
PlatformFront::AddDaemon()
{
  auto& daemons = m_deployment.Daemons();
  daemons.push_back(std::make_unique<DaemonProcess>(
    m_deployment.Log(),
    DaemonSettings{ .m_name = "front-" + std::to_string(1 + daemons.size()),
                    .m_store = m_store.Address(),
                    .m_machines = m_machines.Address(),
                    // No queue of these cases has advice.
                    .m_advice = m_machines.Address(),
                    .m_folder = m_folder }));
  AddLimits(m_folder + "/" + daemons.back()->Name() + ".json");
  daemons.back()->Start();
}

void
PlatformFront::RemoveFolder() const
{
  std::error_code ignored;
  if (std::getenv("KEEP") == nullptr) {
    std::filesystem::remove_all(m_folder, ignored);
  }
}

void
ConfigureQueue(SmallDeployment& aDeployment, const std::string& aService)
{
  aDeployment.Configure(1,
                        json::array({ { { "name", "r-1" },
                                        { "host", kHost },
                                        { "prefix", "/q/" },
                                        { "kind", "unsafe" },
                                        { "timeout_ms", 3000 },
                                        { "target_runtime_ms", 2500 },
                                        { "priority", 0 },
                                        { "service", aService },
                                        { "max_attempts", 4 },
                                        { "stretch", 2.2 } } }),
                        { aService });
}

}
