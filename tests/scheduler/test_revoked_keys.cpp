#include "tests/fakes/job_cluster.h"
#include "tests/fakes/quiet_log.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>

using namespace bramleystall;

namespace {

constexpr absl::Duration kStartup = absl::Milliseconds(300);

/** Daemon "one" owns the shard and runs a long task on worker-0, which daemon
 * "two" cannot reach. */
struct CutOffWorkerFixture
{
  CutOffWorkerFixture()
  {
    m_cluster.m_workers.SetPlan({ .m_time = absl::Seconds(60) });
    m_cluster.AddDaemon("one");
    m_cluster.Run(kStartup);
    m_cluster.Submit(JobCluster::MakeJob("job1", 1, 1));
    m_cluster.AddDaemon("two");
    m_cluster.At("two").m_workers.m_unreachableWorkers = { "worker-0" };
    m_cluster.Run(absl::Seconds(2));
    REQUIRE(m_cluster.Owner() == "one");
    REQUIRE(m_cluster.m_workers.RunningOn("job1.0.0.0").front() == "worker-0");
  }

  const QuietLog m_quiet;
  JobCluster m_cluster{ 3 };
};

}

// Guards against a new owner that starts a task while it still runs by order of
// the previous owner, whose key was taken away just after it had been renewed
// (rule TWICE, issue 31).
TEST_CASE_METHOD(CutOffWorkerFixture,
                 "A new owner waits for a previous one whose key was revoked",
                 "[silent]")
{
  const bool doesLeaseGoOn = GENERATE(false, true);
  m_cluster.UnlistWorker("worker-0");
  m_cluster.At("one").m_store.m_isRefusing = true;
  m_cluster.m_store.Revoke(m_cluster.m_keys.Owner(), doesLeaseGoOn);
  m_cluster.Run(absl::Seconds(20));
  REQUIRE(m_cluster.Owner() == "two");
  REQUIRE(m_cluster.m_workers.StartCount("job1.0.0.0") == 2);
  REQUIRE(m_cluster.m_workers.Violations().empty());
}

// Guards against two owners that give orders beside each other, because the
// store goes on renewing the lease of the first one, whose key it has taken
// away (rule TWICE).
TEST_CASE_METHOD(CutOffWorkerFixture,
                 "No task runs under a lease that goes on without its key",
                 "[silent]")
{
  JobCluster::Daemon& first = m_cluster.At("one");
  first.m_store.m_isKeyReadCut = GENERATE(false, true);
  m_cluster.UnlistWorker("worker-0");
  first.m_store.m_isWatchCut = true;
  m_cluster.m_store.Revoke(m_cluster.m_keys.Owner(), true);
  m_cluster.Run(absl::Seconds(30));
  REQUIRE(m_cluster.m_workers.Violations().empty());
  REQUIRE(m_cluster.m_workers.StartCount("job1.0.0.0") == 2);
  REQUIRE(m_cluster.Owners() == 1);
  REQUIRE(m_cluster.Owner() == "two");
}

// Guards against a lease that outlasts the time for which a new owner waits,
// because the previous one was frozen between its check that it may send orders
// and the order (rule TWICE, issue 31).
TEST_CASE_METHOD(CutOffWorkerFixture,
                 "An order of a frozen owner gives no longer lease",
                 "[silent]")
{
  JobCluster::Daemon& first = m_cluster.At("one");
  const Worker& worker = *first.m_scheduler->WorkerOnMachine("machine-0");
  first.m_store.m_isRefusing = true;
  m_cluster.m_store.Revoke(m_cluster.m_keys.Owner(), false);
  m_cluster.Run(absl::Milliseconds(5300));
  while (worker.m_isRenewing) {
    m_cluster.Run(absl::Milliseconds(1));
  }
  // The next check is that of the renewal, which is sent 50 ms later.
  m_cluster.Run(absl::Milliseconds(45));
  first.m_freezeAfterCheck = absl::Milliseconds(1500);
  while (first.m_freezeAfterCheck > absl::ZeroDuration()) {
    m_cluster.Run(absl::Milliseconds(1));
  }
  REQUIRE(first.m_scheduler != nullptr);
  REQUIRE(worker.m_isRenewing);
  m_cluster.UnlistWorker("worker-0");
  m_cluster.Run(absl::Seconds(15));
  REQUIRE(m_cluster.Owner() == "two");
  REQUIRE(m_cluster.m_workers.StartCount("job1.0.0.0") == 2);
  REQUIRE(m_cluster.m_workers.Violations().empty());
}

