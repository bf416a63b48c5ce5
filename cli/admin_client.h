#pragma once

#include "cli/command_context.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace bramleystall {

/** Response of one daemon to an admin request, or why there is none. */
struct DaemonResponse
{
  std::string m_address;
  /** HTTP status; 0 when there was no complete response. */
  int m_status = 0;
  /** Parsed body; null when it is not JSON. */
  nlohmann::json m_body;
  /** One-line error message; empty for status 2xx with a JSON body. */
  std::string m_errorMessage;
  /** Whether the daemon may have received the request. */
  bool m_mayHaveBeenSent = false;

  bool IsSuccess() const { return m_status >= 200 && m_status < 300; }
};

/**
 * A request to a daemon may wait for several store calls, which take at most 2
 * s each by default.
 */
inline constexpr absl::Duration kAdminTimeout = absl::Seconds(10);

/**
 * Sends a request to the admin interface of a daemon. The URL of the request is
 * the path only. Reports failures in the response and never throws Error.
 */
DaemonResponse
SendAdminRequest(CommandContext& aContext,
                 const std::string& aAddress,
                 const ClientRequest& aRequest,
                 absl::Duration aTimeout = kAdminTimeout);

/** Queries all daemons in parallel; returns them in the order of settings. */
std::vector<DaemonResponse>
QueryAllDaemons(CommandContext& aContext, const std::string& aPath);

/** Returns the status of the daemon that reports to be the decider, or null. */
const DaemonResponse*
FindDecider(const std::vector<DaemonResponse>& aStatuses);

}
