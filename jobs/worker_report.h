#pragma once

#include "jobs/resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bramleystall {

/** What a worker says of itself in the store. */
struct WorkerReport
{
  std::string m_id;
  std::string m_pool;
  /** "IP:PORT" */
  std::string m_address;
  std::string m_dataCentre;
  std::string m_machine;
  bool m_isDraining = false;
  /** While it drains: the least time left, in ms. */
  std::int64_t m_remainingMs = 0;
  /** How much longer the worker is slow after its start, in ms. */
  std::int64_t m_warmUpMs = 0;
  Resources m_capacity;
  std::vector<std::string> m_labels;
  /** Start of this life of the worker in ms since the Unix epoch. */
  std::int64_t m_startTimeMs = 0;
};

}
