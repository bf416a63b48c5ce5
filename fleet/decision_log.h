#pragma once

#include "fleet/fleet_plan.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace bramleystall {

/** The last decisions, as the store key `bramleystall/decisions` holds them. */
class DecisionLog
{
public:
  /** Number of decisions that are kept. */
  static constexpr std::size_t kMaxDecisions = 512;

  /** Parses the JSON form. Throws Error (InvalidInput). */
  static DecisionLog Parse(const std::string& aJson);

  /** The JSON form, as the store holds it. */
  std::string Serialize() const;

  /** Adds decisions, oldest first, and drops the oldest over the limit. */
  void Append(const std::vector<Decision>& aDecisions);

  const std::deque<Decision>& Decisions() const { return m_decisions; }

  std::uint64_t m_revision = 0;
  std::string m_writerToken;

private:
  std::deque<Decision> m_decisions;
};

}
