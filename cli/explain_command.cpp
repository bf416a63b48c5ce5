#include "cli/admin_client.h"
#include "cli/command_context.h"
#include "cli/commands.h"
#include "cli/text_table.h"
#include "core/error.h"
#include "core/url.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <string_view>

namespace bramleystall {

namespace {

constexpr std::array<std::string_view, 4> kKinds = { "vm",
                                                     "pool",
                                                     "wave",
                                                     "service" };

/**
 * Selects the decider's response, since only the decider knows the state of
 * each pool's guarantee; otherwise the response with the most decisions, since
 * a daemon that was disconnected may lack the latest. Null when no daemon knows
 * the subject.
 */
const DaemonResponse*
SelectExplanation(const std::vector<DaemonResponse>& aResponses,
                  const DaemonResponse* aDecider)
{
  const DaemonResponse* best = nullptr;
  std::size_t most = 0;
  for (const DaemonResponse& response : aResponses) {
    if (!response.m_errorMessage.empty() || !response.m_body.is_object()) {
      continue;
    }
    if (aDecider && aDecider->m_address == response.m_address) {
      return &response;
    }
    const std::size_t count =
      response.m_body.value("decisions", nlohmann::json::array()).size();
    if (!best || count > most) {
      best = &response;
      most = count;
    }
  }
  return best;
}

[[noreturn]] void
ThrowNotExplained(const std::vector<DaemonResponse>& aResponses,
                  const std::string& aSubject)
{
  const auto isUnknown = [](const DaemonResponse& aResponse) {
    return aResponse.m_status == 404;
  };
  if (std::ranges::all_of(aResponses, isUnknown)) {
    throw Error(ErrorCode::NotFound,
                absl::StrCat(aSubject, " is not known to any daemon"));
  }
  std::vector<std::string> lines;
  lines.reserve(aResponses.size());
  for (const DaemonResponse& response : aResponses) {
    lines.push_back(
      absl::StrCat(response.m_address, ": ", response.m_errorMessage));
  }
  throw Error(ErrorCode::Unavailable, absl::StrJoin(lines, "\n"));
}

}

ExitCode
RunExplain(CommandContext& aContext)
{
  const std::string& kind = aContext.Arguments()[0];
  const std::string& name = aContext.Arguments()[1];
  if (std::ranges::find(kKinds, kind) == kKinds.end()) {
    throw Error(
      ErrorCode::InvalidInput,
      absl::StrCat("kind '", kind, "', expected vm, pool, wave or service"));
  }
  const auto responses = QueryAllDaemons(
    aContext, absl::StrCat("/v1/explain/", kind, "/", EncodeUrlPart(name)));
  const auto statuses = QueryAllDaemons(aContext, "/v1/status");
  const DaemonResponse* const best =
    SelectExplanation(responses, FindDecider(statuses));
  if (!best) {
    ThrowNotExplained(responses, absl::StrCat(kind, " ", name));
  }
  aContext.Print(
    { { "address", best->m_address }, { "explanation", best->m_body } },
    absl::StrCat(
      FormatObject(best->m_body), "(answered by ", best->m_address, ")\n"));
  return ExitCode::Success;
}

}
