#pragma once

#include "core/fleet_spec.h"
#include "core/service_spec.h"

#include <nlohmann/json_fwd.hpp>

namespace bramleystall {

/**
 * Service from the JSON of a service file. Absent keys keep their defaults.
 * Throws nlohmann::json::exception on wrong types and Error (InvalidInput) on
 * unknown names.
 */
ServiceSpec
ServiceFromJson(const nlohmann::json& aJson);

/** JSON of a service, which the schema of service files accepts. */
nlohmann::json
ServiceToJson(const ServiceSpec& aService);

/** Fleet from the JSON of `fleet.json`; throws like ServiceFromJson. */
FleetSpec
FleetFromJson(const nlohmann::json& aJson);

/** JSON of a fleet, which the schema of `fleet.json` accepts. */
nlohmann::json
FleetToJson(const FleetSpec& aFleet);

}
