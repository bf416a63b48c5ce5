#include "tests/fakes/job_cluster.h"
#include "tests/fakes/quiet_log.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace bramleystall;

namespace {

constexpr absl::Duration kStartup = absl::Milliseconds(300);

/** Lets daemon "one" run a job of two tasks for some time; returns the worker
 * of its first task. */
std::string
StartJob(JobCluster& aCluster, absl::Duration aTime)
{
  aCluster.AddDaemon("one");
  aCluster.Run(kStartup);
  aCluster.Submit(JobCluster::MakeJob("job1", 2, 1));
  aCluster.Run(aTime);
  return aCluster.m_workers.RunningOn("job1.0.0.0").front();
}

}

// Guards against running work that is stopped and started again because the
// response to its start came late (rule AVAIL, trouble-3 --small of
// lican-gt-large: a long-running task was stopped while others were away).
TEST_CASE("A task whose start response was lost goes on running", "[silent]")
{
  const QuietLog quiet;
  JobCluster cluster(2);
  cluster.m_workers.SetPlan({ .m_time = absl::Seconds(3) });
  cluster.AddDaemon("one");
  cluster.Run(kStartup);
  cluster.At("one").m_workers.m_lostStartResponses = 2;
  cluster.Submit(JobCluster::MakeJob("job1", 2, 1));
  cluster.Run(absl::Seconds(4));
  REQUIRE(cluster.State("job1") == "completed");
  REQUIRE(cluster.m_workers.StartCount() == 2);
  REQUIRE(cluster.m_workers.Violations().empty());
}

// Guards against a late start that runs beside the next one because an earlier
// attempt of the task had been stopped (rule TWICE, trouble-3 --small of
// lican-gt-large).
TEST_CASE("A late start of a task that was stopped before runs alone",
          "[silent]")
{
  const QuietLog quiet;
  JobCluster cluster(3);
  cluster.m_workers.SetPlanner(
    [](const std::string& aTask, std::int64_t aAttempt) {
      return FakeRunPlan{ .m_time = absl::Seconds(2),
                          .m_isStalled =
                            aTask.starts_with("job1") && aAttempt == 1,
                          .m_isLongRunning = aTask.starts_with("job2") };
    });
  cluster.AddDaemon("one");
  cluster.Run(kStartup);
  // Keeps a renewal in flight at each worker.
  JobRecord serving = JobCluster::MakeJob("job2", 3, 1);
  serving.m_steps.front().m_isLongRunning = true;
  serving.m_steps.front().m_maxPerWorker = 1;
  cluster.Submit(serving);
  cluster.Run(absl::Milliseconds(500));
  cluster.Submit(JobCluster::MakeJob("job1", 1, 1));
  cluster.Run(absl::Milliseconds(500));
  JobCluster::Daemon& owner = cluster.At("one");
  owner.m_workers.m_delayedStarts = 1;
  owner.m_workers.m_orderDelay = absl::Milliseconds(2500);
  while (owner.m_workers.m_delayedStarts > 0) {
    cluster.Run(absl::Milliseconds(20));
  }
  // A further attempt, if there is one, runs on another worker.
  for (const auto& [id, report] : cluster.m_reports) {
    const Worker* worker = owner.m_scheduler->WorkerOnMachine(report.m_machine);
    if (std::ranges::any_of(worker->m_tasks, [](const Task* aTask) {
          return aTask->m_job->Id() == "job1";
        })) {
      owner.m_scheduler->SetEvacuating(id, true);
    }
  }
  cluster.Run(absl::Seconds(10));
  REQUIRE(cluster.State("job1") == "completed");
  REQUIRE(cluster.m_workers.Violations().empty());
}

// Guards against work of a worker that was only silent for a while and that is
// started again elsewhere, although it had ended as done (rule TWICE, trouble-3
// --small of lican-gt-large).
TEST_CASE("Work of a silent worker that is alive is not started again",
          "[silent]")
{
  const QuietLog quiet;
  JobCluster cluster(2);
  cluster.m_workers.SetPlan({ .m_time = absl::Seconds(2) });
  const std::string silent = StartJob(cluster, absl::Milliseconds(500));
  cluster.At("one").m_workers.m_unreachableWorkers = { silent };
  cluster.Run(absl::Milliseconds(6500));
  cluster.At("one").m_workers.m_unreachableWorkers.clear();
  cluster.Run(absl::Seconds(2));
  REQUIRE(cluster.State("job1") == "completed");
  REQUIRE(cluster.m_workers.StartCount() == 2);
  REQUIRE(cluster.m_workers.Violations().empty());
}

