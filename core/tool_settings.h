#pragma once

#include "core/daemon_settings.h"

#include <string>
#include <vector>

namespace bramleystall {

/** Settings of the operators' command-line tool `bramleystall`. */
struct ToolSettings
{
  PlatformSettings m_platform;
  /** Admin addresses of all daemons, "127.0.0.1:9000". */
  std::vector<std::string> m_adminAddresses;
  /** Name of the operator, recorded with each change. */
  std::string m_operator;
};

/** Reads the settings. Throws Error (InvalidInput) with one line for each
 * error in the file. */
ToolSettings
LoadToolSettings(const std::string& aPath);

}
