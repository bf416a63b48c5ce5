#include "jobs/job_configuration.h"
#include "tests/fakes/job_cluster.h"
#include "tests/fakes/quiet_log.h"

#include <catch2/catch.hpp>

#include <string>

using namespace bramleystall;

namespace {

constexpr int kWorkers = 35;

/** A cluster whose queue has a policy that allows some workers only. */
struct AdvisedCluster : JobCluster
{
  AdvisedCluster()
    : JobCluster(kWorkers)
  {
    for (QueueSpec& queue : m_configuration.m_queues) {
      queue.m_needsAdvice = true;
    }
    AddDaemon("one");
    Run(absl::Seconds(1));
  }

  FakeWorkerClient& Client() { return At("one").m_workers; }
};

}

// Guards against a job that never starts, since the advice service is asked
// about the same 30 workers only (rule LOST, review/10).
TEST_CASE("A job starts on an allowed worker behind 30 others", "[scheduler]")
{
  const QuietLog quiet;
  AdvisedCluster cluster;
  cluster.Client().m_isAllowed = [](const std::string& aId) {
    return aId == "worker-9";
  };
  cluster.Submit(JobCluster::MakeJob("job1", 1, 1));
  cluster.Run(absl::Seconds(1));
  CHECK(cluster.State("job1") == "completed");
  CHECK(cluster.Client().m_adviceRequests.size() <= 2);
}

// Guards against a job that waits for its allowed workers that are full, while
// others that have room were not asked about (rule LOST).
TEST_CASE("A job starts beside full allowed workers on others", "[scheduler]")
{
  const QuietLog quiet;
  AdvisedCluster cluster;
  cluster.m_workers.SetPlan({ .m_time = absl::Seconds(60) });
  cluster.Client().m_isAllowed = [](const std::string& aId) {
    return aId == "worker-0" || aId == "worker-9";
  };
  JobRecord job = JobCluster::MakeJob("job1", 2, 1);
  job.m_steps.front().m_need = JobCluster::MakeReport(0).m_capacity;
  cluster.Submit(job);
  cluster.Run(absl::Seconds(2));
  CHECK(cluster.m_workers.RunningOn("job1.0.0.0").size() == 1);
  CHECK(cluster.m_workers.RunningOn("job1.0.0.1").size() == 1);
}

// Guards against a job that never starts, since a worker that may run it now
// was not allowed before it came back as another kind (rule LOST).
TEST_CASE("A restarted worker is asked about again", "[scheduler]")
{
  const QuietLog quiet;
  AdvisedCluster cluster;
  bool isAllowed = false;
  cluster.Client().m_isAllowed = [&isAllowed](const std::string& aId) {
    return isAllowed && aId == "worker-3";
  };
  cluster.Submit(JobCluster::MakeJob("job1", 1, 1));
  cluster.Run(absl::Seconds(2));
  REQUIRE(cluster.State("job1").empty());
  const std::size_t requests = cluster.Client().m_adviceRequests.size();
  CHECK(requests <= 2);
  isAllowed = true;
  cluster.RestartListedWorker("worker-3");
  cluster.Run(absl::Seconds(3));
  CHECK(cluster.State("job1") == "completed");
  CHECK(cluster.Client().m_adviceRequests.size() > requests);
}
