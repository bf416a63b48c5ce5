#include "core/state_chart.h"

#include "core/error.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace bramleystall {

namespace {

[[noreturn]] void
ThrowInvalidInput(const std::string& aMessage)
{
  throw Error(ErrorCode::InvalidInput, absl::StrCat("state chart: ", aMessage));
}

}

StateChart
StateChart::Parse(const std::string& aJson)
{
  StateChart chart;
  try {
    const auto document = nlohmann::json::parse(aJson);
    chart.m_name = document.at("name");
    chart.m_initial = document.at("initial");
    chart.m_finalStates = document.at("final");
    for (const auto& entry : document.at("transitions")) {
      chart.m_transitions.push_back(
        { entry.at("from"), entry.at("event"), entry.at("to") });
    }
  } catch (const nlohmann::json::exception& error) {
    ThrowInvalidInput(error.what());
  }
  for (const auto& transition : chart.m_transitions) {
    const auto inserted = chart.m_next.emplace(
      std::pair(transition.m_from, transition.m_event), transition.m_to);
    if (!inserted.second) {
      ThrowInvalidInput(absl::StrCat("state '",
                                     transition.m_from,
                                     "' has two transitions for event '",
                                     transition.m_event,
                                     "'"));
    }
    if (chart.IsFinal(transition.m_from)) {
      ThrowInvalidInput(
        absl::StrCat("final state '", transition.m_from, "' has a transition"));
    }
  }
  return chart;
}

StateChart
StateChart::Load(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    ThrowInvalidInput(absl::StrCat("cannot read '", aPath, "'"));
  }
  std::ostringstream text;
  text << file.rdbuf();
  return Parse(text.str());
}

bool
StateChart::IsFinal(const std::string& aState) const
{
  return std::ranges::find(m_finalStates, aState) != m_finalStates.end();
}

std::optional<std::string>
StateChart::Next(const std::string& aState, const std::string& aEvent) const
{
  const auto found = m_next.find({ aState, aEvent });
  if (found == m_next.end()) {
    return std::nullopt;
  }
  return found->second;
}

}
