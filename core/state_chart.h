#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bramleystall {

/** One transition of a state chart: in a state, an event leads to a state. */
struct StateTransition
{
  std::string m_from;
  std::string m_event;
  std::string m_to;
};

/**
 * Finite state machine read from a JSON file of `charts/`:
 * `{"name", "initial", "final": [...], "transitions": [{"from", "event",
 * "to"}]}`.
 */
class StateChart
{
public:
  /** Parses a chart. Throws Error (InvalidInput) when it is inconsistent. */
  static StateChart Parse(const std::string& aJson);

  /** Reads and parses a file. Throws Error when it cannot be read. */
  static StateChart Load(const std::string& aPath);

  const std::string& Name() const { return m_name; }
  const std::string& Initial() const { return m_initial; }
  const std::vector<StateTransition>& Transitions() const
  {
    return m_transitions;
  }
  bool IsFinal(const std::string& aState) const;

  /** The state after an event, or nothing when the event is not allowed. */
  std::optional<std::string> Next(const std::string& aState,
                                  const std::string& aEvent) const;

private:
  std::string m_name;
  std::string m_initial;
  std::vector<std::string> m_finalStates;
  std::vector<StateTransition> m_transitions;
  std::map<std::pair<std::string, std::string>, std::string> m_next;
};

}
