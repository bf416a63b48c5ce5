#include "scheduler/scheduling_limits.h"
#include "tests/fakes/job_cluster.h"
#include "tests/fakes/quiet_log.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace bramleystall;

namespace {

constexpr absl::Duration kStartup = absl::Milliseconds(300);

/** Worker of a job's task as the daemon "one" has placed it. */
Worker*
FindPlaced(JobCluster& aCluster, const std::string& aJob)
{
  Scheduler& scheduler = *aCluster.At("one").m_scheduler;
  for (const auto& [id, report] : aCluster.m_reports) {
    Worker* worker = scheduler.WorkerOnMachine(report.m_machine);
    for (const Task* task : worker->m_tasks) {
      if (task->m_job->Id() == aJob) {
        return worker;
      }
    }
  }
  return nullptr;
}

/** Submits a job of one task whose start gets no response and is carried out
 * after aDelay; returns the worker. The next attempt runs on another one. */
std::string
StartLate(JobCluster& aCluster, absl::Duration aDelay)
{
  JobCluster::Daemon& owner = aCluster.At("one");
  owner.m_workers.m_delayedStarts = 1;
  owner.m_workers.m_orderDelay = aDelay;
  JobRecord record = JobCluster::MakeJob("job1", 1, 1);
  record.m_steps.front().m_isLongRunning = true;
  aCluster.Submit(record);
  while (owner.m_workers.m_delayedStarts > 0) {
    aCluster.Run(absl::Milliseconds(1));
  }
  Worker* worker = FindPlaced(aCluster, "job1");
  REQUIRE(worker != nullptr);
  worker->m_avoidUntil = absl::InfiniteFuture();
  return worker->m_report.m_id;
}

void
CheckInvariants(JobCluster& aCluster)
{
  for (const std::string& broken : aCluster.m_workers.Violations()) {
    FAIL_CHECK(broken);
  }
}

}

// Guards against a start that is carried out late by a restarted worker, which
// knows neither fences nor stops, beside the next run (rule TWICE, issue 31).
TEST_CASE("A late start at a restarted worker runs alone", "[scheduler]")
{
  const QuietLog quiet;
  const int restartMs = GENERATE(range(0, 4600, 100));
  INFO("restart after " << restartMs << " ms");
  JobCluster cluster(3);
  cluster.m_workers.SetPlan({ .m_time = absl::Seconds(20) });
  cluster.AddDaemon("one");
  cluster.Run(kStartup);
  JobCluster::Daemon& owner = cluster.At("one");
  owner.m_workers.m_delayedStarts = 1;
  owner.m_workers.m_orderDelay = absl::Seconds(5);
  cluster.Submit(JobCluster::MakeJob("job1", 1, 1));
  while (owner.m_workers.m_delayedStarts > 0) {
    cluster.Run(absl::Milliseconds(5));
  }
  Worker* worker = FindPlaced(cluster, "job1");
  REQUIRE(worker != nullptr);
  // The next attempt runs on another worker.
  worker->m_avoidUntil = absl::InfiniteFuture();
  cluster.Run(absl::Milliseconds(restartMs));
  cluster.RestartListedWorker(worker->m_report.m_id);
  cluster.Run(absl::Seconds(5));
  CHECK(cluster.m_workers.RunningOn("job1.0.0.0").size() == 1);
  cluster.Run(absl::Seconds(30));
  CHECK(cluster.State("job1") == "completed");
  CheckInvariants(cluster);
}

// Guards against a start that is carried out 12 s after it was sent, by a
// restarted worker that is no longer asked, beside the next run (rule TWICE,
// issue 34).
TEST_CASE("A start that is carried out after 12 s runs alone", "[scheduler]")
{
  const QuietLog quiet;
  const int restartMs = GENERATE(range(9000, 11400, 200));
  INFO("restart after " << restartMs << " ms");
  constexpr int kDelayMs = 11'900;
  JobCluster cluster(3);
  cluster.m_workers.SetPlan({ .m_time = absl::Seconds(20) });
  cluster.AddDaemon("one");
  cluster.Run(kStartup);
  JobCluster::Daemon& owner = cluster.At("one");
  owner.m_workers.m_delayedStarts = 1;
  owner.m_workers.m_orderDelay = absl::Milliseconds(kDelayMs);
  cluster.Submit(JobCluster::MakeJob("job1", 1, 1));
  while (owner.m_workers.m_delayedStarts > 0) {
    cluster.Run(absl::Milliseconds(1));
  }
  Worker* worker = FindPlaced(cluster, "job1");
  REQUIRE(worker != nullptr);
  // The next attempt runs on another worker.
  worker->m_avoidUntil = absl::InfiniteFuture();
  cluster.Run(absl::Milliseconds(restartMs));
  cluster.RestartWorker(worker->m_report.m_id);
  cluster.Run(absl::Milliseconds(kDelayMs - restartMs + 10));
  CHECK(cluster.m_workers.RunningOn("job1.0.0.0").size() == 1);
  cluster.Run(absl::Seconds(30));
  CHECK(cluster.State("job1") == "completed");
  CheckInvariants(cluster);
}

