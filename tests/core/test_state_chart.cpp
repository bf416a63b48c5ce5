#include "core/error.h"
#include "core/state_chart.h"
#include "core/vm_record.h"

#include <catch2/catch.hpp>

using namespace bramleystall;

// Guards against a state of the chart file that has no enumerator in the code.
TEST_CASE("VM lifecycle chart names only known states", "[core]")
{
  const auto chart =
    StateChart::Load(BRAMLEYSTALL_SOURCE_DIR "/charts/vm_lifecycle.json");
  REQUIRE(ValueOf(kVmStateNames, chart.Initial()) == VmState::Joining);
  for (const auto& transition : chart.Transitions()) {
    CAPTURE(transition.m_from, transition.m_event);
    CHECK(ValueOf(kVmStateNames, transition.m_from).has_value());
    CHECK(ValueOf(kVmStateNames, transition.m_to).has_value());
    CHECK(chart.Next(transition.m_from, transition.m_event) == transition.m_to);
  }
  CHECK(chart.IsFinal("gone"));
  CHECK_FALSE(chart.Next("gone", "drain").has_value());
}

// Guards against an ambiguous chart being accepted.
TEST_CASE("State chart with two targets for one event is rejected", "[core]")
{
  CHECK_THROWS_AS(StateChart::Parse(R"({"name":"x","initial":"a","final":[],
    "transitions":[{"from":"a","event":"e","to":"b"},
                   {"from":"a","event":"e","to":"c"}]})"),
                  Error);
  CHECK_THROWS_AS(StateChart::Parse("{"), Error);
}
