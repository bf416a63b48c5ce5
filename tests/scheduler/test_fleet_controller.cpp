#include "tests/fakes/fleet_fixture.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace bramleystall;

// Guards against more machines down at once than the wave allows (rule LIMIT)
// and against a wave that is shown as completed too early (rule MIXED).
TEST_CASE("A wave maintains each machine and keeps to its limit",
          "[fleet_keeper]")
{
  FleetFixture fleet(6);
  fleet.StartController();
  fleet.m_controller->OnWave(MakeWave(6, 2));
  for (int i = 0;
       i < 200 && fleet.m_cluster.m_store.Value("wave-status/1") != "done";
       ++i) {
    fleet.m_cluster.Run(absl::Milliseconds(100));
  }
  std::set<std::string> maintained;
  for (const FakeMachines::Order& order : fleet.m_machines.Orders()) {
    if (order.m_pool.empty()) {
      maintained.insert(order.m_machine);
    }
  }
  REQUIRE(fleet.m_cluster.m_store.Value("wave-status/1") == "done");
  REQUIRE(maintained.size() == 6);
  REQUIRE(fleet.m_machines.MaxInMaintenance() <= 2);
}

// Guards against machines that stay idle in a pool, and against a pool that
// stays short while the standby pool has machines.
TEST_CASE("Machines follow the load to and from standby", "[fleet_keeper]")
{
  FleetFixture fleet(6);
  fleet.StartController();
  fleet.m_cluster.Run(absl::Seconds(4));
  const auto inStandby = [&fleet] {
    int count = 0;
    for (int i = 0; i < 6; ++i) {
      count +=
        fleet.m_machines.At(absl::StrCat("machine-", i)).m_pool == "spare" ? 1
                                                                           : 0;
    }
    return count;
  };
  REQUIRE(inStandby() == 5);
  fleet.m_cluster.m_workers.SetPlan({ .m_time = absl::Seconds(3) });
  fleet.m_cluster.Submit(JobCluster::MakeJob("job1", 16, 1));
  fleet.m_cluster.Run(absl::Seconds(3));
  REQUIRE(inStandby() <= 2);
  fleet.m_cluster.Run(absl::Seconds(6));
  REQUIRE(fleet.m_cluster.State("job1") == "completed");
}

// Guards against an order for a machine whose worker the store no longer lists
// although tasks run there (rule AVAIL, run scale-1 of lican-gt).
TEST_CASE("A machine with an unlisted worker and tasks gets no order",
          "[fleet_keeper]")
{
  FleetFixture fleet(1);
  fleet.m_cluster.m_workers.SetPlan({ .m_isLongRunning = true });
  JobRecord record = JobCluster::MakeJob("job1", 2, 1);
  record.m_steps.front().m_isLongRunning = true;
  fleet.m_cluster.Submit(record);
  fleet.m_cluster.Run(absl::Seconds(1));
  fleet.m_cluster.At("one").m_scheduler->OnWorkerRemoved("worker-0");
  fleet.StartController();
  fleet.m_controller->OnWave(MakeWave(1, 1));
  fleet.m_cluster.Run(absl::Seconds(18));
  REQUIRE(fleet.m_machines.Orders().empty());
}

// Guards against a new owner that sends an order for a machine before its
// worker has listed its tasks (rule AVAIL, run fresh-76be of
// cavefraiche-sched).
TEST_CASE("A machine gets no order until its worker has responded",
          "[fleet_keeper]")
{
  FleetFixture fleet(3);
  fleet.m_cluster.m_workers.SetPlan({ .m_isLongRunning = true });
  JobRecord record = JobCluster::MakeJob("job1", 2, 1);
  record.m_steps.front().m_isLongRunning = true;
  fleet.m_cluster.Submit(record);
  fleet.m_cluster.Run(absl::Seconds(1));
  fleet.m_cluster.KillDaemon("one");
  fleet.m_cluster.AddDaemon("one");
  fleet.m_cluster.At("one").m_workers.m_unreachableWorkers = { "worker-0",
                                                               "worker-1",
                                                               "worker-2" };
  fleet.m_cluster.Run(absl::Milliseconds(150));
  REQUIRE(fleet.m_cluster.At("one").m_scheduler != nullptr);
  fleet.StartController();
  fleet.m_controller->OnWave(MakeWave(3, 3));
  fleet.m_cluster.Run(absl::Seconds(2));
  REQUIRE(fleet.m_machines.Orders().empty());
}

