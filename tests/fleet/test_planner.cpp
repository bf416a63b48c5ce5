#include "core/error.h"
#include "tests/fakes/fleet_model.h"
#include "tests/fakes/lifecycle_chart.h"

#include <catch2/catch.hpp>

using namespace bramleystall;

namespace {

FleetModelOptions
TwoPools()
{
  FleetModelOptions options;
  options.m_pools = { { "a", 8, 0.75, 1 }, { "b", 8, 0.75, 3 } };
  options.m_spares = 4;
  return options;
}

FleetModel
MakeModel(const FleetModelOptions& aOptions)
{
  return FleetModel(aOptions, LoadLifecycle(BRAMLEYSTALL_SOURCE_DIR));
}

void
RunFor(FleetModel& aModel, absl::Duration aTime)
{
  const absl::Time end = aModel.Now() + aTime;
  while (aModel.Now() < end) {
    aModel.Step(PlanFleet);
  }
}

int
CountState(const FleetModel& aModel, VmState aState)
{
  return aModel.CountRecords(
    [aState](const VmRecord& aVm) { return aVm.m_state == aState; });
}

/**
 * Snapshot with one fleet document, which contains one VM. The VM fails its
 * probes and is missing from the VM list.
 */
FleetSnapshot
OneVm(VmState aState)
{
  FleetSnapshot snapshot;
  snapshot.m_now = absl::FromUnixSeconds(1800000000);
  auto configuration = std::make_shared<Configuration>();
  ServiceSpec service;
  service.m_name = service.m_pool = "a";
  service.m_poolWorkers = 1;
  service.m_availabilityBudget = 0.5;
  configuration->m_services = { service };
  snapshot.m_configuration = configuration;
  snapshot.m_lifecycle = LoadLifecycle(BRAMLEYSTALL_SOURCE_DIR);
  VmRecord record;
  record.m_name = "vm";
  record.m_pool = "a";
  record.m_state = aState;
  record.m_sinceMillis = ToMillis(snapshot.m_now - absl::Hours(1));
  snapshot.m_documents["dc"].m_dataCentre = "dc";
  snapshot.m_documents["dc"].m_vms["vm"] = record;
  snapshot.m_observations["vm"] = { false, absl::InfinitePast(), 99, 0 };
  VmListing other;
  other.m_name = "entry";
  other.m_isEntry = true;
  snapshot.m_vmList = { other };
  return snapshot;
}

VmState
StateAfter(const FleetPlan& aPlan, const std::string& aVm)
{
  return aPlan.m_changedDocuments.at("dc").m_vms.at(aVm).m_state;
}

}

// Guards against a state in which the record of a VM that is gone stays for
// ever, and against a VM that is taken as gone before `vm_gone_after_ms`.
TEST_CASE("A VM vanishes from every state but only after a while", "[fleet]")
{
  for (const VmState state : { VmState::Joining,
                               VmState::Ready,
                               VmState::Draining,
                               VmState::Drained,
                               VmState::Rebooting,
                               VmState::Probation,
                               VmState::SetAside }) {
    CAPTURE(NameOf(kVmStateNames, state));
    FleetSnapshot snapshot = OneVm(state);
    PlannerMemory memory;
    const FleetPlan first = PlanFleet(snapshot, memory);
    for (const Decision& decision : first.m_decisions) {
      CHECK(decision.m_to != VmState::Gone);
    }
    snapshot.m_now += snapshot.m_configuration->m_fleet.m_vmGoneAfter;
    snapshot.m_documents["dc"].m_vms["vm"].m_state = state;
    CHECK(StateAfter(PlanFleet(snapshot, memory), "vm") == VmState::Gone);
  }
}

// Guards against a VM that is removed on the word of one source alone: failed
// probes while there is no usable VM list or the list contains the VM, or a VM
// list without observations.
TEST_CASE("A VM needs two proofs to be gone", "[fleet]")
{
  for (const int proof : { 0, 1, 2, 3 }) {
    CAPTURE(proof);
    FleetSnapshot snapshot = OneVm(VmState::Ready);
    if (proof == 0) {
      snapshot.m_observations.clear();
    } else if (proof == 1) {
      snapshot.m_vmList->clear();
    } else if (proof == 2) {
      snapshot.m_vmList.reset();
    } else {
      snapshot.m_vmList->front().m_name = "vm";
    }
    PlannerMemory memory;
    for (int i = 0; i < 100; ++i) {
      snapshot.m_now += absl::Seconds(5);
      for (const Decision& decision : PlanFleet(snapshot, memory).m_decisions) {
        CHECK(decision.m_to != VmState::Gone);
      }
    }
  }
}

// Guards against a VM that joins and never serves: while it counts as a member
// of its pool, it is not replaced.
TEST_CASE("A VM that never passes its probes is set aside", "[fleet]")
{
  FleetSnapshot snapshot = OneVm(VmState::Joining);
  snapshot.m_vmList->front().m_name = "vm";
  PlannerMemory memory;
  CHECK(StateAfter(PlanFleet(snapshot, memory), "vm") == VmState::SetAside);
}

