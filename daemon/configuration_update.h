#pragma once

#include "jobs/job_configuration.h"

#include <optional>
#include <string>

namespace bramleystall {

/**
 * Replaces the configuration by the stored document if that has a higher
 * version, so that a process never goes back to an older one, whatever it reads
 * from the store. Returns whether it did. Throws Error (InvalidInput) if the
 * document is invalid; the configuration then stays.
 */
bool
UpdateConfiguration(std::optional<JobConfiguration>& aCurrent,
                    const std::string& aJson);

}
