#include "scheduler/job_keys.h"
#include "tests/fakes/job_cluster.h"
#include "tests/fakes/quiet_log.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <vector>

using namespace bramleystall;

namespace {

constexpr absl::Duration kStartup = absl::Milliseconds(300);

/** Fails the test for each invariant that the fake workers saw violated. */
void
CheckInvariants(JobCluster& aCluster)
{
  for (const std::string& broken : aCluster.m_workers.Violations()) {
    FAIL_CHECK(broken);
  }
}

JobRecord
MakeLongRunning(const std::string& aId, int aTasks)
{
  JobRecord record = JobCluster::MakeJob(aId, aTasks, 1);
  record.m_steps.front().m_isLongRunning = true;
  record.m_steps.front().m_maxPerWorker = 1;
  record.m_steps.front().m_maxDisrupted = 1;
  return record;
}

const FakeRunPlan kRunsForever{ .m_isLongRunning = true };

}

// Guards against steps that start before the earlier ones have ended and jobs
// that are shown as completed too early.
TEST_CASE("A job runs its steps in order and is completed", "[scheduler]")
{
  const QuietLog quiet;
  JobCluster cluster(3);
  cluster.AddDaemon("one");
  cluster.Run(kStartup);
  cluster.Submit(JobCluster::MakeJob("job1", 4, 2));
  cluster.Run(absl::Milliseconds(200));
  REQUIRE(cluster.m_workers.HasEverRun("job1.0.0.3"));
  REQUIRE_FALSE(cluster.m_workers.HasEverRun("job1.0.1.0"));
  cluster.Run(absl::Milliseconds(900));
  REQUIRE(cluster.State("job1") == "completed");
  REQUIRE(cluster.m_workers.StartCount() == 8);
  CheckInvariants(cluster);
}

// Guards against a second start of tasks that ran when the owner failed (rule
// TWICE).
TEST_CASE("A new owner continues the jobs of a killed one", "[scheduler]")
{
  const QuietLog quiet;
  JobCluster cluster(3);
  cluster.m_workers.SetPlan({ .m_time = absl::Milliseconds(1500) });
  cluster.AddDaemon("one");
  cluster.Run(kStartup);
  cluster.AddDaemon("two");
  cluster.Submit(JobCluster::MakeJob("job1", 4, 2));
  cluster.Run(absl::Milliseconds(2000));
  REQUIRE(cluster.Owner() == "one");
  cluster.KillDaemon("one");
  cluster.Run(absl::Seconds(6));
  REQUIRE(cluster.Owner() == "two");
  REQUIRE(cluster.State("job1") == "completed");
  REQUIRE(cluster.m_workers.StartCount() == 8);
  CheckInvariants(cluster);
}

// Guards against an owner without the store that restarts tasks of a worker it
// cannot reach, although the next owner has recorded their ends (run scale-1 of
// lican-gt).
TEST_CASE("An owner cut off from the store restarts no task after its lease",
          "[scheduler]")
{
  const QuietLog quiet;
  JobCluster cluster(2);
  cluster.m_workers.SetPlan({ .m_time = absl::Milliseconds(1500) });
  cluster.AddDaemon("one");
  cluster.Run(kStartup);
  cluster.AddDaemon("two");
  cluster.Submit(JobCluster::MakeJob("job1", 4, 1));
  cluster.Run(absl::Milliseconds(200));
  const std::string worker = cluster.m_workers.RunningOn("job1.0.0.0").front();
  cluster.At("one").m_store.m_isPartitioned = true;
  cluster.At("one").m_workers.m_unreachableWorkers = { worker };
  cluster.Run(absl::Seconds(12));
  REQUIRE(cluster.State("job1") == "completed");
  REQUIRE(cluster.m_workers.StartCount() == 4);
  CheckInvariants(cluster);
}

// Guards against a lease that counts as expired too soon, because the worker's
// clock counts as read when a long turn of the loop began (rule TWICE, run
// trouble-2 of cavefraiche-sched-grown).
TEST_CASE("A response that is read late in a turn does not shorten the lease",
          "[scheduler]")
{
  const QuietLog quiet;
  JobCluster cluster(2);
  cluster.m_workers.SetPlan({ .m_time = absl::Seconds(20) });
  cluster.AddDaemon("one");
  cluster.Run(kStartup);
  cluster.Submit(JobCluster::MakeJob("job1", 1, 1));
  cluster.At("one").m_workers.m_iterationTime = absl::Milliseconds(400);
  cluster.Run(absl::Milliseconds(2500));
  const std::string worker = cluster.m_workers.RunningOn("job1.0.0.0").front();
  cluster.At("one").m_workers.m_unreachableWorkers = { worker };
  cluster.Run(absl::Seconds(12));
  REQUIRE(cluster.m_workers.StartCount() == 2);
  CheckInvariants(cluster);
}