// Guards against an owner that starts a task again after its key was revoked,
// although the next owner has recorded the end of that task (rule TWICE, issue
// 31). The next owner cannot reach the worker of the second start.
TEST_CASE("An owner without its key starts no task whose worker is lost",
          "[silent]")
{
  const QuietLog quiet;
  JobCluster cluster(2);
  cluster.m_workers.SetPlanner([](const std::string& aTask, std::int64_t) {
    return FakeRunPlan{ .m_time = absl::Milliseconds(
                          aTask.ends_with(".0") ? 3000 : 300) };
  });
  cluster.AddDaemon("one");
  cluster.Run(kStartup);
  JobRecord record = JobCluster::MakeJob("job1", 2, 1);
  record.m_steps.front().m_need.m_cpu = 3000;
  cluster.Submit(record);
  cluster.AddDaemon("two");
  cluster.Run(absl::Seconds(1));
  const std::string lost = cluster.m_workers.RunningOn("job1.0.0.0").front();
  JobCluster::Daemon& first = cluster.At("one");
  first.m_workers.m_unreachableWorkers = { lost };
  cluster.At("two").m_workers.m_unreachableWorkers = { lost == "worker-0"
                                                         ? "worker-1"
                                                         : "worker-0" };
  cluster.UnlistWorker(lost);
  cluster.Run(absl::Milliseconds(3900));
  first.m_store.m_isRefusing = true;
  cluster.m_store.Revoke(cluster.m_keys.Owner(), false);
  cluster.Run(absl::Seconds(10));
  REQUIRE(cluster.State("job1") == "completed");
  REQUIRE(cluster.m_workers.StartCount() == 2);
  REQUIRE(cluster.m_workers.Violations().empty());
}

namespace {

/** Daemon "one" owns the shard. The two tasks of job1 run on one worker each;
 * "two" can reach only that of the first task. */
struct TwoWorkersFixture
{
  explicit TwoWorkersFixture(absl::Duration aFirstTaskTime)
  {
    m_cluster.m_workers.SetPlanner(
      [aFirstTaskTime](const std::string& aTask, std::int64_t) {
        return FakeRunPlan{ .m_time = aTask == kFirstTask
                                        ? aFirstTaskTime
                                        : absl::Milliseconds(300) };
      });
    m_cluster.AddDaemon("one");
    m_cluster.Run(kStartup);
    JobRecord record = JobCluster::MakeJob("job1", 2, 1);
    record.m_steps.front().m_need.m_cpu = 3000;
    m_cluster.Submit(record);
    while (m_cluster.m_workers.RunningOn(kFirstTask).empty()) {
      m_cluster.Run(absl::Milliseconds(1));
    }
    m_cluster.Run(absl::Milliseconds(5));
    m_first = m_cluster.m_workers.RunningOn(kFirstTask).front();
    m_second = m_first == "worker-0" ? "worker-1" : "worker-0";
  }

  /** Adds a daemon that cannot reach some workers. */
  void Add(const std::string& aName, const std::set<std::string>& aUnreachable)
  {
    m_cluster.AddDaemon(aName);
    m_cluster.At(aName).m_workers.m_unreachableWorkers = aUnreachable;
    m_cluster.Run(absl::Milliseconds(100));
  }

  /** Cuts the owner off from the store, which takes its key away. */
  void CutOff(const std::string& aOwner)
  {
    REQUIRE(m_cluster.Owner() == aOwner);
    m_cluster.At(aOwner).m_store.m_isPartitioned = true;
    m_cluster.m_store.Revoke(m_cluster.m_keys.Owner(), false);
  }

