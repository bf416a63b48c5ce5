#pragma once

#include "fleet/fleet_plan.h"

#include <vector>

namespace bramleystall {

class FleetView;

/** Reports for each configured pool whether it keeps its promise. */
std::vector<PoolReport>
ReportPools(const FleetView& aView);

}