// Guards against tasks that stay lost with their worker.
TEST_CASE("Tasks of a crashed worker start elsewhere after their lease",
          "[scheduler]")
{
  const QuietLog quiet;
  JobCluster cluster(2);
  cluster.m_workers.SetPlan({ .m_time = absl::Seconds(1) });
  cluster.AddDaemon("one");
  cluster.Run(kStartup);
  cluster.Submit(JobCluster::MakeJob("job1", 2, 1));
  cluster.Run(absl::Milliseconds(300));
  cluster.CrashWorker(cluster.m_workers.RunningOn("job1.0.0.0").front());
  cluster.Run(absl::Seconds(8));
  REQUIRE(cluster.State("job1") == "completed");
  CheckInvariants(cluster);
}

// Guards against waiting for a lease when the worker reports a restart.
TEST_CASE("Tasks of a restarted worker start again at once", "[scheduler]")
{
  const QuietLog quiet;
  JobCluster cluster(1);
  cluster.m_workers.SetPlan({ .m_time = absl::Seconds(1) });
  cluster.AddDaemon("one");
  cluster.Run(kStartup);
  cluster.Submit(JobCluster::MakeJob("job1", 2, 1));
  cluster.Run(absl::Milliseconds(300));
  cluster.RestartWorker("worker-0");
  cluster.Run(absl::Milliseconds(2500));
  REQUIRE(cluster.State("job1") == "completed");
  CheckInvariants(cluster);
}

// Guards against a second start of a task whose start response was lost.
TEST_CASE("A start without a response runs once", "[scheduler]")
{
  const QuietLog quiet;
  JobCluster cluster(2);
  cluster.AddDaemon("one");
  cluster.Run(kStartup);
  cluster.At("one").m_workers.m_lostStartResponses = 2;
  cluster.At("one").m_workers.m_delayedStarts = 1;
  cluster.Submit(JobCluster::MakeJob("job1", 4, 1));
  cluster.Run(absl::Seconds(9));
  REQUIRE(cluster.State("job1") == "completed");
  CheckInvariants(cluster);
}

// Guards against a task without progress that delays its job for ever.
TEST_CASE("A stalled task is started elsewhere", "[scheduler]")
{
  const QuietLog quiet;
  JobCluster cluster(2);
  cluster.m_workers.SetPlanner([](const std::string&, std::int64_t aAttempt) {
    return FakeRunPlan{ .m_isStalled = aAttempt == 1 };
  });
  cluster.AddDaemon("one");
  cluster.Run(kStartup);
  cluster.Submit(JobCluster::MakeJob("job1", 1, 1));
  cluster.Run(absl::Seconds(5));
  REQUIRE(cluster.State("job1") == "completed");
  CheckInvariants(cluster);
}

// Guards against endless retries of jobs that can never complete.
TEST_CASE("A job fails after its queue's number of attempts", "[scheduler]")
{
  const QuietLog quiet;
  JobCluster cluster(2);
  cluster.m_workers.SetPlan(
    { .m_time = absl::Milliseconds(50), .m_end = TaskEndKind::Failed });
  cluster.AddDaemon("one");
  cluster.Run(kStartup);
  cluster.Submit(JobCluster::MakeJob("job1", 1, 1));
  cluster.Run(absl::Seconds(2));
  REQUIRE(cluster.State("job1") == "failed");
  REQUIRE(cluster.m_workers.StartCount("job1.0.0.0") == 3);
}

// Guards against tasks of a cancelled job that start or keep running (rule
// UNASKED).
TEST_CASE("A cancelled job stops and starts nothing more", "[scheduler]")
{
  const QuietLog quiet;
  JobCluster cluster(1);
  cluster.m_workers.SetPlan(kRunsForever);
  cluster.AddDaemon("one");
  cluster.Run(kStartup);
  cluster.Submit(JobCluster::MakeJob("job1", 6, 1));
  cluster.Run(absl::Milliseconds(300));
  REQUIRE(cluster.m_workers.RunningOn("job1.0.0.0").size() == 1);
  cluster.CancelJob("job1");
  cluster.Run(absl::Seconds(1));
  REQUIRE(cluster.State("job1") == "cancelled");
  REQUIRE(cluster.m_workers.RunningOn("job1.0.0.0").empty());
  const int starts = cluster.m_workers.StartCount();
  cluster.Run(absl::Seconds(2));
  REQUIRE(cluster.m_workers.StartCount() == starts);
}

