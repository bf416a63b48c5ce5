#pragma once

#include <absl/time/time.h>

#include <deque>
#include <map>
#include <set>
#include <string>

namespace bramleystall {

/** Last move of a VM. */
struct LastMove
{
  std::string m_fromPool;
  absl::Time m_time;
};

/**
 * What one decider remembers between plans. It only delays decisions: a new
 * decider starts with an empty memory and waits the full periods again.
 */
struct PlannerMemory
{
  /** Since when the list has lacked a VM or shown it as leaving. */
  std::map<std::string, absl::Time> m_unlistedSince;
  /** Since when a VM has had no usable observation. */
  std::map<std::string, absl::Time> m_unobservedSince;
  /** Since when a pool has had more members than it needs. */
  std::map<std::string, absl::Time> m_surplusSince;
  /** Since when a pool has had fewer members than it needs. */
  std::map<std::string, absl::Time> m_deficitSince;
  /** Moves within the last hold time, by VM. */
  std::map<std::string, LastMove> m_lastMoves;
  /** Data centres whose document has been seen. */
  std::set<std::string> m_knownDataCentres;
  /** Times of recent failures, for the failure rate. */
  std::deque<absl::Time> m_failureTimes;
  /** Time of the first plan. */
  absl::Time m_firstPlanTime = absl::InfiniteFuture();
};

}
