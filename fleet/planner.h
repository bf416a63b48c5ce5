#pragma once

#include "fleet/fleet_plan.h"
#include "fleet/fleet_snapshot.h"
#include "fleet/planner_memory.h"

namespace bramleystall {

/**
 * Decides adoptions, repairs, moves and maintenance for the whole fleet. A
 * pure function of its arguments, without clock or input and output. Throws
 * Error (InvalidInput) when the snapshot lacks the configuration or the chart.
 */
FleetPlan
PlanFleet(const FleetSnapshot& aSnapshot, PlannerMemory& aMemory);

}