// Guards against a new owner that starts again what a worker had done that it
// cannot reach (rule TWICE, hunt-0f31-39 of lican-gt: the worker was cut off
// with its zone).
TEST_CASE("A new owner waits for a silent worker that is alive", "[silent]")
{
  const QuietLog quiet;
  JobCluster cluster(2);
  cluster.m_workers.SetPlan({ .m_time = absl::Seconds(2) });
  const std::string silent = StartJob(cluster, absl::Milliseconds(500));
  cluster.KillDaemon("one");
  cluster.AddDaemon("two");
  cluster.At("two").m_workers.m_unreachableWorkers = { silent };
  cluster.Run(absl::Seconds(14));
  REQUIRE(cluster.Owner() == "two");
  cluster.At("two").m_workers.m_unreachableWorkers.clear();
  cluster.Run(absl::Seconds(3));
  REQUIRE(cluster.State("job1") == "completed");
  REQUIRE(cluster.m_workers.StartCount() == 2);
  REQUIRE(cluster.m_workers.Violations().empty());
}

// Guards against work that waits for ever for a worker that cannot be reached,
// although the store goes on listing it.
TEST_CASE("Work of a worker that stays silent is started elsewhere", "[silent]")
{
  const QuietLog quiet;
  JobCluster cluster(2);
  cluster.m_workers.SetPlan({ .m_time = absl::Seconds(1) });
  const std::string silent = StartJob(cluster, absl::Milliseconds(300));
  cluster.m_workers.Crash(silent);
  cluster.Run(absl::Seconds(14));
  REQUIRE(cluster.State("job1") == "completed");
}

// Guards against an owner that is cut off from the store and starts a task
// again on a restarted worker, which knows no fencing token, although the next
// owner has recorded its end (rule TWICE, seed 12 of the random failures with
// two ends listed at once).
TEST_CASE("An owner cut off from the store starts nothing on a restarted "
          "worker",
          "[silent]")
{
  const QuietLog quiet;
  JobCluster cluster(1);
  cluster.m_workers.SetPlan({ .m_time = absl::Milliseconds(800) });
  StartJob(cluster, absl::Milliseconds(300));
  cluster.AddDaemon("two");
  JobCluster::Daemon& first = cluster.At("one");
  first.m_store.m_isPartitioned = true;
  first.m_workers.m_unreachableWorkers = { "worker-0" };
  cluster.Run(absl::Milliseconds(3500));
  REQUIRE(cluster.Owner() == "two");
  REQUIRE(cluster.State("job1") == "completed");
  cluster.RestartWorker("worker-0");
  cluster.Run(absl::Milliseconds(500));
  first.m_workers.m_unreachableWorkers.clear();
  cluster.Run(absl::Seconds(4));
  REQUIRE(cluster.m_workers.StartCount() == 2);
  REQUIRE(cluster.m_workers.Violations().empty());
}

// Guards against a lease that outlasts the time for which a new owner waits,
// because the worker's clock is slow and was last read long before the start
// (rule TWICE, issue 31).
TEST_CASE("A start on a worker that was idle for long gives no longer lease",
          "[silent]")
{
  const QuietLog quiet;
  JobCluster cluster(1);
  cluster.m_workers.SetClockRate(0.98);
  cluster.m_workers.SetPlanner([](const std::string& aTask, std::int64_t) {
    return FakeRunPlan{ .m_time = aTask == "job1.0.1.0"
                                    ? absl::Seconds(10)
                                    : absl::Milliseconds(300) };
  });
  cluster.AddDaemon("one");
  cluster.Run(kStartup);
  cluster.Submit(JobCluster::MakeJob("job1", 1, 2));
  cluster.Run(absl::Milliseconds(200));
  // Nothing starts on a draining worker.
  WorkerReport report = cluster.m_reports.at("worker-0");
  report.m_isDraining = true;
  cluster.ListWorker(report);
  cluster.Run(absl::Seconds(120));
  const WorkerReport other = JobCluster::MakeReport(1);
  cluster.m_workers.Add(other);
  cluster.m_reports[other.m_id] = other;
  cluster.AddDaemon("two");
  cluster.At("two").m_workers.m_unreachableWorkers = { report.m_id };
  cluster.Run(absl::Seconds(1));
  cluster.At("one").m_store.m_isRefusing = true;
  cluster.m_store.Revoke(cluster.m_keys.Owner(), false);
  cluster.Run(absl::Milliseconds(5700));
  report.m_isDraining = false;
  cluster.ListWorker(report);
  cluster.Run(absl::Milliseconds(100));
  REQUIRE(cluster.m_workers.RunningOn("job1.0.1.0").front() == "worker-0");
  // Its lease is not renewed.
  cluster.At("one").m_workers.m_unreachableWorkers = { report.m_id };
  cluster.UnlistWorker(report.m_id);
  cluster.Run(absl::Seconds(25));
  REQUIRE(cluster.Owner() == "two");
  REQUIRE(cluster.State("job1") == "completed");
  REQUIRE(cluster.m_workers.Violations().empty());
}
