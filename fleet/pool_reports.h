#pragma once

#include "fleet/fleet_plan.h"

#include <vector>

namespace bramleystall {

class FleetView;

/** State of each configured pool's guarantee, and what would restore it. */
std::vector<PoolReport>
ReportPools(const FleetView& aView);

}
