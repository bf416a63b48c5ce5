#pragma once

#include "core/configuration.h"

#include <string>
#include <vector>

namespace bramleystall {

/** Configuration with the files that its parts come from. */
struct ConfigurationSources
{
  std::string m_fleetFile;
  /** One for each service, in the order of the services. */
  std::vector<std::string> m_serviceFiles;
};

/** Findings of the cross checks, one line each. */
struct ConfigurationFindings
{
  std::vector<std::string> m_errors;
  std::vector<std::string> m_warnings;
};

/**
 * Checks what a schema cannot: names that refer to each other, overlapping
 * routes, quotas, deadlines, and whether the budgets survive the loss of the
 * configured failure domain.
 */
ConfigurationFindings
CheckConfiguration(const Configuration& aConfiguration,
                   const ConfigurationSources& aSources);

}
