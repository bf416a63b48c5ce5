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
  /** Name of the daemon; empty until its first response. */
  std::string m_daemon;
  bool m_isInEffect = false;
  /** Time from the start of the wait until the last poll of the daemon. */
  absl::Duration m_elapsed;
  /** Last error or the version that the daemon has; empty when in effect. */
  std::string m_detail;
};

/**
 * Polls each daemon until it reports the version or a newer one, or the time
 * has passed. All daemons are polled in parallel.
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
