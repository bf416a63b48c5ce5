#include "daemon/fleet_state.h"
#include "daemon/plan_writes.h"
#include "daemon/store_keys.h"
#include "fleet/fleet_plan.h"

#include <catch2/catch.hpp>

using namespace bramleystall;

namespace {

VmRecord
MakeVm(VmState aState, std::uint64_t aDrainRevision = 0)
{
  VmRecord vm;
  vm.m_state = aState;
  vm.m_drainRevision = aDrainRevision;
  return vm;
}

}

// Guards against a drain that counts as acknowledged although the daemons have
// applied only an earlier revision.
TEST_CASE("A new drain carries the revision of its write", "[daemon]")
{
  FleetState state;
  FleetDocument before;
  before.m_dataCentre = "dc1";
  before.m_revision = 4;
  before.m_vms["new"] = MakeVm(VmState::Ready);
  before.m_vms["old"] = MakeVm(VmState::Draining, 2);
  state.m_documents["dc1"] = before;
  state.m_documentRevisions["dc1"] = 77;
  FleetPlan plan;
  plan.m_changedDocuments["dc1"] = before;
  plan.m_changedDocuments["dc1"].m_vms["new"].m_state = VmState::Draining;

  const auto writes = MakePlanWrites(state, plan, 9, "token");
  REQUIRE(writes.size() == 1);
  CHECK(writes[0].m_key == FleetDocumentKey("dc1"));
  CHECK(writes[0].m_expectedRevision == 77);
  const auto after = FleetDocument::Parse(writes[0].m_value);
  CHECK(after.m_revision == 5);
  CHECK(after.m_term == 9);
  CHECK(after.m_writerToken == "token");
  CHECK(after.m_vms.at("new").m_drainRevision == 5);
  CHECK(after.m_vms.at("old").m_drainRevision == 2);
}

// Guards against writes that load the store although nothing changed.
TEST_CASE("A plan without changes writes nothing", "[daemon]")
{
  CHECK(MakePlanWrites({}, {}, 1, "token").empty());
}

// Guards against a plan that is stored without the decisions that explain it.
TEST_CASE("Decisions are part of the transaction", "[daemon]")
{
  FleetState state;
  FleetPlan plan;
  plan.m_decisions.push_back({});
  plan.m_decisions.back().m_vm = "vm1";
  const auto writes = MakePlanWrites(state, plan, 1, "token");
  REQUIRE(writes.size() == 1);
  CHECK(writes[0].m_key == kDecisionsKey);
  const auto log = DecisionLog::Parse(writes[0].m_value);
  REQUIRE(log.Decisions().size() == 1);
  CHECK(log.Decisions()[0].m_vm == "vm1");
  CHECK(log.m_writerToken == "token");
}
