#pragma once

#include "cluster/claim_owner.h"

#include <vector>

namespace bramleystall {

/**
 * Owner of an id from the current view alone: the highest rendezvous weight
 * among the daemons that are alive, whatever the id's creation time.
 */
const OwnerCandidate*
FindNaiveClaimOwner(const std::vector<OwnerCandidate>& aCandidates,
                    const Uuid7& aId);

}
