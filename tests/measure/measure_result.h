#pragma once

#include <cstdint>
#include <string>

namespace bramleystall {

/**
 * Result of one measurement, which `misc/measure.sh` prints as one line
 * (docs/design.md, 1.3).
 */
struct MeasureResult
{
  std::string m_name;
  /** "consortium" or "cooperative". */
  std::string m_deployment;
  /** Value of the naive implementation, in `m_unit`. */
  double m_baseline = 0;
  /** Value of the implementation in use, in `m_unit`. */
  double m_chosen = 0;
  /** Bound that the chosen value is compared with, in `m_unit`. */
  double m_bound = 0;
  std::string m_unit;
  std::uint64_t m_seed = 0;
  /** Guarantee that the run violated; empty if there is none. */
  std::string m_violation;
};

}
