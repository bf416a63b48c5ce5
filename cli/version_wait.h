#pragma once

#include "cli/command_context.h"
#include "core/configuration.h"

#include <absl/time/time.h>

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace bramleystall {

/** Whether one daemon has a configuration version in effect. */
struct DaemonVersion
{
  std::string m_address;
  /** Name of the daemon; empty while it never answered. */
  std::string m_daemon;
  bool m_isInEffect = false;
  /** Time from the start of the wait until the daemon reported the version. */
  absl::Duration m_elapsed;
  /** Last fault or the version that the daemon has; empty when in effect. */
  std::string m_detail;
};

/**
 * Asks each daemon until it reports the version or a newer one, or the time
 * has passed. All daemons are asked at the same time.
 */
std::vector<DaemonVersion>
WaitForVersion(CommandContext& aContext,
               const Configuration& aConfiguration,
               absl::Duration aWait);

/** JSON form of the result, one object for each daemon. */
nlohmann::json
VersionsToJson(const std::vector<DaemonVersion>& aDaemons);

/** Text form of the result, one line for each daemon. */
std::string
VersionsToText(const std::vector<DaemonVersion>& aDaemons);

}