  /** The first worker restarts after "two" has recorded its task's end. */
  void RestartFirstWorker()
  {
    REQUIRE(m_cluster.At("two").m_ownership->HoldsLease());
    REQUIRE(m_cluster.m_workers.DoneTasks().contains(kFirstTask));
    m_cluster.At("two").m_workers.m_unreachableWorkers = { m_first, m_second };
    m_cluster.RestartWorker(m_first);
    m_cluster.Run(absl::Milliseconds(320));
  }

  static constexpr const char* kFirstTask = "job1.0.0.0";
  const QuietLog m_quiet;
  JobCluster m_cluster{ 2 };
  std::string m_first;
  std::string m_second;
};

}

// Guards against an owner without its key that takes the list of a restarted
// worker for the loss of a task whose end the next owner has recorded (rule
// TWICE).
TEST_CASE("An owner without its key starts no task that a restarted worker "
          "does not list",
          "[silent]")
{
  TwoWorkersFixture fixture(absl::Milliseconds(300));
  JobCluster& cluster = fixture.m_cluster;
  cluster.At("one").m_workers.m_unreachableWorkers = { fixture.m_first };
  fixture.Add("two", { fixture.m_second });
  fixture.CutOff("one");
  cluster.Run(absl::Milliseconds(500));
  fixture.RestartFirstWorker();
  cluster.At("one").m_workers.m_unreachableWorkers.clear();
  cluster.Run(absl::Seconds(8));
  REQUIRE(cluster.m_workers.Violations().empty());
  REQUIRE(cluster.m_workers.StartCount(fixture.kFirstTask) == 1);
}

// Guards against an owner without its key that takes the response of a
// restarted worker for the end of the leases of previous owners, although the
// next owner has recorded how a task ended there (rule TWICE).
TEST_CASE("An owner without its key starts no task of a previous owner whose "
          "worker has restarted",
          "[silent]")
{
  TwoWorkersFixture fixture(absl::Milliseconds(1900));
  JobCluster& cluster = fixture.m_cluster;
  cluster.Run(absl::Seconds(1));
  fixture.Add("middle", { fixture.m_first });
  cluster.KillDaemon("one");
  cluster.m_store.Revoke(cluster.m_keys.Owner(), false);
  cluster.Run(absl::Milliseconds(400));
  fixture.Add("two", { fixture.m_second });
  fixture.CutOff("middle");
  cluster.Run(absl::Milliseconds(500));
  fixture.RestartFirstWorker();
  cluster.At("middle").m_workers.m_unreachableWorkers.clear();
  cluster.Run(absl::Seconds(8));
  REQUIRE(cluster.m_workers.Violations().empty());
  REQUIRE(cluster.m_workers.StartCount(fixture.kFirstTask) == 1);
}

// Guards against an owner without its key that takes the time of the leases of
// previous owners for over, although the next owner has renewed them (rule
// TWICE).
TEST_CASE("An owner without its key starts no task whose lease the next owner "
          "has renewed",
          "[silent]")
{
  TwoWorkersFixture fixture(absl::Seconds(60));
  JobCluster& cluster = fixture.m_cluster;
  cluster.Run(absl::Seconds(1));
  fixture.Add("middle", { fixture.m_first });
  cluster.UnlistWorker(fixture.m_first);
  // The worker of the second task would tell it of the new owner.
  cluster.At("one").m_workers.m_unreachableWorkers = { fixture.m_second };
  fixture.CutOff("one");
  cluster.Run(absl::Milliseconds(9800));
  fixture.Add("two", { fixture.m_second });
  fixture.CutOff("middle");
  cluster.Run(absl::Seconds(10));
  REQUIRE(cluster.m_workers.Violations().empty());
  REQUIRE(cluster.m_workers.StartCount(fixture.kFirstTask) == 1);
}
