#include "tests/fakes/scheduler_fixture.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

using namespace bramleystall;

namespace {

/** Eight cores, two tenants of equal weight, and tasks of one core. */
struct ShareFixture : SchedulerFixture
{
  ShareFixture()
  {
    m_configuration.m_queues.front().m_objectiveSlackMs = 60'000;
    m_workers.SetPlan({ .m_time = absl::Seconds(2) });
  }

  void SetTenants()
  {
    m_configuration.m_tenants = TenantDirectory(
      { { .m_name = "a", .m_weight = 1 }, { .m_name = "b", .m_weight = 1 } });
  }

  /** Connects the workers and lets the scheduler take over. */
  void Start()
  {
    StartScheduler();
    m_scheduler->OnWorkerReport(JobCluster::MakeReport(0));
    m_scheduler->OnWorkerReport(JobCluster::MakeReport(1));
    m_scheduler->OnWorkersListed();
    m_loop.AdvanceBy(absl::Seconds(1));
  }

  /** Submits jobs of one task; all are read before the next placement. */
  void SubmitJobs(const std::string& aTenant, int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      JobRecord record =
        JobCluster::MakeJob(absl::StrCat(aTenant, "-", i), 1, 1);
      record.m_tenant = aTenant;
      Submit(record);
    }
  }

  int CountStarted(const std::string& aTenant, int aCount)
  {
    int started = 0;
    for (int i = 0; i < aCount; ++i) {
      started +=
        m_workers.HasEverRun(absl::StrCat(aTenant, "-", i, ".0.0.0")) ? 1 : 0;
    }
    return started;
  }
};

}

// Guards against a scheduler that does not apply the shares, or applies them
// without tenants in the configuration: the jobs of "a" arrive first.
TEST_CASE("The scheduler applies the shares of tenants", "[scheduler][tenants]")
{
  ShareFixture fixture;
  const bool hasTenants = GENERATE(false, true);
  if (hasTenants) {
    fixture.SetTenants();
  }
  fixture.Start();
  fixture.SubmitJobs("a", 10);
  fixture.SubmitJobs("b", 10);
  fixture.m_loop.AdvanceBy(absl::Seconds(1));
  CHECK(fixture.CountStarted("a", 10) == (hasTenants ? 4 : 8));
  CHECK(fixture.CountStarted("b", 10) == (hasTenants ? 4 : 0));
  const std::string shown = fixture.m_metrics.Render();
  INFO(shown);
  CHECK((shown.find("bramleystall_tenant_pool_usage{pool=\"counter\",shard="
                    "\"0\",tenant=\"a\"} 0.5") != std::string::npos) ==
        hasTenants);

  // Usage is given back with the tasks, and lent while nobody else waits.
  fixture.m_loop.AdvanceBy(absl::Seconds(20));
  CHECK(fixture.CountStarted("a", 10) == 10);
  CHECK(fixture.CountStarted("b", 10) == 10);
  CHECK(fixture.m_metrics.Render().find("tenant=\"a\"} 0.5") ==
        std::string::npos);
}

// Guards against long-running tasks that use up the share of their tenant: "a"
// has its half of the six cores that they leave.
TEST_CASE("Long-running tasks leave the shares alone", "[scheduler][tenants]")
{
  ShareFixture fixture;
  fixture.SetTenants();
  fixture.Start();
  JobRecord lasting = JobCluster::MakeJob("lasting", 2, 1);
  lasting.m_tenant = "a";
  lasting.m_steps.front().m_isLongRunning = true;
  fixture.Submit(lasting);
  fixture.m_loop.AdvanceBy(absl::Seconds(1));
  fixture.SubmitJobs("b", 10);
  fixture.SubmitJobs("a", 10);
  fixture.m_loop.AdvanceBy(absl::Seconds(1));
  CHECK(fixture.CountStarted("a", 10) == 3);
  CHECK(fixture.CountStarted("b", 10) == 3);
}

// Guards against usage that stays with a pool when the worker's entry names
// another one before the tasks end: "a" would then count as above its share.
TEST_CASE("Usage follows a worker to another pool", "[scheduler][tenants]")
{
  ShareFixture fixture;
  fixture.SetTenants();
  fixture.Start();
  JobRecord earlier = JobCluster::MakeJob("earlier", 8, 1);
  earlier.m_tenant = "a";
  fixture.Submit(earlier);
  fixture.m_loop.AdvanceBy(absl::Seconds(1));
  WorkerReport moved = JobCluster::MakeReport(0);
  moved.m_pool = "other";
  fixture.m_scheduler->OnWorkerReport(moved);
  fixture.m_loop.AdvanceBy(absl::Seconds(4));
  fixture.m_scheduler->OnWorkerReport(JobCluster::MakeReport(0));
  fixture.SubmitJobs("a", 10);
  fixture.SubmitJobs("b", 10);
  fixture.m_loop.AdvanceBy(absl::Seconds(1));
  CHECK(fixture.CountStarted("a", 10) == 4);
  CHECK(fixture.CountStarted("b", 10) == 4);
}
