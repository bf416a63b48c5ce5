#include "core/error.h"
#include "fleet/explain.h"
#include "tests/fakes/fleet_model.h"
#include "tests/fakes/lifecycle_chart.h"

#include <catch2/catch.hpp>

using namespace bramleystall;

namespace {

Decision
MakeDecision(int aNumber)
{
  Decision decision;
  decision.m_timeMillis = aNumber;
  decision.m_vm = "vm";
  decision.m_event = "drain";
  decision.m_from = VmState::Ready;
  decision.m_to = VmState::Draining;
  decision.m_poolBefore = "a";
  decision.m_poolAfter = "a";
  decision.m_reason = PlanReason::Maintenance;
  decision.m_explanation = "why";
  decision.m_ready = 3;
  decision.m_promised = 2;
  decision.m_margin = 1;
  decision.m_wave = "w";
  return decision;
}

}

// Guards against a decision log that grows without bound, so that the store
// rejects its value, or that loses a field when it is stored and read back.
TEST_CASE("Decision log is bounded and survives a round trip", "[fleet]")
{
  DecisionLog log;
  log.m_revision = 9;
  log.m_writerToken = "t";
  for (int i = 0; i < 600; ++i) {
    log.Append({ MakeDecision(i) });
  }
  const DecisionLog parsed = DecisionLog::Parse(log.Serialize());
  CHECK(parsed.Serialize() == log.Serialize());
  REQUIRE(parsed.Decisions().size() == DecisionLog::kMaxDecisions);
  CHECK(parsed.Decisions().back().m_timeMillis == 599);
  CHECK(parsed.Decisions().front().m_timeMillis == 88);
  CHECK(parsed.Decisions().back().m_reason == PlanReason::Maintenance);
  CHECK(parsed.Decisions().back().m_margin == 1);
  CHECK(parsed.m_revision == 9);
  CHECK_THROWS_AS(DecisionLog::Parse("{}"), Error);
  CHECK_THROWS_AS(DecisionLog::Parse("["), Error);
}

// Guards against a reason without a name of its own, which could not be stored
// in a record and read back.
TEST_CASE("Every plan reason has a name of its own", "[fleet]")
{
  for (const auto& [reason, name] : kPlanReasonNames) {
    CHECK(ValueOf(kPlanReasonNames, name) == reason);
    CHECK(NameOf(kPlanReasonNames, reason) == name);
  }
}

// Guards against explanations without the current state of the subject or the
// decisions that led to it.
TEST_CASE("Explanations name the state and the decisions", "[fleet]")
{
  FleetModelOptions options;
  options.m_pools = { { "a", 8, 0.5, 1 } };
  FleetModel model(options, LoadLifecycle(BRAMLEYSTALL_SOURCE_DIR));
  DecisionLog log;
  std::vector<PoolReport> pools;
  const std::string wave = model.AddOrder(OrderKind::Wave, "", "a");
  for (int i = 0; i < 20; ++i) {
    const FleetPlan plan = model.Step(PlanFleet);
    log.Append(plan.m_decisions);
    pools = plan.m_pools;
  }
  const ExplainInputs inputs{
    &model.Config(), &model.Documents(), &model.OrdersSeen(), &log, &pools
  };
  const std::string vm = log.Decisions().front().m_vm;
  const Explanation ofVm = Explain(inputs, "vm", vm);
  CHECK(ofVm.m_summary.find("VM is ") == 0);
  REQUIRE_FALSE(ofVm.m_decisions.empty());
  CHECK(ofVm.m_decisions.back().m_reason == PlanReason::Maintenance);
  CHECK(ofVm.Serialize().find("\"reason\":\"maintenance\"") !=
        std::string::npos);
  CHECK(Explain(inputs, "pool", "a").m_summary.find("ready of 4 promised") !=
        std::string::npos);
  CHECK(Explain(inputs, "service", "a").m_summary.find("runs in pool 'a'") !=
        std::string::npos);
  const Explanation ofWave = Explain(inputs, "wave", wave);
  CHECK(ofWave.m_summary.starts_with("wave is running: "));
  CHECK_FALSE(ofWave.m_decisions.empty());
  for (const char* const kind : { "vm", "pool", "wave", "service" }) {
    CHECK_THROWS_AS(Explain(inputs, kind, "nobody"), Error);
  }
  CHECK_THROWS_AS(Explain(inputs, "rack", "r"), Error);
}
