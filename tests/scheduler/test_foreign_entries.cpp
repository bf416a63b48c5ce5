#include "tests/fakes/job_cluster.h"
#include "tests/fakes/quiet_log.h"

#include <catch2/catch.hpp>

#include <string>

using namespace bramleystall;

namespace {

constexpr absl::Duration kStartup = absl::Milliseconds(300);

}

// Guards against an entry of another writer under a worker's id, with a service
// that the configuration does not name and a later start time, that ends the
// tasks of a worker that does not respond just then (rule TWICE, issue 34).
TEST_CASE("An entry of another writer under a worker's id ends no task",
          "[scheduler]")
{
  const QuietLog quiet;
  const bool isAddressOther = GENERATE(false, true);
  const bool isReachable = GENERATE(false, true);
  const int entries = GENERATE(1, 5);
  INFO("reachable " << isReachable << ", entries " << entries);
  JobCluster cluster(2);
  cluster.m_workers.SetPlan({ .m_time = absl::Seconds(7) });
  cluster.AddDaemon("one");
  cluster.Run(kStartup);
  cluster.Submit(JobCluster::MakeJob("job1", 1, 1));
  // The worker has listed the task once.
  cluster.Run(absl::Milliseconds(1500));
  const std::string running = cluster.m_workers.RunningOn("job1.0.0.0").front();
  const WorkerReport report = cluster.m_reports.at(running);
  JobCluster::Daemon& owner = cluster.At("one");
  if (!isReachable) {
    owner.m_workers.m_unreachableWorkers = { running };
  }
  for (int i = 0; i < entries; ++i) {
    WorkerReport other = report;
    other.m_pool = "backup-agents";
    other.m_startTimeMs += 1000 + i;
    other.m_address = isAddressOther ? "10.0.9.9:80" : report.m_address;
    cluster.ListWorker(other);
    cluster.Run(absl::Milliseconds(400));
    cluster.ListWorker(report);
    cluster.Run(absl::Milliseconds(200));
  }
  owner.m_workers.m_unreachableWorkers.clear();
  cluster.Run(absl::Seconds(10));
  CHECK(cluster.State("job1") == "completed");
  CHECK(cluster.m_workers.StartCount() == 1);
  CHECK(cluster.m_workers.Violations().empty());
}

// Guards against a restart that is noticed only when the lease expires, because
// the entry that reports it ends no task by itself, also where the time of day
// has been set back and the entry has an earlier start time (rule LOST).
TEST_CASE("A reported restart starts the tasks again at once", "[scheduler]")
{
  const QuietLog quiet;
  const std::int64_t bornDifference = GENERATE(1000, -500);
  JobCluster cluster(2);
  cluster.m_workers.SetPlan({ .m_time = absl::Seconds(2) });
  for (auto& [id, report] : cluster.m_reports) {
    report.m_startTimeMs = 10'000;
    cluster.m_workers.Add(report);
  }
  cluster.AddDaemon("one");
  cluster.Run(kStartup);
  cluster.Submit(JobCluster::MakeJob("job1", 1, 1));
  cluster.Run(kStartup);
  const std::string running = cluster.m_workers.RunningOn("job1.0.0.0").front();
  WorkerReport report = cluster.m_reports.at(running);
  report.m_startTimeMs += bornDifference;
  cluster.m_workers.Crash(running);
  cluster.Run(absl::Milliseconds(300));
  cluster.m_workers.Add(report);
  cluster.ListWorker(report);
  cluster.Run(absl::Milliseconds(100));
  CHECK(cluster.m_workers.StartCount() == 2);
  cluster.Run(absl::Seconds(4));
  CHECK(cluster.State("job1") == "completed");
  CHECK(cluster.m_workers.Violations().empty());
}