// Guards against two owners that send orders for one machine within a short
// time (rule ONE).
TEST_CASE("A machine that a previous owner ordered gets no order for its turn",
          "[fleet_keeper]")
{
  FleetFixture fleet(4);
  fleet.m_cluster.m_store.Set(fleet.m_cluster.m_keys.MachineOrders(),
                              R"(["machine-1"])");
  const absl::Time start = fleet.m_cluster.m_loop.Now();
  fleet.StartController();
  fleet.m_controller->OnWave(MakeWave(4, 4));
  fleet.m_cluster.Run(absl::Seconds(10));
  bool hasOther = false;
  for (const FakeMachines::Order& order : fleet.m_machines.Orders()) {
    if (order.m_machine == "machine-1") {
      REQUIRE(order.m_at - start >= absl::Seconds(3));
    } else {
      hasOther = hasOther || order.m_at - start < absl::Seconds(3);
    }
  }
  REQUIRE(hasOther);
}

// Guards against malformed documents that end each new owner in turn.
TEST_CASE("A wave goes on although stored documents are malformed",
          "[fleet_keeper]")
{
  FleetFixture fleet(2);
  const keys::ShardKeys& keys = fleet.m_cluster.m_keys;
  fleet.m_cluster.m_store.Set(keys.MachineOrders(), R"([7,"machine-9"])");
  fleet.m_cluster.m_store.Set(keys.Wave(1), R"({"done":5})");
  fleet.m_cluster.m_store.Set(keys::ShardKeys(1).Wave(1),
                              R"({"done":[],"completed":"no"})");
  fleet.StartController();
  fleet.m_controller->OnWave(MakeWave(2, 2));
  fleet.m_cluster.Run(absl::Seconds(12));
  REQUIRE(fleet.m_machines.Orders().size() >= 2);
  REQUIRE(fleet.m_cluster.m_store.Value("wave-status/1") == "done");
}

// Guards against a wave that never completes because the retry of an order
// without a response came while orders were not allowed.
TEST_CASE("A maintenance order without a response is repeated until it is "
          "answered",
          "[fleet_keeper]")
{
  FleetFixture fleet(2);
  fleet.StartController();
  fleet.m_machines.m_lostResponses = 1;
  fleet.m_controller->OnWave(MakeWave(2, 1));
  fleet.m_cluster.Run(absl::Milliseconds(500));
  fleet.m_holdsLease = false;
  fleet.m_cluster.Run(absl::Seconds(3));
  fleet.m_holdsLease = true;
  fleet.m_cluster.Run(absl::Seconds(15));
  REQUIRE(fleet.m_cluster.m_store.Value("wave-status/1") == "done");
}

// Guards against idle workers that get no task for good, since the move of
// their machine got no response and was not carried out (rule LOST, review/4).
TEST_CASE("A worker whose machine has stayed takes tasks again",
          "[fleet_keeper]")
{
  FleetFixture fleet(4);
  fleet.m_cluster.m_workers.SetPlanner(
    [](const std::string& aTask, std::int64_t) {
      return FakeRunPlan{ .m_time = aTask.starts_with("long")
                                      ? absl::Seconds(30)
                                      : absl::Milliseconds(300) };
    });
  fleet.StartController();
  fleet.m_cluster.Run(absl::Milliseconds(500));
  fleet.m_machines.m_isSilent = true;
  fleet.m_cluster.Run(absl::Seconds(5));
  fleet.m_machines.m_isSilent = false;
  REQUIRE(fleet.m_machines.Orders().empty());
  // Keeps the remaining machine busy.
  fleet.m_cluster.Submit(JobCluster::MakeJob("long", 4, 1));
  fleet.m_cluster.Run(absl::Seconds(3));
  fleet.m_cluster.Submit(JobCluster::MakeJob("short", 4, 1));
  fleet.m_cluster.Run(absl::Seconds(4));
  REQUIRE_FALSE(fleet.m_cluster.m_workers.RunningOn("long.0.0.0").empty());
  REQUIRE(fleet.m_cluster.State("short") == "completed");
}

