#pragma once

#include "core/configuration.h"

#include <string>

namespace bramleystall {

/**
 * Parses the JSON form of a configuration. Throws Error (InvalidInput). The
 * caller compares DigestOf with the digest before it accepts a configuration.
 */
Configuration
ParseConfiguration(const std::string& aJson);

/** JSON form: {"version", "digest", "writer_token", "operator",
 * "accepted_ms", "fleet", "services"}. */
std::string
SerializeConfiguration(const Configuration& aConfiguration);

/**
 * XXH3 (64 bits, 16 hexadecimal digits) of the fleet and the services sorted
 * by name. The version, digest, token, time and operator are excluded, so that
 * equal content has an equal digest.
 */
std::string
DigestOf(const Configuration& aConfiguration);

/** Short description of the changes between two configurations, such as
 * "services: +a -b ~c; fleet changed". */
std::string
DescribeChange(const Configuration& aOld, const Configuration& aNew);

}