// Guards against a cancelled job that a new owner starts again.
TEST_CASE("A new owner does not start a cancelled job", "[scheduler]")
{
  const QuietLog quiet;
  JobCluster cluster(1);
  cluster.Submit(JobCluster::MakeJob("job1", 2, 1));
  cluster.CancelJob("job1");
  cluster.AddDaemon("one");
  cluster.Run(absl::Seconds(1));
  REQUIRE(cluster.State("job1") == "cancelled");
  REQUIRE(cluster.m_workers.StartCount() == 0);
}

// Guards against evacuating a long-running task that no other worker can run,
// since its step may have one task on each worker (rule LOST, hunts of
// lican-gt).
TEST_CASE("A long-running task is stopped only when another worker can run it",
          "[scheduler]")
{
  const QuietLog quiet;
  JobCluster cluster(3);
  cluster.m_workers.SetPlan(kRunsForever);
  cluster.AddDaemon("one");
  cluster.Run(kStartup);
  cluster.Submit(MakeLongRunning("job1", 3));
  cluster.Run(absl::Seconds(2));
  Scheduler& scheduler = *cluster.At("one").m_scheduler;
  Worker* worker = scheduler.WorkerOnMachine("machine-0");
  REQUIRE(worker->m_tasks.size() == 1);
  worker->m_isEvacuating = true;
  scheduler.EvacuateLongRunning(*worker);
  cluster.Run(absl::Seconds(1));
  REQUIRE(worker->m_tasks.size() == 1);

  const WorkerReport spare = JobCluster::MakeReport(7);
  cluster.m_workers.Add(spare);
  scheduler.OnWorkerReport(spare);
  cluster.Run(absl::Seconds(1));
  scheduler.EvacuateLongRunning(*worker);
  cluster.Run(absl::Seconds(1));
  REQUIRE(worker->m_tasks.empty());
  REQUIRE(scheduler.WorkerOnMachine("machine-7")->m_tasks.size() == 1);
}

// Guards against stopping more tasks of a step than may be disrupted (rule
// AVAIL).
TEST_CASE("Evacuation keeps to the tasks of a step that may be disrupted",
          "[scheduler]")
{
  const QuietLog quiet;
  JobCluster cluster(6);
  cluster.m_workers.SetPlan(kRunsForever);
  cluster.AddDaemon("one");
  cluster.Run(kStartup);
  cluster.Submit(MakeLongRunning("job1", 3));
  cluster.Run(absl::Seconds(2));
  Scheduler& scheduler = *cluster.At("one").m_scheduler;
  for (int i = 0; i < 6; ++i) {
    Worker* worker = scheduler.WorkerOnMachine(absl::StrCat("machine-", i));
    scheduler.EvacuateLongRunning(*worker);
  }
  cluster.Run(absl::Milliseconds(20));
  int stopping = 0;
  for (int i = 0; i < 6; ++i) {
    for (const Task* task :
         scheduler.WorkerOnMachine(absl::StrCat("machine-", i))->m_tasks) {
      stopping += task->m_phase == TaskPhase::Stopping ? 1 : 0;
    }
  }
  REQUIRE(stopping == 1);
}

// Guards against stopping a task while another one of its step is lost with its
// worker (rule AVAIL, run trouble-1 of cavefraiche-sched).
TEST_CASE("A task on an unresponsive worker counts as disrupted", "[scheduler]")
{
  const QuietLog quiet;
  JobCluster cluster(4);
  cluster.m_workers.SetPlan(kRunsForever);
  cluster.AddDaemon("one");
  cluster.Run(kStartup);
  cluster.Submit(MakeLongRunning("job1", 3));
  cluster.Run(absl::Seconds(2));
  const std::string lost = cluster.m_workers.RunningOn("job1.0.0.0").front();
  const std::string kept = cluster.m_workers.RunningOn("job1.0.0.1").front();
  cluster.m_workers.Crash(lost);
  cluster.Run(absl::Milliseconds(1600));
  Scheduler& scheduler = *cluster.At("one").m_scheduler;
  Worker* worker =
    scheduler.WorkerOnMachine(cluster.m_reports.at(kept).m_machine);
  scheduler.EvacuateLongRunning(*worker);
  cluster.Run(absl::Milliseconds(300));
  REQUIRE(worker->m_tasks.size() == 1);
}

