#include "jobs/job_entry.h"
#include "tests/fakes/job_cluster.h"
#include "tests/fakes/quiet_log.h"

#include <catch2/catch.hpp>

using namespace bramleystall;

// Guards against a job that other tenants can read, or that its own tenant
// cannot, once it has ended.
TEST_CASE("The final entry of a job keeps its tenant", "[tenants]")
{
  const QuietLog quiet;
  JobCluster cluster(2);
  cluster.AddDaemon("one");
  cluster.Run(absl::Milliseconds(300));
  JobRecord job = JobCluster::MakeJob("job1", 1, 1);
  job.m_tenant = "acme";
  job.m_isPublic = GENERATE(false, true);
  cluster.Submit(job);
  cluster.Run(absl::Seconds(8));
  REQUIRE(cluster.State("job1") == "completed");
  const auto entry =
    DecodeJobEntry(cluster.m_store.Value(cluster.m_keys.Entry("job1")));
  REQUIRE(entry);
  CHECK(entry->m_tenant == (job.m_isPublic ? "" : "acme"));
  CHECK(cluster.m_metrics.CounterValue(
          "bramleystall_jobs_finished_total",
          { { "state", "completed" }, { "tenant", "acme" } }) == 1);
}
