#pragma once

#include "consul/platform_store.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bramleystall {

struct FleetPlan;
struct FleetState;

/**
 * Makes the writes of one plan for one transaction: the changed fleet documents
 * with the next revision, the term and the writer token, the changed orders and
 * the decision log. A VM that starts to drain gets the revision of its document
 * as its drain revision, which its daemons must have applied. Returns no writes
 * when the plan changes nothing.
 */
std::vector<StoreWrite>
MakePlanWrites(const FleetState& aState,
               const FleetPlan& aPlan,
               std::uint64_t aTerm,
               const std::string& aWriterToken);

}
