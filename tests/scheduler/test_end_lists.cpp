#include "tests/fakes/job_cluster.h"
#include "tests/fakes/quiet_log.h"

#include <catch2/catch.hpp>

using namespace bramleystall;

namespace {

/** One worker that runs all tasks of a job at once and lists few ends at a
 * time. */
struct LongEndListFixture
{
  void StartTasks(int aCount, std::size_t aMaxListedEnds)
  {
    m_cluster.m_workers.SetMaxListedEnds(aMaxListedEnds);
    m_cluster.m_workers.SetPlan({ .m_time = absl::Milliseconds(600) });
    m_cluster.AddDaemon("one");
    m_cluster.Run(absl::Milliseconds(300));
    JobRecord record = JobCluster::MakeJob("job1", aCount, 1);
    record.m_steps.front().m_need = { .m_cpu = 10, .m_memoryMb = 10 };
    m_cluster.Submit(record);
    m_cluster.Run(absl::Milliseconds(300));
    REQUIRE(m_cluster.m_workers.StartCount() == aCount);
    REQUIRE(m_cluster.m_workers.DoneTasks().empty());
  }

  const QuietLog m_quiet;
  JobCluster m_cluster{ 1 };
};

constexpr int kTasks = 24;

}

// Guards against tasks that run again, since their ends lie beyond the list of
// one response while the store is down (rule TWICE, review/1).
TEST_CASE_METHOD(LongEndListFixture,
                 "Tasks whose ends are not listed yet are not started again",
                 "[scheduler]")
{
  StartTasks(kTasks, 4);
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
  StartTasks(kTasks, 4);
  m_cluster.KillDaemon("one");
  m_cluster.AddDaemon("two");
  m_cluster.Run(absl::Seconds(12));
  REQUIRE(m_cluster.State("job1") == "completed");
  REQUIRE(m_cluster.m_workers.StartCount() == kTasks);
  REQUIRE(m_cluster.m_workers.Violations().empty());
}

// Guards against a new owner that gives up a responding worker once the leases
// of previous owners have expired, before it has listed all ends (rule TWICE).
TEST_CASE_METHOD(LongEndListFixture,
                 "A new owner does not give up a worker that lists its ends",
                 "[takeover]")
{
  constexpr int kManyTasks = 240;
  StartTasks(kManyTasks, 1);
  m_cluster.KillDaemon("one");
  m_cluster.AddDaemon("two");
  m_cluster.Run(absl::Seconds(60));
  REQUIRE(m_cluster.State("job1") == "completed");
  REQUIRE(m_cluster.m_workers.StartCount() == kManyTasks);
  REQUIRE(m_cluster.m_workers.Violations().empty());
}
