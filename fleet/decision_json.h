#pragma once

#include <nlohmann/json_fwd.hpp>

namespace bramleystall {

struct Decision;

/** JSON form of a decision, as in the store and in responses to operators. */
nlohmann::json
DecisionToJson(const Decision& aDecision);

/**
 * Parses the JSON form. Throws Error (InvalidInput) for an unknown state or
 * reason, and nlohmann::json::exception for a missing field.
 */
Decision
DecisionFromJson(const nlohmann::json& aJson);

}
