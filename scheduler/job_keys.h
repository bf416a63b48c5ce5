#pragma once

#include <string>

namespace bramleystall::keys {

/** Record of a submitted job, jobs/ID; written once by the daemon that accepts
 * it. */
inline constexpr const char* kJobPrefix = "bramleystall/jobs/";
/** A cancelled job has a second key with this suffix. */
inline constexpr const char* kCancelSuffix = "/cancel";
/** Progress of a job, written by the scheduler's owner alone. */
inline constexpr const char* kProgressPrefix = "bramleystall/progress/";
/** Keys of the ownership: the holder, and the term of the last holder. */
inline constexpr const char* kOwnershipPrefix = "bramleystall/scheduler/";
inline constexpr const char* kOwnerKey = "bramleystall/scheduler/owner";
inline constexpr const char* kTermKey = "bramleystall/scheduler/term";
/** Workers that may hold a lease of the scheduler. */
inline constexpr const char* kLeasedWorkersKey = "bramleystall/leased-workers";
/** Jobs of each queue of which no task has started. */
inline constexpr const char* kPendingKey = "bramleystall/pending";

/** Machines that the owner has ordered within the last seconds. */
inline constexpr const char* kMachineOrdersKey = "bramleystall/machine-orders";
/** Machines of a wave whose upkeep has begun, waves/NUMBER. */
inline constexpr const char* kWavePrefix = "bramleystall/waves/";

inline std::string
JobKey(const std::string& aId)
{
  return kJobPrefix + aId;
}

inline std::string
CancelKey(const std::string& aId)
{
  return kJobPrefix + aId + kCancelSuffix;
}

inline std::string
ProgressKey(const std::string& aId)
{
  return kProgressPrefix + aId;
}

}
