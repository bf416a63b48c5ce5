#include "cli/version_wait.h"

#include "cli/admin_client.h"
#include "core/clock.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>

namespace bramleystall {

namespace {

/** Short compared with the 5 s within which a version takes effect. */
constexpr absl::Duration kPollInterval = absl::Milliseconds(100);

std::string
FormatSeconds(absl::Duration aDuration)
{
  const std::int64_t tenths = absl::ToInt64Milliseconds(aDuration) / 100;
  return absl::StrCat(tenths / 10, ".", tenths % 10, " s");
}

/** Updates the state of a daemon from its status response. */
void
UpdateDaemonVersion(const DaemonResponse& aResponse,
                    const Configuration& aConfiguration,
                    DaemonVersion& aDaemon)
{
  if (!aResponse.m_errorMessage.empty()) {
    aDaemon.m_detail = aResponse.m_errorMessage;
    return;
  }
  const nlohmann::json empty = nlohmann::json::object();
  const nlohmann::json& body =
    aResponse.m_body.is_object() ? aResponse.m_body : empty;
  const nlohmann::json configuration = body.value("configuration", empty);
  const std::uint64_t version =
    configuration.is_object() ? configuration.value("version", 0ULL) : 0;
  aDaemon.m_daemon = body.value("daemon", "");
  const bool hasDifferentDigest =
    version == aConfiguration.m_version &&
    configuration.value("digest", "") != aConfiguration.m_digest;
  aDaemon.m_isInEffect =
    version >= aConfiguration.m_version && !hasDifferentDigest;
  if (aDaemon.m_isInEffect) {
    aDaemon.m_detail.clear();
  } else if (hasDifferentDigest) {
    aDaemon.m_detail =
      absl::StrCat("version ", version, " with a different digest");
  } else {
    aDaemon.m_detail =
      version == 0 ? "no configuration" : absl::StrCat("version ", version);
  }
}

/** Polls one daemon until it has the version or the deadline has passed. */
void
PollDaemon(CommandContext& aContext,
           const Configuration& aConfiguration,
           absl::Time aStart,
           absl::Time aDeadline,
           DaemonVersion& aDaemon)
{
  ClientRequest request;
  request.m_url = "/v1/status";
  while (true) {
    // The time-out is limited by the deadline, so that a daemon that accepts
    // the connection but does not respond does not extend the operator's wait.
    const absl::Duration timeout =
      std::clamp(aDeadline - MonotonicNow(), kPollInterval, kAdminTimeout);
    const DaemonResponse response =
      SendAdminRequest(aContext, aDaemon.m_address, request, timeout);
    try {
      UpdateDaemonVersion(response, aConfiguration, aDaemon);
    } catch (const nlohmann::json::exception&) {
      aDaemon.m_detail = "the status has an unexpected form";
    }
    const absl::Time now = MonotonicNow();
    aDaemon.m_elapsed = now - aStart;
    if (aDaemon.m_isInEffect || now + kPollInterval >= aDeadline) {
      return;
    }
    absl::SleepFor(kPollInterval);
  }
}

}

std::vector<DaemonVersion>
WaitForVersion(CommandContext& aContext,
               const Configuration& aConfiguration,
               absl::Duration aWait)
{
  std::vector<DaemonVersion> daemons;
  for (const std::string& address : aContext.Settings().m_adminAddresses) {
    daemons.push_back({ address, "", false, absl::ZeroDuration(), "" });
  }
  const absl::Time start = MonotonicNow();
  {
    std::vector<std::jthread> threads;
    threads.reserve(daemons.size());
    for (DaemonVersion& daemon : daemons) {
      threads.emplace_back([&, start] {
        PollDaemon(aContext, aConfiguration, start, start + aWait, daemon);
      });
    }
  }
  return daemons;
}

nlohmann::json
VersionsToJson(const std::vector<DaemonVersion>& aDaemons)
{
  nlohmann::json list = nlohmann::json::array();
  for (const DaemonVersion& daemon : aDaemons) {
    list.push_back(
      { { "address", daemon.m_address },
        { "daemon", daemon.m_daemon },
        { "in_effect", daemon.m_isInEffect },
        { "after_ms", absl::ToInt64Milliseconds(daemon.m_elapsed) },
        { "detail", daemon.m_detail } });
  }
  return list;
}

std::string
VersionsToText(const std::vector<DaemonVersion>& aDaemons)
{
  std::string text;
  for (const DaemonVersion& daemon : aDaemons) {
    const std::string name =
      daemon.m_daemon.empty() ? daemon.m_address : daemon.m_daemon;
    absl::StrAppend(&text,
                    daemon.m_isInEffect ? "in effect: " : "not yet:   ",
                    name,
                    " after ",
                    FormatSeconds(daemon.m_elapsed),
                    daemon.m_detail.empty() ? "" : ", ",
                    daemon.m_detail,
                    "\n");
  }
  return text;
}

}
