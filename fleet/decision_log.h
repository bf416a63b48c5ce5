#pragma once

#include "fleet/fleet_plan.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace bramleystall {

/** The latest decisions, stored under the key `bramleystall/decisions`. */
class DecisionLog
{
public:
  static constexpr std::size_t kMaxDecisions = 512;

  /** Parses the stored JSON. Throws Error (InvalidInput) if it is malformed. */
  static DecisionLog Parse(const std::string& aJson);

  /** The JSON to store. */
  std::string Serialize() const;

  /** Appends decisions, oldest first; drops the oldest over kMaxDecisions. */
  void Append(const std::vector<Decision>& aDecisions);

  const std::deque<Decision>& Decisions() const { return m_decisions; }

  std::uint64_t m_revision = 0;
  std::string m_writerToken;

private:
  std::deque<Decision> m_decisions;
};

}
