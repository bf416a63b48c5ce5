#include "tests/fakes/fleet_fixture.h"

#include <absl/strings/str_cat.h>
#include <boost/log/core.hpp>

#include <algorithm>

namespace bramleystall {

FleetFixture::FleetFixture(int aMachines)
  : m_cluster(aMachines)
{
  boost::log::core::get()->set_logging_enabled(false);
  m_cluster.m_configuration.m_pools["spare"] = { .m_name = "spare",
                                                 .m_isStandby = true };
  for (const auto& [id, report] : m_cluster.m_reports) {
    m_machines.Add({ .m_name = report.m_machine,
                     .m_pool = "counter",
                     .m_state = MachineState::Up,
                     .m_workerId = id });
  }
  m_machines.SetOnOrder(
    [this](const std::string& aMachine, const std::string& aPool) {
      Replace(aMachine, aPool);
    });
  m_cluster.AddDaemon("one");
  m_cluster.Run(absl::Milliseconds(300));
}

FleetFixture::~FleetFixture()
{
  m_controller.reset();
  boost::log::core::get()->set_logging_enabled(true);
}

void
FleetFixture::AddQueueWithPool(const std::string& aName)
{
  QueueSpec queue = m_cluster.m_configuration.m_queues.front();
  queue.m_name = aName;
  queue.m_pool = aName;
  m_cluster.m_configuration.m_queues.push_back(queue);
  m_cluster.m_configuration.m_pools[aName] = { .m_name = aName };
}

void
FleetFixture::StartController()
{
  m_controller = std::make_unique<FleetController>(
    FleetController::Environment{
      .m_loop = m_cluster.m_loop,
      .m_store = m_cluster.At("one").m_store,
      .m_machines = m_machines,
      .m_scheduler = *m_cluster.At("one").m_scheduler,
      .m_metrics = m_cluster.m_metrics,
      .m_layout = m_layout,
      .m_shard = 0,
      .m_configuration = [this]() -> const JobConfiguration& {
        return m_cluster.m_configuration;
      },
      .m_holdsLease =
        [this] {
          return m_holdsLease && m_cluster.At("one").m_ownership->HoldsLease();
        },
      .m_waveStatusKey =
        [](std::int64_t aWave) { return absl::StrCat("wave-status/", aWave); },
      .m_encodeWaveStatus =
        [](bool aIsCompleted) { return aIsCompleted ? "done" : "open"; } },
    FleetSettings{},
    MachineAuthority{ .m_holder = "one", .m_fencingToken = 7 });
}

void
FleetFixture::Replace(const std::string& aMachine, const std::string& aPool)
{
  const auto found =
    std::ranges::find_if(m_cluster.m_reports, [&aMachine](const auto& aEntry) {
      return aEntry.second.m_machine == aMachine;
    });
  WorkerReport report = found->second;
  Scheduler* scheduler = m_cluster.At("one").m_scheduler.get();
  m_cluster.m_workers.Crash(report.m_id);
  m_cluster.m_reports.erase(found);
  scheduler->OnWorkerRemoved(report.m_id);
  report.m_id += "x";
  report.m_startTimeMs += 1000;
  report.m_pool = aPool.empty() ? report.m_pool : aPool;
  m_cluster.m_reports[report.m_id] = report;
  if (aPool == "spare") {
    return;
  }
  m_cluster.m_loop.After(absl::Milliseconds(1500), [this, report] {
    m_cluster.m_workers.Add(report);
    if (m_cluster.At("one").m_scheduler != nullptr) {
      m_cluster.At("one").m_scheduler->OnWorkerReport(report);
    }
  });
}

MaintenanceWave
MakeWave(int aMachines, int aMaxConcurrent)
{
  MaintenanceWave wave;
  wave.m_number = 1;
  wave.m_durationS = 20;
  wave.m_maxConcurrent = aMaxConcurrent;
  for (int i = 0; i < aMachines; ++i) {
    wave.m_machines.push_back(absl::StrCat("machine-", i));
  }
  return wave;
}

}
