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
 * Returns the draining VMs of a data centre that no daemon uses any more: every
 * daemon of the data centre has applied the revision in which the VM started to
 * drain and has nothing in flight there. The daemons are the known members and
 * the entry VMs in the list. Only a dead member whose VM is not in the list is
 * ignored, so without a list the dead members block as well.
 */
std::set<std::string>
AcknowledgedDrains(const FleetDocument& aDocument,
                   const std::vector<MemberView>& aMembers,
                   const std::optional<std::vector<VmListing>>& aVmList);

}
