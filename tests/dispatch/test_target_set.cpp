#include "dispatch/target_set.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace bramleystall;

namespace {

const absl::Time kStart = absl::UnixEpoch();

std::vector<TargetInfo>
MakeTargets(int aCount, const std::string& aPool = "pool")
{
  std::vector<TargetInfo> targets;
  for (int i = 0; i < aCount; ++i) {
    const std::string vm = "vm" + std::to_string(i);
    targets.push_back({ vm, vm + ":1", aPool, "rack" });
  }
  return targets;
}

TargetSet
MakeTargetSet(int aCount, int aAllowance)
{
  TargetSet set(1);
  set.SetTargets(MakeTargets(aCount));
  for (int i = 0; i < aCount; ++i) {
    set.SetAllowance("vm" + std::to_string(i), aAllowance);
  }
  return set;
}

int
CountOut(const TargetSet& aSet)
{
  const auto status = aSet.Status();
  return static_cast<int>(
    std::ranges::count(status, HealthState::Out, &TargetStatus::m_health));
}

void
FailAttempts(TargetSet& aSet, const std::string& aVm, int aTimes)
{
  for (int i = 0; i < aTimes; ++i) {
    // Reserves slots until one is at aVm, then releases the others.
    std::vector<std::string> others;
    const TargetInfo* target = nullptr;
    while ((target = aSet.Reserve("pool")) && target->m_vm != aVm) {
      others.push_back(target->m_vm);
    }
    if (target) {
      aSet.Finish(aVm, TargetOutcome::Failure, kStart);
    }
    for (const std::string& other : others) {
      aSet.Release(other);
    }
  }
}

}

// Guards against more requests at a worker than slots were granted.
TEST_CASE("A target never gets more requests than its allowance", "[dispatch]")
{
  TargetSet set = MakeTargetSet(3, 4);
  for (int i = 0; i < 12; ++i) {
    REQUIRE(set.Reserve("pool"));
  }
  CHECK_FALSE(set.HasFreeSlot("pool"));
  CHECK(set.Reserve("pool") == nullptr);
  for (const auto& [vm, inFlight] : set.InFlightByVm()) {
    CHECK(inFlight == 4);
  }
  CHECK(set.Reserve("other") == nullptr);
}

// Guards against a VM getting work before slot tokens were granted for it.
TEST_CASE("The allowance is 0 until it is set", "[dispatch]")
{
  TargetSet set(1);
  set.SetTargets(MakeTargets(2));
  CHECK(set.Slots("pool") == 0);
  CHECK(set.Reserve("pool") == nullptr);
  CHECK(set.SetAllowance("vm0", 2) == 2);
  CHECK(set.Slots("pool") == 2);
}

// Guards against tokens being returned while requests still use the slots.
TEST_CASE("Lowering an allowance reports the slots in use", "[dispatch]")
{
  TargetSet set = MakeTargetSet(1, 4);
  for (int i = 0; i < 3; ++i) {
    set.Reserve("pool");
  }
  CHECK(set.SetAllowance("vm0", 1) == 3);
  CHECK(set.Reserve("pool") == nullptr);
  set.Release("vm0");
  CHECK(set.SetAllowance("vm0", 1) == 2);
  CHECK(set.SetAllowance("unknown", 5) == 5);
}

// Guards against new work at a target that is leaving (P6), and against the
// requests that it still runs no longer being counted (P7).
TEST_CASE("A removed target gets no work and is counted until it is idle",
          "[dispatch]")
{
  TargetSet set = MakeTargetSet(2, 1);
  set.Reserve("pool");
  set.Reserve("pool");
  set.SetTargets({ MakeTargets(2).at(1) });
  CHECK_FALSE(set.IsEligible("vm0"));
  CHECK(set.InFlightByVm().at("vm0") == 1);
  set.Finish("vm1", TargetOutcome::Success, kStart);
  CHECK(set.Reserve("pool")->m_vm == "vm1");
  set.Finish("vm0", TargetOutcome::Success, kStart);
  CHECK_FALSE(set.InFlightByVm().contains("vm0"));
  CHECK(set.Status().size() == 1);
}

// Guards against uneven load: with the better of two random choices, the load
// of each target stays close to the mean.
TEST_CASE("Power of two choices keeps targets even", "[dispatch]")
{
  TargetSet set = MakeTargetSet(12, 100);
  for (int i = 0; i < 600; ++i) {
    REQUIRE(set.Reserve("pool"));
  }
  for (const auto& [vm, inFlight] : set.InFlightByVm()) {
    CAPTURE(vm);
    CHECK(inFlight >= 46);
    CHECK(inFlight <= 54);
  }
}

