#include "tests/fakes/cap_model.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <unordered_set>
#include <vector>

using namespace bramleystall;

namespace {

/** Steps of both owners, the store and the operator that the search covers. */
constexpr int kDepth = 8;

struct SearchResult
{
  std::size_t m_states = 0;
  /** Steps to the first state that breaks the cap; 0 if there is none. */
  int m_brokenAfter = 0;
};

/** Visits all states that are reachable within kDepth steps. */
SearchResult
Search(CapMutation aMutation)
{
  std::vector<CapModel> states{ CapModel(aMutation),
                                CapModel::AfterRequest(aMutation),
                                CapModel::AfterLowering(aMutation) };
  std::unordered_set<std::string> seen;
  for (const CapModel& state : states) {
    seen.insert(state.Key());
  }
  for (int depth = 1; depth <= kDepth; ++depth) {
    std::vector<CapModel> next;
    for (const CapModel& state : states) {
      for (CapModel& successor : state.Successors()) {
        if (successor.IsCapBroken()) {
          return { seen.size(), depth };
        }
        if (seen.insert(successor.Key()).second && depth < kDepth) {
          next.push_back(std::move(successor));
        }
      }
    }
    states = std::move(next);
  }
  return { seen.size(), 0 };
}

}

// Guards against an order of steps, with lost writes, replaced owners and a
// changed cap, in which two shards count the same part of a cap.
TEST_CASE("No interleaving of two shards breaks a cap", "[caps]")
{
  const SearchResult result = Search(CapMutation::None);
  CAPTURE(result.m_states);
  REQUIRE(result.m_brokenAfter == 0);
  // The search would be empty if no step were possible.
  REQUIRE(result.m_states > 10'000);
}

// Guards against a search that could not find the faults that it is for.
TEST_CASE("The search finds each fault that breaks a cap", "[caps]")
{
  const CapMutation mutation = GENERATE(CapMutation::GrowBeforeShrink,
                                        CapMutation::ShrinkOnAcknowledgement,
                                        CapMutation::TransferDuringTakeover,
                                        CapMutation::IgnoreExcess);
  CAPTURE(static_cast<int>(mutation));
  REQUIRE(Search(mutation).m_brokenAfter > 0);
}
