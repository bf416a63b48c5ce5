#pragma once

#include "cluster/cluster_node.h"
#include "core/fleet_document.h"
#include "fleet/vm_observation.h"

#include <absl/time/time.h>

#include <map>
#include <string>
#include <vector>

namespace bramleystall {

/** Consecutive successes after which a ready VM is no longer reported. */
inline constexpr int kSteadySuccesses = 10;

/**
 * Daemon that probes a VM: the one with the highest rendezvous weight among the
 * daemons of the data centre that are not dead. Empty when there is none.
 */
std::string
FindProber(const std::string& aVm,
           const std::string& aDataCentre,
           const std::vector<MemberView>& aMembers);

/** Whether the prober reports a VM of this state even when it is steady. */
bool
IsAlwaysReported(VmState aState);

/**
 * Observations of all VMs, from the probe reports of the members. A member
 * reports consecutive successes as a positive number, failures as a negative
 * one and no data as 0, and leaves out steady ready VMs, so that a heartbeat
 * stays small. A failure that any member reports takes precedence.
 */
std::map<std::string, VmObservation>
CombineObservations(const std::map<std::string, FleetDocument>& aDocuments,
                    const std::vector<MemberView>& aMembers,
                    absl::Time aWallNow);

}
