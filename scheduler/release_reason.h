#pragma once

#include "core/enum_names.h"

namespace bramleystall {

/** Why a task is known not to run on its worker any more. */
enum class ReleaseReason
{
  /** The worker has listed the end of this attempt. */
  EndListed,
  /** The start order was never sent. */
  NotSent,
  /** The worker has refused the start order. */
  NotStarted,
  /** The worker has acknowledged a stop and does not list the task. */
  Stopped,
  /** The worker has listed all its tasks and ends, without this one. */
  NotListed,
  /** The worker or its incarnation has ended. */
  WorkerEnded,
  /** The lease of the worker's tasks has expired. */
  LeaseExpired,
  /** The job's record was removed. */
  JobRemoved,
};

inline constexpr EnumNames<ReleaseReason, 8> kReleaseReasonNames = { {
  { ReleaseReason::EndListed, "end_listed" },
  { ReleaseReason::NotSent, "not_sent" },
  { ReleaseReason::NotStarted, "not_started" },
  { ReleaseReason::Stopped, "stopped" },
  { ReleaseReason::NotListed, "not_listed" },
  { ReleaseReason::WorkerEnded, "worker_ended" },
  { ReleaseReason::LeaseExpired, "lease_expired" },
  { ReleaseReason::JobRemoved, "job_removed" },
} };

}
