#pragma once

#include <string>

namespace bramleystall {

/** Keys of the store that the daemon reads and writes (docs/design.md, 4). */
inline const std::string kConfigurationKey = "bramleystall/config/current";
inline const std::string kDeciderKey = "bramleystall/decider";
inline const std::string kOrdersKey = "bramleystall/orders";
inline const std::string kDecisionsKey = "bramleystall/decisions";

/** Key of the fleet document of a data centre. */
inline std::string
FleetDocumentKey(const std::string& aDataCentre)
{
  return "bramleystall/dc/" + aDataCentre + "/vms";
}

}
