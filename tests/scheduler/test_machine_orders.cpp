#include "tests/fakes/fleet_fixture.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <algorithm>

using namespace bramleystall;

// Guards against a next owner that sends an order for a machine within the turn
// of this one, since the stored orders lack a repeated one (rule ONE).
TEST_CASE("The next owner knows of machine orders that are repeated",
          "[machine_orders]")
{
  FleetFixture fleet(2);
  fleet.StartController();
  fleet.m_cluster.Run(absl::Milliseconds(300));
  fleet.m_machines.m_isSilent = true;
  fleet.m_controller->OnWave(MakeWave(2, 2));
  const std::string key = fleet.m_cluster.m_keys.MachineOrders();
  for (int i = 0; i < 200; ++i) {
    fleet.m_cluster.Run(absl::Milliseconds(50));
    const absl::Time now = fleet.m_cluster.m_loop.Now();
    const std::string stored = fleet.m_cluster.m_store.Value(key);
    for (const FakeMachines::Order& order : fleet.m_machines.SentOrders()) {
      if (now - order.m_at < FleetSettings{}.m_machineTurn) {
        INFO("stored orders " << stored << " after " << i * 50 << " ms");
        REQUIRE(stored.find(order.m_machine) != std::string::npos);
      }
    }
  }
  REQUIRE(fleet.m_machines.SentOrders().size() > 4);
}

// Guards against an owner that repeats an order for a machine although the
// store no longer takes its writes, so that another owner may have sent one
// (rule ONE).
TEST_CASE("A machine order is repeated only after a write of the owner",
          "[machine_orders]")
{
  FleetFixture fleet(2);
  fleet.StartController();
  fleet.m_cluster.Run(absl::Milliseconds(300));
  fleet.m_machines.m_isSilent = true;
  fleet.m_controller->OnWave(MakeWave(2, 2));
  fleet.m_cluster.Run(absl::Milliseconds(1500));
  const std::size_t sent = fleet.m_machines.SentOrders().size();
  REQUIRE(sent == 2);
  fleet.m_cluster.At("one").m_store.m_isCommitStalled =
    [](const StoreTransaction&) { return true; };
  fleet.m_cluster.Run(absl::Seconds(2));
  REQUIRE(fleet.m_cluster.Owner() == "one");
  REQUIRE(fleet.m_machines.SentOrders().size() == sent);
}

// Guards against a wave that is shown as completed since one list lacks a
// machine that stays (rule MIXED).
TEST_CASE("A machine that one list lacks stays in its wave", "[machine_orders]")
{
  FleetFixture fleet(2);
  fleet.m_machines.m_unlistedMachines = { "machine-0" };
  fleet.StartController();
  fleet.m_controller->OnWave(MakeWave(1, 1));
  fleet.m_cluster.Run(absl::Milliseconds(700));
  REQUIRE(fleet.m_machines.ListCount() == 1);
  REQUIRE(fleet.m_cluster.m_store.Value("wave-status/1") != "done");
  fleet.m_machines.m_unlistedMachines.clear();
  fleet.m_cluster.Run(absl::Seconds(12));
  REQUIRE(std::ranges::any_of(
    fleet.m_machines.Orders(), [](const FakeMachines::Order& aOrder) {
      return aOrder.m_machine == "machine-0" && aOrder.m_pool.empty();
    }));
  REQUIRE(fleet.m_cluster.m_store.Value("wave-status/1") == "done");
}

// Guards against a wave that never completes since one of its machines has
// left the platform.
TEST_CASE("A wave is completed without a machine that has left",
          "[machine_orders]")
{
  FleetFixture fleet(2);
  fleet.m_machines.m_unlistedMachines = { "machine-0" };
  fleet.StartController();
  fleet.m_controller->OnWave(MakeWave(1, 1));
  fleet.m_cluster.Run(absl::Seconds(6));
  REQUIRE(fleet.m_cluster.m_store.Value("wave-status/1") == "done");
}

// Guards against more machines down at once than the wave allows, since an
// order of the previous owner is carried out after the next one has listed the
// machines (rule LIMIT).
TEST_CASE("Machines that a previous owner may have ordered count in the limit",
          "[machine_orders]")
{
  FleetFixture fleet(4);
  fleet.m_cluster.m_store.Set(fleet.m_cluster.m_keys.MachineOrders(),
                              R"(["machine-1"])");
  fleet.StartController();
  fleet.m_controller->OnWave(MakeWave(4, 1));
  fleet.m_cluster.Run(absl::Milliseconds(500));
  fleet.m_machines.Maintain("machine-1",
                            1,
                            { .m_holder = "two", .m_fencingToken = 6 },
                            [](MachineOutcome) {});
  fleet.m_cluster.Run(absl::Seconds(18));
  REQUIRE(fleet.m_machines.MaxInMaintenance() == 1);
  REQUIRE(fleet.m_cluster.m_store.Value("wave-status/1") == "done");
}
// Guards against a machine whose worker is taken for unlisted, since the entry
// of an earlier one was read after its own.
TEST_CASE("The latest worker of a machine is the one that runs on it",
          "[machine_orders]")
{
  FleetFixture fleet(1);
  Scheduler& scheduler = *fleet.m_cluster.At("one").m_scheduler;
  WorkerReport later = fleet.m_cluster.m_reports.at("worker-0");
  later.m_id = "a-worker";
  later.m_startTimeMs += 1000;
  WorkerReport earlier = later;
  earlier.m_id = "b-worker";
  earlier.m_startTimeMs -= 500;
  scheduler.OnWorkerReport(later);
  scheduler.OnWorkerReport(earlier);
  REQUIRE(scheduler.WorkerOnMachine("machine-0") != nullptr);
  REQUIRE(scheduler.WorkerOnMachine("machine-0")->m_report.m_id == "a-worker");
  scheduler.OnWorkerRemoved("b-worker");
  REQUIRE(scheduler.WorkerOnMachine("machine-0") != nullptr);
  REQUIRE(scheduler.WorkerOnMachine("machine-0")->m_report.m_id == "a-worker");
}
