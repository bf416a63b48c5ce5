#include "tests/fakes/job_cluster.h"
#include "tests/fakes/quiet_log.h"

#include <catch2/catch.hpp>

using namespace bramleystall;

namespace {

constexpr int kTasks = 24;

/** One worker that runs all tasks of a job at once and lists few ends at a
 * time. */
struct LongEndListFixture
{
  LongEndListFixture()
  {
    m_cluster.m_workers.SetMaxListedEnds(4);
    m_cluster.m_workers.SetPlan({ .m_time = absl::Milliseconds(600) });
    m_cluster.AddDaemon("one");
    m_cluster.Run(absl::Milliseconds(300));
    JobRecord record = JobCluster::MakeJob("job1", kTasks, 1);
    record.m_steps.front().m_need = { .m_cpu = 100, .m_memoryMb = 100 };
    m_cluster.Submit(record);
    m_cluster.Run(absl::Milliseconds(300));
    REQUIRE(m_cluster.m_workers.StartCount() == kTasks);
    REQUIRE(m_cluster.m_workers.DoneTasks().empty());
  }

  const QuietLog m_quiet;
  JobCluster m_cluster{ 1 };
};

}

// Guards against tasks that run again, since their ends lie beyond the list of
// one response while the store is down (rule TWICE, review/1).
TEST_CASE_METHOD(LongEndListFixture,
                 "Tasks whose ends are not listed yet are not started again",
                 "[scheduler]")
{
  m_cluster.At("one").m_store.m_isRefusing = true;
  m_cluster.Run(absl::Milliseconds(1500));
  m_cluster.At("one").m_store.m_isRefusing = false;
  m_cluster.Run(absl::Seconds(8));
  REQUIRE(m_cluster.State("job1") == "completed");
  REQUIRE(m_cluster.m_workers.StartCount() == kTasks);
  REQUIRE(m_cluster.m_workers.Violations().empty());
}

// Guards against a new owner that starts tasks again after the first list of
// their worker, which does not have all ends (rule TWICE, review/1).
TEST_CASE_METHOD(LongEndListFixture,
                 "A new owner waits until a worker has listed all ends",
                 "[takeover]")
{
  m_cluster.KillDaemon("one");
  m_cluster.AddDaemon("two");
  m_cluster.Run(absl::Seconds(12));
  REQUIRE(m_cluster.State("job1") == "completed");
  REQUIRE(m_cluster.m_workers.StartCount() == kTasks);
  REQUIRE(m_cluster.m_workers.Violations().empty());
}
