#pragma once

namespace bramleystall {

class FleetView;

/**
 * Makes the transitions that follow from observations: VMs that joined,
 * drained, returned, failed or vanished. Every rule reads only the record and
 * the snapshot, so that a new decider continues where the last one stopped.
 */
void
AdvanceLifecycles(FleetView& aView);

/** Adds listed VMs that no document has. */
void
AdoptListedVms(FleetView& aView);

}