// Guards against a task that starts on a worker whose machine has left, though
// the response to the order was lost.
TEST_CASE("A worker takes tasks after an order only once it has responded",
          "[fleet_keeper]")
{
  FleetFixture fleet(1);
  fleet.m_cluster.At("one").m_workers.m_unreachableWorkers = { "worker-0" };
  Scheduler& scheduler = *fleet.m_cluster.At("one").m_scheduler;
  scheduler.SetEvacuating("worker-0", true);
  scheduler.SetEvacuating("worker-0", false);
  fleet.m_cluster.Submit(JobCluster::MakeJob("job1", 1, 1));
  fleet.m_cluster.Run(absl::Seconds(3));
  REQUIRE(scheduler.WorkerOnMachine("machine-0")->m_tasks.empty());
  fleet.m_cluster.At("one").m_workers.m_unreachableWorkers.clear();
  fleet.m_cluster.Run(absl::Seconds(3));
  REQUIRE(fleet.m_cluster.State("job1") == "completed");
}

// Guards against orders that are unknown to the next owner.
TEST_CASE("An order is sent only after the store has it", "[fleet_keeper]")
{
  FleetFixture fleet(2);
  fleet.StartController();
  fleet.m_cluster.Run(absl::Milliseconds(400));
  fleet.m_cluster.At("one").m_store.m_isRefusing = true;
  fleet.m_controller->OnWave(MakeWave(2, 2));
  fleet.m_cluster.Run(absl::Milliseconds(900));
  REQUIRE(fleet.m_machines.Orders().empty());
}

// Guards against a wave that is shown as completed while another shard still
// works on it (rule MIXED), and against shards that each use the whole limit.
TEST_CASE("A wave is reported as completed once all shards have completed it",
          "[fleet_keeper]")
{
  FleetFixture fleet(6);
  std::vector<MachineEntry> machines(140);
  for (std::size_t i = 0; i < machines.size(); ++i) {
    machines[i].m_name = absl::StrCat("machine-", i);
    machines[i].m_pool = "counter";
    machines[i].m_state = MachineState::Up;
  }
  fleet.m_layout = ShardLayout::Divide(machines, 0);
  REQUIRE(fleet.m_layout.Count() == 2);
  fleet.StartController();
  fleet.m_controller->OnWave(MakeWave(6, 2));
  fleet.m_cluster.Run(absl::Seconds(18));
  std::set<std::string> maintained;
  for (const FakeMachines::Order& order : fleet.m_machines.Orders()) {
    if (order.m_pool.empty()) {
      maintained.insert(order.m_machine);
      REQUIRE(fleet.m_layout.OfMachine(order.m_machine) == 0);
    }
  }
  REQUIRE_FALSE(maintained.empty());
  REQUIRE(maintained.size() < 6);
  REQUIRE(fleet.m_machines.MaxInMaintenance() == 1);
  REQUIRE(fleet.m_cluster.m_store.Value("wave-status/1") == "open");
  fleet.m_cluster.m_store.Set(keys::ShardKeys(1).Wave(1),
                              R"({"done":[],"completed":true})");
  fleet.m_cluster.Run(absl::Seconds(2));
  REQUIRE(fleet.m_cluster.m_store.Value("wave-status/1") == "done");
}

// Guards against a new owner that reports a completed wave as running again.
TEST_CASE("A new owner leaves the status of a completed wave unchanged",
          "[fleet_keeper]")
{
  FleetFixture fleet(3);
  fleet.m_cluster.m_store.Set(
    fleet.m_cluster.m_keys.Wave(1),
    R"({"done":["machine-0","machine-1","machine-2"],"completed":true})");
  fleet.m_cluster.m_store.Set("wave-status/1", "done");
  std::set<std::string> reports;
  fleet.StartController();
  fleet.m_controller->OnWave(MakeWave(3, 3));
  for (int i = 0; i < 100; ++i) {
    fleet.m_cluster.Run(absl::Milliseconds(20));
    reports.insert(fleet.m_cluster.m_store.Value("wave-status/1"));
  }
  REQUIRE(reports == std::set<std::string>{ "done" });
  REQUIRE(std::ranges::none_of(
    fleet.m_machines.Orders(),
    [](const FakeMachines::Order& aOrder) { return aOrder.m_pool.empty(); }));
}

