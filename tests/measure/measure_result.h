#pragma once

#include <cstdint>
#include <string>

namespace bramleystall {

/** One line of the measure program. */
struct MeasureResult
{
  std::string m_name;
  std::string m_deployment;
  double m_baseline;
  double m_chosen;
  double m_bound;
  std::string m_unit;
  std::uint64_t m_seed;
  std::string m_broken;
};

}
