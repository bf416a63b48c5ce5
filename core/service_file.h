#pragma once

#include "core/configuration.h"

#include <string>
#include <vector>

namespace bramleystall {

/** Content of a configuration folder. */
struct ConfigurationFolder
{
  /** Fleet, services and digest; no version, token, time or operator. */
  Configuration m_configuration;
  /** Findings that do not prevent publishing, one line each. */
  std::vector<std::string> m_warnings;
};

/**
 * Reads `fleet.json` and all `*.service.json` files of a folder and checks
 * them. Throws Error (InvalidInput) with one line for each error.
 */
ConfigurationFolder
LoadConfigurationFolder(const std::string& aFolder);

}