// Guards against a plan from a snapshot that has no configuration or no state
// chart.
TEST_CASE("A snapshot without configuration or chart is rejected", "[fleet]")
{
  PlannerMemory memory;
  FleetSnapshot snapshot = OneVm(VmState::Ready);
  snapshot.m_configuration.reset();
  CHECK_THROWS_AS(PlanFleet(snapshot, memory), Error);
  snapshot = OneVm(VmState::Ready);
  snapshot.m_lifecycle.reset();
  CHECK_THROWS_AS(PlanFleet(snapshot, memory), Error);
}

// Guards against impossible orders that stay open or give no reason.
TEST_CASE("Impossible orders are refused with a reason", "[fleet]")
{
  FleetModel model = MakeModel(TwoPools());
  const std::vector<std::pair<std::string, std::string>> orders = {
    { model.AddOrder(OrderKind::Drain, "nobody", ""), "no VM 'nobody'" },
    { model.AddOrder(OrderKind::Move, "nobody", "a"), "no VM 'nobody'" },
    { model.AddOrder(OrderKind::Move, "vm1000", "c"), "no service has pool" },
    { model.AddOrder(OrderKind::Wave, "", "c"), "no service has pool 'c'" },
    { model.AddOrder(OrderKind::CancelWave, "", "", "x"), "no open wave 'x'" },
    { model.AddOrder(OrderKind::Restore, "vm1000", ""), "not set aside" },
  };
  model.Step(PlanFleet);
  for (const auto& [id, reason] : orders) {
    const Order& order = model.FindOrder(id);
    CAPTURE(id, order.m_detail);
    CHECK(order.m_state == OrderState::Refused);
    CHECK(order.m_detail.find(reason) != std::string::npos);
  }
}

// Guards against a move that stays open for ever because its pool can never
// release a VM, so that the operator is not told.
TEST_CASE("A move that breaks the budget is refused", "[fleet]")
{
  FleetModelOptions options = TwoPools();
  options.m_pools[0].m_budget = 1;
  FleetModel model = MakeModel(options);
  const std::string id = model.AddOrder(OrderKind::Move, "vm1000", "b");
  RunFor(model, absl::Minutes(1));
  CHECK(model.FindOrder(id).m_state == OrderState::Refused);
  CHECK(model.FindOrder(id).m_detail.find("8 promised") != std::string::npos);
  CHECK(model.FindRecord("vm1000")->m_pool == "a");
}

// Guards against possible orders that are refused or not executed.
TEST_CASE("Drain, move and restore orders are carried out", "[fleet]")
{
  FleetModelOptions options = TwoPools();
  options.m_pools[1].m_budget = 0.5;
  FleetModel model = MakeModel(options);
  const std::string drain = model.AddOrder(OrderKind::Drain, "vm1000", "");
  const std::string move = model.AddOrder(OrderKind::Move, "vm1008", "a");
  RunFor(model, absl::Minutes(5));
  CHECK(model.FindOrder(drain).m_state == OrderState::Done);
  CHECK(model.Vms().at("vm1000").m_reboots == 1);
  CHECK(model.FindRecord("vm1000")->m_maintainedMillis > 0);
  CHECK(model.FindOrder(move).m_state == OrderState::Done);
  CHECK(model.FindRecord("vm1008")->m_pool == "a");

  model.Fail("vm1001", absl::Minutes(5));
  RunFor(model, absl::Seconds(45));
  CHECK(model.FindRecord("vm1001")->m_state == VmState::SetAside);
  model.EndFailures();
  const std::string restore = model.AddOrder(OrderKind::Restore, "vm1001", "");
  RunFor(model, absl::Seconds(30));
  CHECK(model.FindOrder(restore).m_state == OrderState::Done);
  CHECK(model.FindRecord("vm1001")->m_state == VmState::Ready);
}

// Guards against a wave that continues while the VMs that it reboots fail, and
// against a wave that stops because of a single VM that fails.
TEST_CASE("A wave stops when rebooted VMs fail, not for one VM", "[fleet]")
{
  FleetModel model = MakeModel(TwoPools());
  const auto fails = [](const std::string& aVm) { return aVm == "vm1002"; };
  model.m_drawRebootOutcome = [&](const std::string& aVm) {
    return RebootOutcome{ !fails(aVm) };
  };
  const std::string first = model.AddOrder(OrderKind::Wave, "", "");
  RunFor(model, absl::Minutes(40));
  CHECK(model.FindOrder(first).m_state == OrderState::Done);
  CHECK(model.FindOrder(first).m_detail.find("stopped") == std::string::npos);
  CHECK(model.CountRecords([](const VmRecord& aVm) {
    return aVm.m_maintainedMillis > 0;
  }) == 19);

  FleetModel bad = MakeModel(TwoPools());
  bad.m_drawRebootOutcome = [](const std::string&) {
    return RebootOutcome{ false };
  };
  const std::string second = bad.AddOrder(OrderKind::Wave, "", "");
  RunFor(bad, absl::Minutes(40));
  CHECK(bad.FindOrder(second).m_state == OrderState::Done);
  CHECK(bad.FindOrder(second).m_detail.starts_with("stopped"));
  CHECK(bad.CountReadyAndUp("a") >= 6);
  CHECK(bad.CountReadyAndUp("b") >= 6);
}

