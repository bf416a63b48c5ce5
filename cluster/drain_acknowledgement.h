#pragma once

#include "cluster/cluster_node.h"
#include "consul/vm_list.h"
#include "core/fleet_document.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bramleystall {

/**
 * VMs of a data centre that no daemon uses any more: every daemon of the data
 * centre has applied the revision in which the VM started to drain and has
 * nothing in flight there. The daemons are the members that are known and the
 * entry VMs that the list shows. Only a dead member whose VM the list does not
 * show is passed over, so without a list the dead ones block as well.
 */
std::set<std::string>
AcknowledgedDrains(const FleetDocument& aDocument,
                   const std::vector<MemberView>& aMembers,
                   const std::optional<std::vector<VmListing>>& aVmList);

}
