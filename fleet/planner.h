#pragma once

#include "fleet/fleet_plan.h"
#include "fleet/fleet_snapshot.h"
#include "fleet/planner_memory.h"

namespace bramleystall {

/**
 * Plans adoptions, repairs, moves and maintenance for the whole fleet. It
 * depends only on its arguments, reads no clock and does no I/O. It updates the
 * memory, which the decider passes to its next plan. Throws Error
 * (InvalidInput) if the snapshot has no configuration or no state chart.
 */
FleetPlan
PlanFleet(const FleetSnapshot& aSnapshot, PlannerMemory& aMemory);

}