// Guards against a retry at the target that has just failed.
TEST_CASE("A tried target is avoided while others are not out", "[dispatch]")
{
  TargetSet set = MakeTargetSet(2, 4);
  for (int i = 0; i < 4; ++i) {
    CHECK(set.Reserve("pool", { "vm0" })->m_vm == "vm1");
  }
  // The other target is full: the request waits for it.
  CHECK(set.Reserve("pool", { "vm0" }) == nullptr);
  CHECK(set.Reserve("pool", { "vm0", "vm1" })->m_vm == "vm0");
}

// Guards against health checks that concentrate the whole load on a few
// targets.
TEST_CASE("At most half of a pool's targets are out at once", "[dispatch]")
{
  const int count = GENERATE(1, 2, 3, 9, 12);
  CAPTURE(count);
  TargetSet set = MakeTargetSet(count, 8);
  for (int i = 0; i < count; ++i) {
    FailAttempts(
      set, "vm" + std::to_string(i), TargetHealth::kFailuresToTakeOut);
  }
  CHECK(CountOut(set) == count / 2);
  CHECK(set.Slots("pool") == (count - count / 2) * 8);
}

// Guards against a failing target that kMaxOutFraction keeps in rotation being
// preferred because its requests end quickly.
TEST_CASE("Of two targets the one that keeps failing is not chosen",
          "[dispatch]")
{
  TargetSet set = MakeTargetSet(3, 8);
  FailAttempts(set, "vm0", TargetHealth::kFailuresToTakeOut);
  FailAttempts(set, "vm1", TargetHealth::kFailuresToTakeOut);
  REQUIRE(CountOut(set) == 1);
  for (int i = 0; i < 8; ++i) {
    CHECK(set.Reserve("pool")->m_vm == "vm2");
  }
  CHECK(set.Reserve("pool")->m_vm == "vm1");
}

// Guards against a failing target that kMaxOutFraction kept in rotation never
// being probed, and so never getting its share of the work back.
TEST_CASE("A failing target is taken out once the cap allows it", "[dispatch]")
{
  TargetSet set = MakeTargetSet(3, 8);
  FailAttempts(set, "vm0", TargetHealth::kFailuresToTakeOut);
  FailAttempts(set, "vm1", TargetHealth::kFailuresToTakeOut);
  absl::Time now = kStart;
  bool wasProbed = false;
  for (int i = 0; i < 100 && !wasProbed; ++i) {
    now += absl::Milliseconds(100);
    for (const TargetInfo& target : set.StartProbes(now)) {
      wasProbed = target.m_vm == "vm1";
      set.OnProbeResult(target.m_vm, true, now);
    }
  }
  CHECK(wasProbed);
}

// Guards against one failure depriving a target of its share of the work.
TEST_CASE("A single failure does not change the choice", "[dispatch]")
{
  TargetSet set = MakeTargetSet(2, 8);
  FailAttempts(set, "vm0", 1);
  set.Reserve("pool");
  set.Reserve("pool");
  CHECK(set.InFlightByVm() ==
        std::map<std::string, int>{ { "vm0", 1 }, { "vm1", 1 } });
}

// Guards against a worker that fails all its requests: they end quickly, so the
// worker would get more of them than the others.
TEST_CASE("A target that alone gives error responses is taken out",
          "[dispatch]")
{
  TargetSet set = MakeTargetSet(3, 8);
  for (int i = 0; i < 30; ++i) {
    const std::string vm = set.Reserve("pool")->m_vm;
    set.Finish(vm,
               vm == "vm0" ? TargetOutcome::ErrorResponse
                           : TargetOutcome::Success,
               kStart);
  }
  CHECK(CountOut(set) == 1);
  CHECK(set.Status().at(0).m_health == HealthState::Out);
}

// Guards against requests that fail at each worker taking healthy workers out
// of rotation.
TEST_CASE("Targets that all give error responses stay in rotation",
          "[dispatch]")
{
  TargetSet set = MakeTargetSet(3, 8);
  for (int i = 0; i < 100; ++i) {
    set.Finish(set.Reserve("pool")->m_vm, TargetOutcome::ErrorResponse, kStart);
  }
  CHECK(CountOut(set) == 0);
}

// Guards against a replaced VM inheriting the health of its predecessor.
TEST_CASE("A target with a new address starts healthy", "[dispatch]")
{
  TargetSet set = MakeTargetSet(3, 8);
  FailAttempts(set, "vm0", TargetHealth::kFailuresToTakeOut);
  REQUIRE(CountOut(set) == 1);
  auto targets = MakeTargets(3);
  set.SetTargets(targets);
  CHECK(CountOut(set) == 1);
  targets[0].m_address = "new:1";
  set.SetTargets(targets);
  CHECK(CountOut(set) == 0);
}
