#pragma once

#include "core/resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bramleystall {

/** A worker's own entry in the store. */
struct WorkerReport
{
  std::string m_id;
  std::string m_pool;
  /** "IP:PORT" */
  std::string m_address;
  std::string m_dataCentre;
  std::string m_machine;
  bool m_isDraining = false;
  /** Minimum remaining time of a draining worker in ms. */
  std::int64_t m_remainingMs = 0;
  /** Remaining time in ms for which the worker is slow after its start. */
  std::int64_t m_warmUpMs = 0;
  Resources m_capacity;
  std::vector<std::string> m_labels;
  /** Start of this incarnation in ms since the Unix epoch. */
  std::int64_t m_startTimeMs = 0;
};

}
