#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace bramleystall {

/** Machines that the operator wants maintained within a time. */
struct MaintenanceWave
{
  std::int64_t m_number = 0;
  std::vector<std::string> m_machines;
  double m_durationS = 0;
  /** Most machines of the wave that may be down for it at once. */
  int m_maxConcurrent = 1;
};

}
