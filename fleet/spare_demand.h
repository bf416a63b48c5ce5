#pragma once

namespace bramleystall {

class FleetView;

/**
 * Number of spare VMs that the worst single failure domain would need: the
 * largest sum, over the pools, of what they would lack of their promises if
 * that domain were lost. Pools that have enough ready VMs of their own need
 * nothing, and pools share the spares, since one domain fails at a time.
 */
int
SparesForWorstDomainLoss(const FleetView& aView);

/**
 * Failures expected within the time that one repair takes, from the failures
 * of the last day.
 */
int
ExpectedFailuresDuringRepair(FleetView& aView);

}
