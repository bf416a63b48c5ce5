#pragma once

#include "cli/command_context.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace bramleystall {

/** Answer of one daemon, or the fault that prevented it. */
struct DaemonResponse
{
  std::string m_address;
  /** HTTP status; 0 when there was no complete response. */
  int m_status = 0;
  /** Parsed body; null when it is not JSON. */
  nlohmann::json m_body;
  /** What went wrong, one line; empty for status 2xx. */
  std::string m_errorMessage;
  /** Whether the daemon may have received the request. */
  bool m_mayHaveBeenSent = false;

  bool IsSuccess() const { return m_status >= 200 && m_status < 300; }
};

/** A hook of the daemon may wait for the store, whose calls take at most 2 s by
 * default, and repeat them. */
inline constexpr absl::Duration kAdminTimeout = absl::Seconds(10);

/**
 * Sends one request, whose URL is the path, to the admin interface of a daemon.
 * Never throws Error.
 */
DaemonResponse
SendAdminRequest(CommandContext& aContext,
                 const std::string& aAddress,
                 const ClientRequest& aRequest,
                 absl::Duration aTimeout = kAdminTimeout);

/** Asks all daemons at the same time, in the order of the settings. */
std::vector<DaemonResponse>
QueryAllDaemons(CommandContext& aContext, const std::string& aPath);

/** The status of the daemon that says that it is the decider, or null. */
const DaemonResponse*
FindDecider(const std::vector<DaemonResponse>& aStatuses);

}