// Guards against late jobs that keep machines from another pool whose jobs can
// still be in time (run scale-1 of cavefraiche-sched-grown).
TEST_CASE("Late jobs start nothing while another pool is short",
          "[fleet_keeper]")
{
  FleetFixture fleet(2);
  fleet.AddQueueWithPool("alarms");
  fleet.m_cluster.m_workers.SetPlan({ .m_time = absl::Milliseconds(600) });
  JobRecord late = JobCluster::MakeJob("late", 80, 1);
  late.m_acceptedAtMs -= 60000;
  fleet.m_cluster.Submit(late);
  fleet.m_cluster.Run(absl::Milliseconds(200));
  fleet.StartController();
  JobRecord urgent = JobCluster::MakeJob("urgent", 8, 1);
  urgent.m_queue = "alarms";
  urgent.m_pool = "alarms";
  urgent.m_steps.front().m_estimateMs = 3000;
  fleet.m_cluster.Submit(urgent);
  fleet.m_cluster.Run(absl::Seconds(6));
  REQUIRE(fleet.m_cluster.State("urgent") == "completed");
  REQUIRE(fleet.m_cluster.State("late") == "running");
  fleet.m_cluster.Run(absl::Seconds(20));
  REQUIRE(fleet.m_cluster.State("late") == "completed");
}

// Guards against accepted jobs that wait although machines that cannot leave
// their pool have room for them (LOST on the small twins of lican-gt-large).
TEST_CASE("Late jobs use the room beside long-running tasks", "[fleet_keeper]")
{
  FleetFixture fleet(2);
  fleet.AddQueueWithPool("alarms");
  fleet.m_cluster.m_workers.SetPlanner(
    [](const std::string& aTask, std::int64_t) {
      return FakeRunPlan{ .m_time = absl::Milliseconds(600),
                          .m_isLongRunning = aTask.starts_with("serving") };
    });
  JobRecord serving = JobCluster::MakeJob("serving", 2, 1);
  serving.m_steps.front().m_isLongRunning = true;
  serving.m_steps.front().m_maxPerWorker = 1;
  fleet.m_cluster.Submit(serving);
  fleet.m_cluster.Run(absl::Seconds(1));
  fleet.StartController();
  // No machine can leave the pool, so the other pool stays short.
  JobRecord urgent = JobCluster::MakeJob("urgent", 8, 1);
  urgent.m_queue = "alarms";
  urgent.m_pool = "alarms";
  urgent.m_steps.front().m_estimateMs = 60000;
  fleet.m_cluster.Submit(urgent);
  fleet.m_cluster.Run(absl::Seconds(1));
  JobRecord late = JobCluster::MakeJob("late", 12, 1);
  late.m_acceptedAtMs -= 60000;
  fleet.m_cluster.Submit(late);
  fleet.m_cluster.Run(absl::Seconds(4));
  REQUIRE(fleet.m_cluster.State("urgent") != "completed");
  REQUIRE(fleet.m_cluster.State("late") == "completed");
}

// Guards against owners that together list machines faster than the platform
// allows (run sweep-300 of lican-gt-grown: 35 owners, 15 pages).
TEST_CASE("The owners of a large fleet share the platform's read rate",
          "[fleet_keeper]")
{
  FleetFixture fleet(2);
  std::vector<MachineEntry> machines(3000);
  for (std::size_t i = 0; i < machines.size(); ++i) {
    machines[i].m_name = absl::StrCat("machine-", i);
    machines[i].m_pool = "counter";
  }
  fleet.m_layout = ShardLayout::Divide(machines, 0);
  const int pages = 1 + 3000 / 200;
  const int seconds = 60;
  const int before = fleet.m_machines.ListCount();
  fleet.StartController();
  fleet.m_cluster.Run(absl::Seconds(seconds));
  const int lists = fleet.m_machines.ListCount() - before;
  REQUIRE(lists > 0);
  REQUIRE(lists * pages * fleet.m_layout.Count() <= 64 * seconds);
}