// Guards against giving up a start without a response before the lease has
// expired that it gets if a restarted worker carries it out late (rule TWICE).
TEST_CASE("A late start at a restarted worker out of reach runs alone",
          "[scheduler]")
{
  const QuietLog quiet;
  JobCluster cluster(3);
  cluster.m_workers.SetPlan({ .m_time = absl::Seconds(30) });
  cluster.AddDaemon("one");
  cluster.Run(absl::Seconds(20));
  JobCluster::Daemon& owner = cluster.At("one");
  owner.m_workers.m_delayedStarts = 1;
  owner.m_workers.m_orderDelay = absl::Milliseconds(11'900);
  cluster.Submit(JobCluster::MakeJob("job1", 1, 1));
  while (owner.m_workers.m_delayedStarts > 0) {
    cluster.Run(absl::Milliseconds(1));
  }
  const Worker* worker = FindPlaced(cluster, "job1");
  REQUIRE(worker != nullptr);
  const std::string id = worker->m_report.m_id;
  owner.m_workers.m_unreachableWorkers = { id };
  cluster.UnlistWorker(id);
  cluster.RestartWorker(id);
  cluster.Run(absl::Seconds(60));
  CHECK(cluster.m_workers.StartCount() == 2);
  CheckInvariants(cluster);
}

// Guards against a start that is carried out late by a restarted worker that is
// cut off from the daemons, beside the next run on another worker (rule TWICE,
// review/6).
TEST_CASE("A late start at a restarted worker that is cut off runs alone",
          "[scheduler]")
{
  const QuietLog quiet;
  const int restartMs = GENERATE(range(700, 4400, 300));
  INFO("restart after " << restartMs << " ms");
  JobCluster cluster(3);
  cluster.m_workers.SetPlan({ .m_isLongRunning = true });
  cluster.AddDaemon("one");
  cluster.Run(kStartup);
  const std::string id = StartLate(cluster, absl::Seconds(5));
  cluster.Run(absl::Milliseconds(restartMs));
  REQUIRE(cluster.m_workers.RunningOn("job1.0.0.0").size() == 1);
  cluster.At("one").m_workers.m_unreachableWorkers = { id };
  cluster.RestartListedWorker(id);
  cluster.Run(absl::Milliseconds(5200 - restartMs));
  CHECK(cluster.m_workers.RunningOn("job1.0.0.0") == std::vector{ id });
  cluster.At("one").m_workers.m_unreachableWorkers.clear();
  cluster.Run(absl::Seconds(20));
  CHECK(cluster.m_workers.RunningOn("job1.0.0.0").size() == 1);
  CheckInvariants(cluster);
}

// Guards against holding a task back for a start that can no longer be carried
// out, when its worker has gone for good after a restart (rule LOST).
TEST_CASE("A task runs again once its late start is over", "[scheduler]")
{
  const QuietLog quiet;
  JobCluster cluster(3);
  cluster.m_workers.SetPlan({ .m_isLongRunning = true });
  cluster.AddDaemon("one");
  cluster.Run(kStartup);
  const std::string id = StartLate(cluster, absl::Seconds(5));
  cluster.Run(absl::Seconds(1));
  cluster.At("one").m_workers.m_unreachableWorkers = { id };
  cluster.RestartListedWorker(id);
  cluster.Run(absl::Seconds(2));
  REQUIRE(cluster.m_workers.RunningOn("job1.0.0.0").empty());
  cluster.CrashWorker(id);
  cluster.Run(kLateOrderTime + PadForClockDrift(absl::Seconds(6)) +
              absl::Seconds(1));
  CHECK(cluster.m_workers.RunningOn("job1.0.0.0").size() == 1);
  CheckInvariants(cluster);
}

// Guards against stopping the next run for each restart of a worker that can be
// reached, and so refuses the late start.
TEST_CASE("A restarted worker that responds stops no run elsewhere",
          "[scheduler]")
{
  const QuietLog quiet;
  JobCluster cluster(3);
  cluster.m_workers.SetPlan({ .m_isLongRunning = true });
  cluster.AddDaemon("one");
  cluster.Run(kStartup);
  const std::string id = StartLate(cluster, absl::Seconds(5));
  cluster.Run(absl::Seconds(1));
  cluster.RestartListedWorker(id);
  cluster.Run(absl::Seconds(20));
  CHECK(cluster.m_workers.StartCount("job1.0.0.0") == 1);
  CHECK(cluster.m_workers.RunningOn("job1.0.0.0").size() == 1);
  CheckInvariants(cluster);
}

// Guards against the same beside a restart that the store does not report,
// since the worker is cut off from the store as well (rule TWICE).
TEST_CASE("A late start at a restarted worker without an entry runs alone",
          "[scheduler]")
{
  const QuietLog quiet;
  JobCluster cluster(3);
  cluster.m_workers.SetPlan({ .m_isLongRunning = true });
  cluster.AddDaemon("one");
  cluster.Run(kStartup);
  const std::string id = StartLate(cluster, absl::Seconds(5));
  cluster.Run(absl::Seconds(1));
  cluster.At("one").m_workers.m_unreachableWorkers = { id };
  cluster.RestartWorker(id);
  cluster.Run(absl::Seconds(6));
  CheckInvariants(cluster);
}

// Guards against a renewal that is carried out late by a restarted worker and
// drops ends that the owner has not seen (rule TWICE).
TEST_CASE("A late renewal loses no end of a restarted worker", "[scheduler]")
{
  const QuietLog quiet;
  JobCluster cluster(1);
  cluster.m_workers.SetPlanner([](const std::string& aTask, std::int64_t) {
    return FakeRunPlan{ .m_time = aTask.starts_with("short")
                                    ? absl::Milliseconds(100)
                                    : absl::Milliseconds(1000) };
  });
  cluster.AddDaemon("one");
  cluster.Run(kStartup);
  cluster.Submit(JobCluster::MakeJob("short", 3, 1));
  cluster.Submit(JobCluster::MakeJob("job1", 1, 1));
  JobCluster::Daemon& owner = cluster.At("one");
  cluster.Run(absl::Milliseconds(50));
  Worker* worker = FindPlaced(cluster, "job1");
  REQUIRE(worker != nullptr);
  while (worker->m_recordedEnd < 3) {
    cluster.Run(absl::Milliseconds(1));
  }
  owner.m_workers.m_delayedRenewals = 1;
  while (owner.m_workers.m_delayedRenewals > 0) {
    cluster.Run(absl::Milliseconds(1));
  }
  cluster.RestartListedWorker("worker-0");
  while (cluster.m_workers.StartCount("job1.0.0.0") < 2) {
    cluster.Run(absl::Milliseconds(5));
  }
  owner.m_workers.m_unreachableWorkers = { "worker-0" };
  cluster.Run(absl::Seconds(3));
  owner.m_workers.m_unreachableWorkers.clear();
  cluster.Run(absl::Seconds(4));
  CHECK(cluster.State("job1") == "completed");
  CHECK(cluster.m_workers.StartCount("job1.0.0.0") == 2);
  CheckInvariants(cluster);
}

// Guards against counting the usual lease for a start that a restarted worker
// has accepted, since its deadline on the new clock lies far ahead (rule
// TWICE).
TEST_CASE("A start at a worker that restarted unnoticed has the longest lease",
          "[scheduler]")
{
  const QuietLog quiet;
  JobCluster cluster(2);
  cluster.m_workers.SetPlan({ .m_time = absl::Seconds(20) });
  cluster.AddDaemon("one");
  cluster.Run(absl::Seconds(30));
  JobCluster::Daemon& owner = cluster.At("one");
  Worker* other = owner.m_scheduler->WorkerOnMachine("machine-1");
  other->m_avoidUntil = absl::InfiniteFuture();
  cluster.RestartWorker("worker-0");
  cluster.Run(absl::Milliseconds(400));
  cluster.Submit(JobCluster::MakeJob("job1", 1, 1));
  while (cluster.m_workers.StartCount() == 0) {
    cluster.Run(absl::Milliseconds(1));
  }
  cluster.Run(absl::Milliseconds(2));
  owner.m_workers.m_unreachableWorkers = { "worker-0" };
  cluster.UnlistWorker("worker-0");
  other->m_avoidUntil = absl::InfinitePast();
  cluster.Run(absl::Seconds(12));
  CHECK(cluster.m_workers.StartCount() == 2);
  CheckInvariants(cluster);
}

// Guards against a restart that the store reports after the new incarnation has
// accepted a start: the task was placed again, although it runs there (rule
// TWICE).
TEST_CASE("A start at a worker whose restart is reported later runs once",
          "[scheduler]")
{
  const QuietLog quiet;
  const int reportMs = GENERATE(0, 2, 10, 30, 60, 200);
  INFO("reported after " << reportMs << " ms");
  JobCluster cluster(2);
  cluster.m_workers.SetPlan({ .m_time = absl::Seconds(2) });
  cluster.AddDaemon("one");
  cluster.Run(absl::Seconds(1));
  cluster.At("one").m_scheduler->WorkerOnMachine("machine-1")->m_avoidUntil =
    cluster.m_loop.Now() + absl::Milliseconds(420);
  cluster.RestartWorker("worker-0");
  cluster.Run(absl::Milliseconds(400));
  cluster.Submit(JobCluster::MakeJob("job1", 2, 1));
  while (cluster.m_workers.StartCount() < 2) {
    cluster.Run(absl::Milliseconds(1));
  }
  cluster.Run(absl::Milliseconds(2 + reportMs));
  // The next attempt, if there is one, runs on the other worker.
  cluster.At("one").m_scheduler->WorkerOnMachine("machine-0")->m_avoidUntil =
    absl::InfiniteFuture();
  cluster.At("one").m_scheduler->WorkerOnMachine("machine-1")->m_avoidUntil =
    absl::InfinitePast();
  cluster.ListWorker("worker-0");
  cluster.Run(absl::Seconds(4));
  CHECK(cluster.m_workers.StartCount() == 2);
  CHECK(cluster.State("job1") == "completed");
  CheckInvariants(cluster);
}

// Guards against an owner that is cut off from the store and starts a task on a
// worker that has restarted and forgotten the next owner's fence (rule TWICE).
TEST_CASE(
  "An owner cut off from the store asks a worker before it starts there",
  "[scheduler]")
{
  const QuietLog quiet;
  JobCluster cluster(1);
  cluster.m_workers.SetPlanner([](const std::string& aTask, std::int64_t) {
    return FakeRunPlan{ .m_time = aTask.starts_with("job1.0.0")
                                    ? absl::Milliseconds(100)
                                    : absl::Seconds(20) };
  });
  cluster.AddDaemon("one");
  cluster.Run(kStartup);
  cluster.Submit(JobCluster::MakeJob("job1", 1, 2));
  JobCluster::Daemon& first = cluster.At("one");
  while (!cluster.m_workers.HasEverRun("job1.0.0.0")) {
    cluster.Run(absl::Milliseconds(1));
  }
  first.m_scheduler->WorkerOnMachine("machine-0")->m_avoidUntil =
    cluster.m_loop.Now() + absl::Seconds(5);
  cluster.Run(absl::Milliseconds(600));
  REQUIRE(cluster.m_workers.StartCount() == 1);
  first.m_store.m_isPartitioned = true;
  const WorkerReport spare = JobCluster::MakeReport(7);
  cluster.m_workers.Add(spare);
  cluster.m_reports[spare.m_id] = spare;
  cluster.AddDaemon("two");
  while (cluster.At("two").m_scheduler == nullptr) {
    cluster.Run(absl::Milliseconds(1));
  }
  cluster.At("two").m_scheduler->WorkerOnMachine("machine-0")->m_avoidUntil =
    absl::InfiniteFuture();
  cluster.Run(absl::Milliseconds(300));
  REQUIRE(cluster.m_workers.RunningOn("job1.0.1.0").size() == 1);
  cluster.RestartWorker("worker-0");
  cluster.Run(absl::Seconds(5));
  CHECK(cluster.m_workers.StartCount() == 2);
  CheckInvariants(cluster);
}
