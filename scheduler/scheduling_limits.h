#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>

namespace bramleystall {

/** Shortest time between two placements. */
inline constexpr absl::Duration kPlacementInterval = absl::Milliseconds(8);
/** The next placement waits for this many times the duration of the last. */
inline constexpr double kPlacementPauseFactor = 8.0;
/**
 * A job counts as in time while this share of its expected time fits before its
 * objective; the rest allows for estimates that are too long.
 */
inline constexpr double kExpectedTimeShare = 0.9;
/** A job counts as late once not even this share of that time fits. */
inline constexpr double kLeastTimeShare = 0.4;
/**
 * A job is paid for only if it completes within this many times the time from
 * its acceptance to its objective.
 */
inline constexpr std::int64_t kLateFactor = 3;
inline constexpr absl::Duration kTickInterval = absl::Milliseconds(200);
/** Interval at which an owner publishes the status of its shard. */
inline constexpr absl::Duration kStatusInterval = absl::Milliseconds(800);
/**
 * A worker holds its response to a renewal until a task ends, or for this time
 * at most.
 */
inline constexpr absl::Duration kRenewalLongPollTime = absl::Milliseconds(700);
/** The same without the store's lease, when tasks start only on workers that
 * have responded within kIncarnationKnownTime. */
inline constexpr absl::Duration kCutOffLongPollTime = absl::Milliseconds(100);
/** Delay before a renewal, so that tasks that end together share one. */
inline constexpr absl::Duration kRenewalDelay = absl::Milliseconds(50);
/**
 * A worker takes longer than this to restart, so one that responded within this
 * time is still the same incarnation.
 */
inline constexpr absl::Duration kIncarnationKnownTime = absl::Milliseconds(200);
/** A bound on the offset of a worker's clock is replaced after this time, so
 * that small differences of the clocks' rates do not add up. */
inline constexpr absl::Duration kClockOffsetAge = absl::Seconds(60);
inline constexpr absl::Duration kRenewalRetryDelay = absl::Milliseconds(250);
/**
 * Lease of the tasks on a worker. Shorter leases free the tasks of a lost
 * worker sooner; longer ones outlast a change of the owner.
 */
inline constexpr absl::Duration kWorkerLease = absl::Milliseconds(4500);
/**
 * Tasks of a worker that does not respond, but is still listed by the store,
 * are released this long after its lease has expired. The store removes the
 * entry of a worker that has ended much sooner.
 */
inline constexpr absl::Duration kSilentWorkerGrace = absl::Seconds(6);
/** A worker's clock may be slow by this share. */
inline constexpr double kClockDrift = 0.02;
/** Assumed longest time from the choice of a worker until an order without a
 * response is carried out: up to 12 s after it was sent, which waits for the
 * store. The platform says only that it may be seconds. */
inline constexpr absl::Duration kLateOrderTime = absl::Seconds(13);
/** Interval at which a worker is asked that may carry out a late start. A start
 * that its next incarnation carries out before it is asked cannot be refused.
 */
inline constexpr absl::Duration kLateStartWatchInterval =
  absl::Milliseconds(200);
/** A restarted worker that can be reached responds within this time. */
inline constexpr absl::Duration kRestartResponseTime = absl::Milliseconds(100);
/** Fencing tokens of one owner; see Scheduler::RaiseFence. */
inline constexpr std::int64_t kFencesPerOwner = 1'000'000;
/** Margin for timers and the network before a lease counts as expired. */
inline constexpr absl::Duration kLeaseMargin = absl::Milliseconds(150);
/**
 * A task is placed again if its worker is not stored with the job within this
 * time.
 */
inline constexpr absl::Duration kUnsentStartTimeout = absl::Milliseconds(500);
/** A worker that had no room for a task gets no start for this time. */
inline constexpr absl::Duration kNoRoomAvoidTime = absl::Milliseconds(150);
/** A worker that was busy or rejected a start gets none for this time. */
inline constexpr absl::Duration kBusyAvoidTime = absl::Milliseconds(600);
/** A worker on which tasks fail or stall is avoided for this time. */
inline constexpr absl::Duration kSuspectAvoidTime = absl::Seconds(4);
/** Failures in a row after which a worker is avoided. */
inline constexpr int kMaxFailuresInARow = 3;
/** A task without progress for this long is moved to another worker. */
inline constexpr absl::Duration kStallTimeout = absl::Milliseconds(1600);
inline constexpr absl::Duration kStopRetryDelay = absl::Milliseconds(400);
/** Tasks of a shard that are in memory at once, some 0.4 KB each. A larger
 * single occurrence of a job is still opened if there are no others. */
inline constexpr std::int64_t kMaxOpenTasks = 100'000;
/** Attempt numbers of one term; each term begins a new range. */
inline constexpr std::int64_t kAttemptsPerTerm = 1000;
/** Most workers that one request to the advice service names. */
inline constexpr std::size_t kMaxAdvisedWorkers = 30;
inline constexpr absl::Duration kAdviceRetryDelay = absl::Milliseconds(500);

/** Local time in which a worker's clock is sure to advance by aWorkerTime. */
inline absl::Duration
PadForClockDrift(absl::Duration aWorkerTime)
{
  return aWorkerTime * (1.0 / (1.0 - kClockDrift));
}

}
