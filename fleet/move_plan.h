#pragma once

#include "fleet/plan_reason.h"

#include <cstdint>
#include <set>
#include <string>

namespace bramleystall {

class FleetView;

/** Pools that a running wave still has to maintain. */
using BusyPools = std::set<std::string>;

/**
 * Starts to move one VM into a pool: a spare that adds least to the pool's
 * largest failure domain, otherwise a VM of a pool with a surplus that no wave
 * needs. Spares maintained since `aPreferMaintained` come first. Returns
 * whether a VM started to move.
 */
bool
MoveInto(FleetView& aView,
         const std::string& aPool,
         PlanReason aReason,
         const std::string& aExplanation,
         const BusyPools& aBusy,
         std::int64_t aPreferMaintained = 0);

/** Returns draining VMs to pools that have fallen below their promise. */
void
CancelDrains(FleetView& aView);

/** Replaces lost VMs; a shortage is shared by the services' weights. */
void
ReplaceLostVms(FleetView& aView, const BusyPools& aBusy);

/** Gives back what pools have had too much for the hold time. */
void
ReturnSurplus(FleetView& aView, const BusyPools& aBusy);

}
