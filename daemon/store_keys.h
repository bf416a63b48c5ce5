#pragma once

#include <string>

namespace bramleystall {

/** Key whose lock is the decider lease. */
inline const std::string kDeciderKey = "bramleystall/decider";

/** Key of the decision log. */
inline const std::string kDecisionsKey = "bramleystall/decisions";

/** Key of the fleet document of a data centre. */
inline std::string
FleetDocumentKey(const std::string& aDataCentre)
{
  return "bramleystall/dc/" + aDataCentre + "/vms";
}

}
