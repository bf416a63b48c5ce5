#pragma once

#include <cstddef>
#include <ostream>
#include <vector>

namespace bramleystall {

/** What a new owner reads before it places tasks. */
struct TakeoverCost
{
  int m_aliveJobs = 0;
  /** Jobs that ended before and whose state callers can still ask for. */
  int m_endedJobs = 0;
  /** Items and bytes of the lists, with keys and base64. */
  std::size_t m_items = 0;
  std::size_t m_bytes = 0;
};

/**
 * Lets one daemon run jobs, ends it and lets another take over, in simulated
 * time, for several numbers of jobs. Jobs have two steps of eight tasks and a
 * payload of 1 KB.
 */
std::vector<TakeoverCost>
MeasureTakeovers();

/** Prints the costs and the transfer times on links of 2 to 200 Mbit/s. */
void
PrintTakeovers(std::ostream& aOut);

}
