#pragma once

#include "jobs/resources.h"
#include "jobs/worker_report.h"

#include <absl/time/time.h>

#include <cstdint>
#include <set>
#include <string>

namespace bramleystall {

struct Task;

/** What the scheduler knows of one worker. */
struct Worker
{
  WorkerReport m_report;
  /** The store lists the worker. */
  bool m_isListed = false;
  /** Start of the life that answered last, in ms since the Unix epoch. */
  std::int64_t m_startTimeMs = 0;
  /** Tasks that run or may run here, and what they need together. */
  std::set<Task*> m_tasks;
  Resources m_used;
  /** The worker's clock in ms, and the monotonic time when it was read. */
  std::int64_t m_clockMs = 0;
  absl::Time m_clockReadAt = absl::InfinitePast();
  /** Monotonic time at which all that runs here has certainly ended. */
  absl::Time m_leaseExpiry = absl::InfinitePast();
  /** Ends up to this number have been applied to the jobs ... */
  std::int64_t m_appliedEnd = 0;
  /** ... and up to this one their jobs' progress is stored. */
  std::int64_t m_recordedEnd = 0;
  bool m_isRenewing = false;
  /** Distinguishes the newest scheduled renewal from those it replaces. */
  int m_renewalNumber = 0;
  /** A successor of this owner would know that the worker holds leases. */
  bool m_isLeaseRecorded = false;
  /** Lease renewals without an answer in a row. */
  int m_unansweredRenewals = 0;
  absl::Time m_renewedAt = absl::InfinitePast();
  /** No new task starts here until then. */
  absl::Time m_avoidUntil = absl::InfinitePast();
  /** Failed tasks since one was last done here. */
  int m_failuresInARow = 0;
  /** The worker is being emptied for a move or an upkeep. */
  bool m_isEvacuating = false;

  /** Rack of the worker: the label after its kind; empty when unknown. */
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