// Guards against mistaking an older worker of a machine for the newer one when
// the store lists only the older one (rule TWICE, hunt of lican-gt).
TEST_CASE("A stale entry does not end a newer worker of its machine",
          "[scheduler]")
{
  const QuietLog quiet;
  JobCluster cluster(1);
  cluster.m_workers.SetPlan({ .m_time = absl::Milliseconds(3000) });
  WorkerReport newer = JobCluster::MakeReport(1);
  newer.m_machine = "machine-0";
  newer.m_startTimeMs = 5000;
  cluster.m_workers.Add(newer);
  cluster.m_reports[newer.m_id] = newer;
  cluster.AddDaemon("one");
  cluster.Run(kStartup);
  cluster.Submit(JobCluster::MakeJob("job1", 2, 1));
  cluster.Run(absl::Milliseconds(500));
  REQUIRE(cluster.m_workers.RunningOn("job1.0.0.0") ==
          std::vector<std::string>{ newer.m_id });
  // The new owner cannot reach the newer worker, and the store no longer lists
  // it.
  cluster.m_reports.erase(newer.m_id);
  cluster.KillDaemon("one");
  cluster.AddDaemon("two");
  cluster.At("two").m_workers.m_unreachableWorkers = { newer.m_id };
  cluster.Run(absl::Seconds(5));
  REQUIRE(cluster.Owner() == "two");
  REQUIRE(cluster.m_workers.StartCount() == 2);
  cluster.At("two").m_workers.m_unreachableWorkers.clear();
  cluster.Run(absl::Seconds(5));
  REQUIRE(cluster.State("job1") == "completed");
  REQUIRE(cluster.m_workers.StartCount() == 2);
  CheckInvariants(cluster);
}

// Guards against steps that do not start while the store is unreachable.
TEST_CASE("Steps go on through a short outage of the store", "[scheduler]")
{
  const QuietLog quiet;
  JobCluster cluster(1);
  cluster.AddDaemon("one");
  cluster.Run(kStartup);
  cluster.Submit(JobCluster::MakeJob("job1", 2, 4));
  cluster.Run(absl::Milliseconds(200));
  cluster.At("one").m_store.m_isPartitioned = true;
  cluster.Run(absl::Milliseconds(3000));
  REQUIRE(cluster.m_workers.HasEverRun("job1.0.3.0"));
  cluster.At("one").m_store.m_isPartitioned = false;
  cluster.Run(absl::Milliseconds(3000));
  REQUIRE(cluster.State("job1") == "completed");
  REQUIRE(cluster.m_workers.StartCount() == 8);
  CheckInvariants(cluster);
}

// Guards against a task that starts on a worker where the next owner would not
// look for it.
TEST_CASE("The store names a job's workers before the first start",
          "[scheduler]")
{
  const QuietLog quiet;
  JobCluster cluster(2);
  cluster.AddDaemon("one");
  cluster.Run(kStartup);
  cluster.At("one").m_store.m_isRefusing = true;
  cluster.Submit(JobCluster::MakeJob("job1", 2, 1));
  cluster.Run(absl::Milliseconds(600));
  REQUIRE(cluster.m_workers.StartCount() == 0);
  cluster.At("one").m_store.m_isRefusing = false;
  cluster.Run(absl::Seconds(3));
  REQUIRE(cluster.State("job1") == "completed");
  CheckInvariants(cluster);
}

// Guards against further orders of an owner that a worker knows to be
// superseded.
TEST_CASE("An owner steps down at a later fencing token", "[scheduler]")
{
  const QuietLog quiet;
  JobCluster cluster(1);
  cluster.AddDaemon("one");
  cluster.Run(kStartup);
  cluster.m_workers.RenewLease("worker-0", { .m_fencingToken = 1000000000000 });
  cluster.Submit(JobCluster::MakeJob("job1", 1, 1));
  cluster.At("one").m_store.m_isRefusing = false;
  cluster.Run(absl::Milliseconds(100));
  REQUIRE(cluster.At("one").m_scheduler == nullptr);
}
