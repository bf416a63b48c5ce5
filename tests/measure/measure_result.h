#pragma once

#include <cstdint>
#include <string>

namespace bramleystall {

/** One line of `misc/measure.sh` (docs/design.md, 1.3). */
struct MeasureResult
{
  std::string m_name;
  /** "consortium" or "cooperative". */
  std::string m_deployment;
  double m_baseline = 0;
  double m_chosen = 0;
  double m_bound = 0;
  std::string m_unit;
  std::uint64_t m_seed = 0;
  /** Guarantee that the run violated; empty when none. */
  std::string m_violation;
};

}
