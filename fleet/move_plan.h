#pragma once

#include "fleet/plan_reason.h"

#include <cstdint>
#include <set>
#include <string>

namespace bramleystall {

class FleetView;

/** Pools that have VMs which an open wave or drain still has to drain. */
using PoolsInMaintenance = std::set<std::string>;

/** Request to move one VM into a pool, and the VMs that may be taken. */
struct MoveRequest
{
  /** Pool that receives the VM. */
  std::string m_pool;
  PlanReason m_reason = PlanReason::ReplaceLost;
  std::string m_explanation;
  bool m_mayTakeSpare = true;
  /** Whether a VM may come from a pool with a surplus, even before the hold
   * time of the surplus has passed. */
  bool m_mayTakeSurplus = false;
  /** Whether a VM may come from any pool that stays protected without it. */
  bool m_mayTakeMember = false;
  /** Whether a VM that left this pool within the hold time may return to it. */
  bool m_mayReturn = false;
  /** Whether to take only VMs that do not raise the number of members in the
   * pool's largest failure domain. */
  bool m_mustKeepMargin = false;
  /** VMs maintained since this time, in Unix milliseconds, are preferred. */
  std::int64_t m_preferMaintainedSinceMillis = 0;
};

/**
 * Starts to move one VM into a pool. Prefers spares, then VMs of pools with a
 * surplus, and among these the failure domain with the fewest members of the
 * pool. Takes no surplus from a pool in maintenance. Returns whether a VM
 * started to move.
 */
bool
MoveInto(FleetView& aView,
         const MoveRequest& aRequest,
         const PoolsInMaintenance& aPoolsInMaintenance);

/** Cancels drains of healthy VMs in pools that are below their promise. */
void
CancelDrains(FleetView& aView);

/**
 * Replaces lost VMs. If there are too few VMs, the pool whose relative
 * shortage, multiplied by its weight, is largest is served first.
 */
void
ReplaceLostVms(FleetView& aView, const PoolsInMaintenance& aPoolsInMaintenance);

/**
 * Moves one VM to the spare pool from each pool that has had a surplus for the
 * hold time, unless the pool is in maintenance, its demand needs the VM, or a
 * fleet document could not be read.
 */
void
ReturnSurplus(FleetView& aView, const PoolsInMaintenance& aPoolsInMaintenance);

}