// Guards against false observations that take the VMs of a pool out of service
// one by one over many plans.
TEST_CASE("False observations evict at most one VM of a small pool", "[fleet]")
{
  FleetModel model = MakeModel(TwoPools());
  model.m_alterSnapshot = [](FleetSnapshot& aSnapshot) {
    for (auto& [name, seen] : aSnapshot.m_observations) {
      seen = { false, absl::InfinitePast(), 1000, 0 };
    }
  };
  RunFor(model, absl::Minutes(20));
  CHECK(model.CountRecords([](const VmRecord& aVm) {
    return aVm.m_state != VmState::Ready;
  }) == 3);
  CHECK(CountState(model, VmState::Gone) == 0);
  CHECK(model.CountReadyAndUp("a") >= 6);
  CHECK(model.CountReadyAndUp("b") >= 6);
}

// Guards against decisions about VMs whose fleet document could not be read,
// such as adopting them a second time.
TEST_CASE("VMs of an unread document are left alone", "[fleet]")
{
  FleetModel model = MakeModel(TwoPools());
  RunFor(model, absl::Seconds(5));
  model.m_checkPlan = [](const FleetSnapshot& aSnapshot,
                         const FleetPlan& aPlan) {
    CHECK_FALSE(aPlan.m_changedDocuments.contains("dc1"));
    CHECK_FALSE(aSnapshot.m_documents.contains("dc1"));
    for (const Decision& decision : aPlan.m_decisions) {
      CHECK(decision.m_reason != PlanReason::Adopted);
    }
  };
  model.Partition("dc1", absl::Hours(1));
  const std::string wave = model.AddOrder(OrderKind::Wave, "", "");
  RunFor(model, absl::Minutes(20));
  CHECK(model.FindOrder(wave).m_state == OrderState::Paused);
  CHECK_FALSE(model.FindOrder(wave).m_detail.empty());
}

// Guards against a lost VM that is not replaced, and against the last spare
// going to the pool with the lower weight.
TEST_CASE("A shortage is shared by weight", "[fleet]")
{
  FleetModelOptions options = TwoPools();
  options.m_spares = 1;
  FleetModel model = MakeModel(options);
  for (const char* const vm :
       { "vm1000", "vm1001", "vm1002", "vm1008", "vm1009", "vm1010" }) {
    model.Fail(vm, absl::InfiniteDuration());
  }
  RunFor(model, absl::Minutes(3));
  CHECK(model.CountReadyAndUp("a") == 5);
  CHECK(model.CountReadyAndUp("b") == 6);
}

// Guards against new VMs that are not adopted, or that join a pool without a
// shortage while another pool has one.
TEST_CASE("New VMs join the pool of their tag, else where one lacks", "[fleet]")
{
  FleetModel model = MakeModel(TwoPools());
  model.m_alterSnapshot = [](FleetSnapshot& aSnapshot) {
    for (auto& [name, document] : aSnapshot.m_documents) {
      document.m_vms.erase("vm1000");
      document.m_vms.erase("vm1008");
    }
    aSnapshot.m_vmList->push_back(aSnapshot.m_vmList->front());
    VmListing& added = aSnapshot.m_vmList->back();
    added.m_name = "vm9999";
    added.m_pool = "nowhere";
    aSnapshot.m_vmList->front().m_pool = "a";
  };
  std::map<std::string, std::string> pools;
  model.m_checkPlan = [&](const FleetSnapshot&, const FleetPlan& aPlan) {
    for (const Decision& decision : aPlan.m_decisions) {
      if (decision.m_reason == PlanReason::Adopted) {
        pools[decision.m_vm] = decision.m_poolAfter;
      }
    }
  };
  model.m_isWriteRejected = [] { return true; };
  model.Step(PlanFleet);
  CHECK(pools["vm1000"] == "a");
  CHECK(pools["vm1008"] == "b");
  CHECK(pools["vm9999"] == "spare");
}

// Guards against a reboot that is not completed, or is made twice, when a new
// decider takes over. The decider changes before every plan.
TEST_CASE("A new decider finishes a reboot that another started", "[fleet]")
{
  FleetModel model = MakeModel(TwoPools());
  const std::string drain = model.AddOrder(OrderKind::Drain, "vm1000", "");
  for (int i = 0; i < 400 && model.FindOrder(drain).IsOpen(); ++i) {
    model.Memory() = PlannerMemory();
    model.Step(PlanFleet);
  }
  CHECK(model.FindOrder(drain).m_state == OrderState::Done);
  CHECK(model.Vms().at("vm1000").m_reboots == 1);
}
