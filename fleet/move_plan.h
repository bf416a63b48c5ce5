#pragma once

#include "fleet/plan_reason.h"

#include <cstdint>
#include <set>
#include <string>

namespace bramleystall {

class FleetView;

/** Pools that a running wave still has to maintain. */
using PoolsInMaintenance = std::set<std::string>;

/** A VM that a pool asks for. */
struct MoveRequest
{
  std::string m_pool;
  PlanReason m_reason = PlanReason::ReplaceLost;
  std::string m_explanation;
  bool m_mayTakeSpare = true;
  /** Whether a surplus may be taken before its hold time has passed. */
  bool m_mayTakeSurplus = false;
  /** Whether any pool may give a VM whose own promise stays protected. */
  bool m_mayTakeMember = false;
  /** Whether a VM may return that left the pool within the hold time. */
  bool m_mayReturn = false;
  /** Whether only VMs help that do not enlarge the largest failure domain. */
  bool m_mustKeepMargin = false;
  /** Spares maintained since this time, in milliseconds, come first. */
  std::int64_t m_preferMaintainedSinceMillis = 0;
};

/**
 * Starts to move one VM into a pool: a spare that adds least to the pool's
 * largest failure domain, otherwise a VM of a pool with a surplus that no wave
 * needs. Returns whether a VM started to move.
 */
bool
MoveInto(FleetView& aView,
         const MoveRequest& aRequest,
         const PoolsInMaintenance& aPoolsInMaintenance);

/** Returns draining VMs to pools that have fallen below their promise. */
void
CancelDrains(FleetView& aView);

/** Replaces lost VMs; a shortage is shared by the services' weights. */
void
ReplaceLostVms(FleetView& aView, const PoolsInMaintenance& aPoolsInMaintenance);

/** Gives back what pools have had too much for the hold time. */
void
ReturnSurplus(FleetView& aView, const PoolsInMaintenance& aPoolsInMaintenance);

}
