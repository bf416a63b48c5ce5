#include "admission/wait_estimate.h"
#include "scheduler/shard_status.h"
#include "tests/fakes/scheduler_fixture.h"

#include <catch2/catch.hpp>

using namespace bramleystall;

namespace {

struct PublishedLoadFixture : SchedulerFixture
{
  /** Starts the scheduler with both workers. */
  void Begin()
  {
    StartScheduler();
    m_scheduler->OnWorkerReport(JobCluster::MakeReport(0));
    m_scheduler->OnWorkerReport(JobCluster::MakeReport(1));
    m_scheduler->OnWorkersListed();
    m_loop.AdvanceBy(absl::Milliseconds(300));
  }

  /** Status in the store, which must be there and readable. */
  ShardStatus ReadStatus()
  {
    const auto status = DecodeShardStatus(m_store.Value(m_keys.Status()));
    REQUIRE(status);
    return *status;
  }

  void SubmitFor(const std::string& aTenant, const std::string& aId)
  {
    JobRecord record = JobCluster::MakeJob(aId, 40, 1);
    record.m_tenant = aTenant;
    Submit(record);
  }
};

}

// Guards against a status that other versions cannot read, or that loses what
// it says on its way.
TEST_CASE("A published load is read back", "[scheduler]")
{
  ShardStatus status{ .m_pending = { { "quotes", 3 } }, .m_capacity = 5 };
  CHECK(EncodeShardStatus(status).find("published") == std::string::npos);
  CHECK_FALSE(DecodeShardStatus(EncodeShardStatus(status))->m_published);
  PublishedLoad load{ .m_machines = 9, .m_worker = { 4000, 8000, 1 } };
  load.m_arrivals["a"] = 2.5;
  load.m_runTimes["quotes"] = 0.75;
  PublishedPool& pool = load.m_pools["counter"];
  pool = { .m_machines = 4, .m_permanent = 1, .m_running = 2, .m_arriving = 3 };
  pool.m_waiting = { { 1, 2000, 12.34 } };
  pool.m_tenants["a"] = { .m_waiting = 12.34, .m_running = 2 };
  status.m_published = load;
  const auto read = DecodeShardStatus(EncodeShardStatus(status));
  REQUIRE(read);
  REQUIRE(read->m_published);
  CHECK(read->m_pending == status.m_pending);
  CHECK(read->m_published->m_machines == 9);
  CHECK(read->m_published->m_worker.m_memoryMb == 8000);
  CHECK(read->m_published->m_arrivals == load.m_arrivals);
  CHECK(read->m_published->m_runTimes == load.m_runTimes);
  const PublishedPool& readPool = read->m_published->m_pools.at("counter");
  CHECK(readPool.m_machines == 4);
  CHECK(readPool.m_arriving == 3);
  REQUIRE(readPool.m_waiting.size() == 1);
  CHECK(readPool.m_waiting.front().m_boundMs == 2000);
  CHECK(readPool.m_waiting.front().m_work == 12.34);
  CHECK(readPool.m_tenants.at("a").m_waiting == 12.34);
  CHECK_FALSE(DecodeShardStatus(
    R"({"pending":{},"capacity":1,"load":0,"sequence":1,"published":[]})"));
}

// Guards against an owner that publishes nothing of its load, or not by pool
// and tenant, so that daemons cannot tell whose jobs wait.
TEST_CASE_METHOD(PublishedLoadFixture,
                 "An owner publishes its load by pool and tenant",
                 "[scheduler]")
{
  m_configuration.m_tenants = TenantDirectory(
    { { .m_name = "a", .m_weight = 1 }, { .m_name = "b", .m_weight = 1 } });
  m_workers.SetPlan({ .m_time = absl::Seconds(5) });
  Begin();
  SubmitFor("a", "job1");
  SubmitFor("b", "job2");
  m_loop.AdvanceBy(absl::Milliseconds(1700));
  const auto load = ReadStatus().m_published;
  REQUIRE(load);
  CHECK(load->m_machines == 2);
  CHECK(load->m_worker.m_cpu > 0);
  const PublishedPool& pool = load->m_pools.at("counter");
  CHECK(pool.m_machines == 2);
  CHECK(pool.m_arriving > 0);
  CHECK(load->m_arrivals.at("a") > 0);
  CHECK(load->m_arrivals.at("b") > 0);
  double rows = 0;
  for (const WaitingWork& row : pool.m_waiting) {
    rows += row.m_work;
  }
  const TenantWork a = pool.m_tenants.at("a");
  const TenantWork b = pool.m_tenants.at("b");
  CHECK(rows > 0);
  CHECK(rows == Approx(a.m_waiting + b.m_waiting).margin(0.1));
  CHECK(pool.m_running == Approx(a.m_running + b.m_running).margin(0.1));
}

// Guards against an estimate that has nothing to do with how long the published
// work really takes.
TEST_CASE_METHOD(PublishedLoadFixture,
                 "The wait for published work is estimated",
                 "[scheduler]")
{
  m_configuration.m_tenants = TenantDirectory({ { .m_name = "a" } });
  m_configuration.m_queues.front().m_objectiveSlackMs = 20'000;
  m_workers.SetPlan({ .m_time = absl::Milliseconds(500) });
  Begin();
  for (const char* id : { "job1", "job2", "job3", "job4" }) {
    SubmitFor("a", id);
  }
  m_loop.AdvanceBy(absl::Milliseconds(1500));
  const auto load = ReadStatus().m_published;
  REQUIRE(load);
  REQUIRE(load->m_runTimes.contains("quotes"));
  const AdmissionJob job{ .m_pool = "counter",
                          .m_tenant = "a",
                          .m_objective = absl::Seconds(21),
                          .m_lateObjective = absl::Seconds(63) };
  const auto estimate = EstimateWait(
    *load, job, {}, [](const std::string&) { return std::nullopt; });
  REQUIRE(estimate);
  const absl::Time begin = m_loop.Now();
  while (m_workers.DoneTasks().size() < 160 &&
         m_loop.Now() < begin + absl::Minutes(2)) {
    m_loop.AdvanceBy(absl::Milliseconds(100));
  }
  const absl::Duration real = m_loop.Now() - begin;
  INFO("estimated " << estimate->m_wait << ", real " << real);
  REQUIRE(m_workers.DoneTasks().size() >= 160);
  // It is optimistic, but not by far.
  CHECK(estimate->m_wait <= real);
  CHECK(estimate->m_wait >= 0.3 * real);
}

// Guards against a deployment without tenants whose statuses change.
TEST_CASE_METHOD(PublishedLoadFixture,
                 "Without tenants no load by tenant is published",
                 "[scheduler]")
{
  Begin();
  SubmitFor("a", "job1");
  m_loop.AdvanceBy(absl::Milliseconds(1700));
  CHECK_FALSE(ReadStatus().m_published);
}
