#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>

namespace bramleystall {

/** Placement runs at most this often. */
inline constexpr absl::Duration kPlacementInterval = absl::Milliseconds(8);
/** A placement is followed by a pause of this many times its own time. */
inline constexpr double kPlacementPauseFactor = 8.0;
/**
 * A job counts as late when this share of its expected time no longer fits
 * before its objective; the rest allows for estimates that are too long.
 */
inline constexpr double kExpectedTimeShare = 0.9;
/** A job cannot be in time when not even this share of it fits. */
inline constexpr double kLeastTimeShare = 0.4;
/** A late job is paid for up to this many times its objective. */
inline constexpr std::int64_t kLateFactor = 3;
inline constexpr absl::Duration kTickInterval = absl::Milliseconds(200);
inline constexpr absl::Duration kPendingInterval = absl::Milliseconds(800);
/** A renewal waits this long at the worker for the end of a task. */
inline constexpr absl::Duration kRenewalLongPollTime = absl::Milliseconds(700);
/** Pause between two renewals, so that ends that come together share one. */
inline constexpr absl::Duration kRenewalDelay = absl::Milliseconds(50);
/** A start takes a worker longer, so one that answered is still in its life. */
inline constexpr absl::Duration kIncarnationKnownTime = absl::Milliseconds(200);
inline constexpr absl::Duration kRenewalRetryDelay = absl::Milliseconds(250);
/**
 * Lease of what runs on a worker. Shorter leases free the tasks of a lost
 * worker sooner; longer ones outlast the change of the owner.
 */
inline constexpr absl::Duration kWorkerLease = absl::Milliseconds(4500);
/** A worker's clock may be this much slow. */
inline constexpr double kClockDrift = 0.02;
/** Margin for timers and the network when a lease is taken as lapsed. */
inline constexpr absl::Duration kLeaseMargin = absl::Milliseconds(150);
/** A placed start whose job is not stored by then is placed anew. */
inline constexpr absl::Duration kUnsentTimeout = absl::Milliseconds(500);
/** A worker without room, or one that is busy, gets no start for this time. */
inline constexpr absl::Duration kNoRoomAvoidTime = absl::Milliseconds(150);
inline constexpr absl::Duration kBusyAvoidTime = absl::Milliseconds(600);
/** A worker on which tasks fail or stand still is avoided for this time. */
inline constexpr absl::Duration kSuspectAvoidTime = absl::Seconds(4);
/** Failures in a row after which a worker is avoided. */
inline constexpr int kMaxFailuresInARow = 3;
/** A task whose progress stands still this long is started elsewhere. */
inline constexpr absl::Duration kStallTimeout = absl::Milliseconds(1600);
inline constexpr absl::Duration kStopRetryDelay = absl::Milliseconds(400);
/** Attempts of one term; each term begins a new range of numbers. */
inline constexpr std::int64_t kAttemptsPerTerm = 1000;
/** Workers that one call to the advice service names. */
inline constexpr std::size_t kMaxAdvisedWorkers = 30;
inline constexpr absl::Duration kAdviceRetryDelay = absl::Milliseconds(500);

/** Time of the own clock in which a worker's clock surely advances by this. */
inline absl::Duration
PadForClockDrift(absl::Duration aWorkerTime)
{
  return aWorkerTime * (1.0 / (1.0 - kClockDrift));
}

}
