#pragma once

#include "cluster/claim_owner.h"

#include <vector>

namespace bramleystall {

/**
 * Naive choice of the owner of an id, from the current membership alone: the
 * daemon with the highest rendezvous weight among those that are not dead,
 * whatever the id's creation time. Returns null if all are dead.
 */
const OwnerCandidate*
FindNaiveClaimOwner(const std::vector<OwnerCandidate>& aCandidates,
                    const Uuid7& aId);

}
