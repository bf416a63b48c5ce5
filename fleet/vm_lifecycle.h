#pragma once

namespace bramleystall {

class FleetView;

/**
 * Makes the transitions that follow from observations: of VMs that joined,
 * drained, returned, failed or vanished. Apart from delays, every rule depends
 * only on the record and the snapshot, so that a new decider continues the work
 * of the previous one.
 */
void
AdvanceLifecycles(FleetView& aView);

/** Adds records for VMs of the VM list that no fleet document contains. */
void
AdoptListedVms(FleetView& aView);

}
