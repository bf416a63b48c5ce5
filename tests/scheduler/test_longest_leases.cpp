#include "tests/fakes/job_cluster.h"
#include "tests/fakes/quiet_log.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace bramleystall;

namespace {

constexpr absl::Duration kStartup = absl::Milliseconds(300);
const std::string kFirstTask = "job1.0.0.0";
const std::string kSecondTask = "job1.0.1.0";

/**
 * Daemon "one" loses its key just after a renewal and, as long as it counts on
 * its lease, starts a task on a worker that has restarted unnoticed. The
 * deadline of the start is a time on the earlier clock, so the worker grants
 * the longest lease. Daemon "two" takes over and cannot reach the worker, whose
 * entry is gone.
 */
void
PlayTakeover(JobCluster& aCluster, absl::Duration aLongestLease)
{
  aCluster.m_settings.m_maxWorkerLease = aLongestLease;
  aCluster.m_workers.SetMaxLease(aLongestLease);
  aCluster.m_workers.SetPlanner([](const std::string& aTask, std::int64_t) {
    return FakeRunPlan{ .m_time = aTask == kFirstTask ? absl::Milliseconds(100)
                                                      : absl::Seconds(60) };
  });
  aCluster.AddDaemon("one");
  aCluster.Run(absl::Seconds(30));
  aCluster.Submit(JobCluster::MakeJob("job1", 1, 2));
  while (!aCluster.m_workers.HasEverRun(kFirstTask)) {
    aCluster.Run(absl::Milliseconds(1));
  }
  JobCluster::Daemon& first = aCluster.At("one");
  Worker* worker = first.m_scheduler->WorkerOnMachine("machine-0");
  worker->m_avoidUntil = absl::InfiniteFuture();
  aCluster.Run(absl::Seconds(1));
  REQUIRE(aCluster.m_workers.StartCount() == 1);
  aCluster.AddDaemon("two");
  aCluster.At("two").m_workers.m_unreachableWorkers = { "worker-0" };
  const absl::Time ordersEnd = first.m_ownership->OrdersEndAt();
  while (first.m_ownership->OrdersEndAt() == ordersEnd) {
    aCluster.Run(absl::Milliseconds(1));
  }
  first.m_store.m_isPartitioned = true;
  aCluster.m_store.Revoke(aCluster.m_keys.Owner(), false);
  aCluster.UnlistWorker("worker-0");
  aCluster.ListWorker(JobCluster::MakeReport(1));
  aCluster.m_workers.Add(JobCluster::MakeReport(1));
  aCluster.RestartWorker("worker-0");
  aCluster.Run(absl::Milliseconds(2100));
  worker->m_avoidUntil = absl::InfinitePast();
  aCluster.Run(absl::Milliseconds(300));
  REQUIRE(aCluster.m_workers.RunningOn(kSecondTask).size() == 1);
  REQUIRE(first.m_ownership->HoldsLease());
  aCluster.Run(absl::Seconds(25));
  CHECK(aCluster.Owner() == "two");
  CHECK(aCluster.m_workers.StartCount(kSecondTask) == 2);
  for (const std::string& broken : aCluster.m_workers.Violations()) {
    FAIL_CHECK(broken);
  }
}

}

// Guards against a new owner that gives up the lease of a start at a worker
// that had restarted unnoticed (rule TWICE).
TEST_CASE("A new owner waits for the longest lease of 6 s", "[takeover]")
{
  const QuietLog quiet;
  JobCluster cluster(1);
  PlayTakeover(cluster, absl::Seconds(6));
}

// Guards against the same where workers grant longer leases (rule TWICE).
TEST_CASE("A new owner waits for the longest lease of 10 s", "[takeover]")
{
  const QuietLog quiet;
  JobCluster cluster(1);
  PlayTakeover(cluster, absl::Seconds(10));
}
