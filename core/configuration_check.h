#pragma once

#include "core/configuration.h"

#include <string>
#include <vector>

namespace bramleystall {

/** Files that the parts of a configuration were read from, for messages. */
struct ConfigurationSources
{
  std::string m_fleetFile;
  /** One for each service, in the order of the services. */
  std::vector<std::string> m_serviceFiles;
};

/** Results of the cross checks, one line each. */
struct ConfigurationFindings
{
  std::vector<std::string> m_errors;
  std::vector<std::string> m_warnings;
};

/**
 * Checks what a JSON schema cannot express: references between names,
 * overlapping routes, quotas, deadlines, and whether the pools keep their
 * availability budgets after the loss of the configured failure domain.
 */
ConfigurationFindings
CheckConfiguration(const Configuration& aConfiguration,
                   const ConfigurationSources& aSources);

}
