#pragma once

#include "core/resources.h"
#include "jobs/moment.h"
#include "jobs/worker_report.h"

#include <absl/time/time.h>

#include <cstdint>
#include <set>
#include <string>

namespace bramleystall {

struct Task;

/** The scheduler's state for one worker. */
struct Worker
{
  WorkerReport m_report;
  /** The worker has an entry in the store. */
  bool m_isListed = false;
  /** Start of the incarnation that responded last, ms since the Unix epoch. */
  std::int64_t m_startTimeMs = 0;
  /** Tasks that run or may run here, and the sum of their resources. */
  std::set<Task*> m_tasks;
  Resources m_used;
  /** The worker's clock in ms, and the monotonic time of that reading. */
  std::int64_t m_clockMs = 0;
  absl::Time m_clockReadAt = absl::InfinitePast();
  /** Monotonic time by which all tasks here have certainly ended. */
  absl::Time m_leaseExpiry = absl::InfinitePast();
  /** Number of the last task end that was applied to its job. */
  std::int64_t m_appliedEnd = 0;
  /** Number of the last task end that is stored in its job's progress. */
  std::int64_t m_recordedEnd = 0;
  /** Fencing token of the orders to this worker; see Scheduler::RaiseFence. */
  std::int64_t m_fence = 0;
  /** Until then the worker is asked often, since a start without a response may
   * be carried out by its next incarnation. */
  absl::Time m_lateStartsUntil = absl::InfinitePast();
  /** Scheduler::WatchLateStarts is scheduled. */
  bool m_isWatched = false;
  /** A lease renewal with the fencing token m_fence awaits its response. */
  bool m_isRenewing = false;
  /** Lease renewals that await their responses. */
  int m_renewalsInFlight = 0;
  /** Moment at which the list was read that was applied last. */
  Moment m_listReadAt;
  /** Number of the latest scheduled renewal; earlier ones are dropped. */
  int m_renewalNumber = 0;
  /** The store records for the next owner that the worker may hold leases. */
  bool m_isLeaseRecorded = false;
  /**
   * Number of the list of leased workers from which on all lists name this
   * incarnation; 0 if the latest one does not.
   */
  std::int64_t m_leasedSince = 0;
  /** Term of the latest earlier owner that may have given the worker a lease.
   */
  std::int64_t m_earlierLeaseTerm = 0;
  /** This owner may have given the worker a lease. */
  bool m_hasOwnLease = false;
  /** This owner gives the worker no lease, since the next one may read a list
   * that says so. */
  bool m_isLeaseDenied = false;
  /**
   * Consecutive lease renewals without a response; at least 1 after any order
   * without one.
   */
  int m_unansweredRenewals = 0;
  /** Least difference between the monotonic time and the worker's clock, from
   * the responses of this incarnation, and the time of that order. */
  absl::Time m_clockOffset = absl::InfinitePast();
  absl::Time m_clockOffsetSetAt = absl::InfinitePast();
  /** Monotonic time after which this incarnation made its last list. */
  absl::Time m_respondedAfter = absl::InfinitePast();
  /** Address at which the worker responded last. */
  std::string m_respondedAddress;
  /** No task is placed here before this time. */
  absl::Time m_avoidUntil = absl::InfinitePast();
  /** Number of failed tasks since the last completed one. */
  int m_failuresInARow = 0;
  /** The worker is being evacuated for a move or maintenance. */
  bool m_isEvacuating = false;

  /** Whether a next owner would not know of an end that the worker has listed.
   */
  bool HasUnrecordedEnd() const { return m_appliedEnd > m_recordedEnd; }

  /** Rack of the worker, which is its second label; empty if unknown. */
  std::string Rack() const
  {
    return m_report.m_labels.size() > 1 ? m_report.m_labels[1] : "";
  }

  Resources Free() const
  {
    Resources free = m_report.m_capacity;
    free.Subtract(m_used);
    return free;
  }
};

}
