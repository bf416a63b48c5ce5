#pragma once

namespace bramleystall {

class FleetView;

/**
 * Number of spare VMs that the worst single failure domain would need: the
 * largest sum, over the pools, of the VMs missing from their promises if
 * that domain were lost. Pools that have enough ready VMs of their own need
 * nothing, and pools share the spares, since one domain fails at a time.
 */
int
SparesForWorstDomainLoss(const FleetView& aView);

/**
 * Failures expected within the time that one repair takes, from the failures
 * of the last day. Removes older failures from the memory.
 */
int
ExpectedFailuresDuringRepair(FleetView& aView);

}
