#pragma once

#include <absl/time/time.h>

#include <deque>
#include <map>
#include <set>
#include <string>

namespace bramleystall {

/** Last move of a VM from one pool to another. */
struct LastMove
{
  std::string m_fromPool;
  absl::Time m_time;
};

/**
 * State that one decider keeps between its plans. It is not stored: a new
 * decider starts with an empty memory. That is safe because the memory only
 * delays decisions, and the new decider waits the full periods again.
 */
struct PlannerMemory
{
  /** Time since which a VM has been missing from the VM list or listed as
   * leaving, by VM. */
  std::map<std::string, absl::Time> m_unlistedSince;
  /** Time since which the health of a VM has been unknown, by VM. */
  std::map<std::string, absl::Time> m_unobservedSince;
  /** Time since which a pool has had more members than configured, by pool. */
  std::map<std::string, absl::Time> m_surplusSince;
  /** Time since which a pool has had fewer members than configured, by pool. */
  std::map<std::string, absl::Time> m_deficitSince;
  /** Moves within the last hold time, by VM. */
  std::map<std::string, LastMove> m_lastMoves;
  /** Data centres whose fleet document has been read at least once. */
  std::set<std::string> m_knownDataCentres;
  /** Times of recent VM failures, oldest first, for the failure rate. */
  std::deque<absl::Time> m_failureTimes;
  /** Time of the first plan. */
  absl::Time m_firstPlanTime = absl::InfiniteFuture();
};

}
