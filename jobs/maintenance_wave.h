#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace bramleystall {

/** Maintenance of a set of machines, requested by the operator. */
struct MaintenanceWave
{
  std::int64_t m_number = 0;
  std::vector<std::string> m_machines;
  /** Time within which the wave should be completed, in s. */
  double m_durationS = 0;
  /** Maximum number of the wave's machines in maintenance at once. */
  int m_maxConcurrent = 1;
};

}
