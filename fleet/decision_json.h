#pragma once

#include <nlohmann/json_fwd.hpp>

namespace bramleystall {

struct Decision;

/** JSON form of a decision, as the store and the operator's answers use it. */
nlohmann::json
DecisionToJson(const Decision& aDecision);

/** Parses the JSON form. Throws Error (InvalidInput) for an unknown name and
 * nlohmann::json::exception for a missing field. */
Decision
DecisionFromJson(const nlohmann::json& aJson);

}
