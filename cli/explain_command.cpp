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
 * The decider's reply, since only the decider knows the state of each pool's
 * guarantee; otherwise the reply with the most decisions, since a daemon that
 * was cut off may lack the latest. Null when no daemon knows the subject.
 */
const AdminReply*
FindBest(const std::vector<AdminReply>& aReplies, const AdminReply* aDecider)
{
  const AdminReply* best = nullptr;
  std::size_t most = 0;
  for (const AdminReply& reply : aReplies) {
    if (!reply.m_fault.empty() || !reply.m_body.is_object()) {
      continue;
    }
    if (aDecider && aDecider->m_address == reply.m_address) {
      return &reply;
    }
    const std::size_t count =
      reply.m_body.value("decisions", nlohmann::json::array()).size();
    if (!best || count > most) {
      best = &reply;
      most = count;
    }
  }
  return best;
}

[[noreturn]] void
ThrowNotExplained(const std::vector<AdminReply>& aReplies,
                  const std::string& aSubject)
{
  const auto isUnknown = [](const AdminReply& aReply) {
    return aReply.m_status == 404;
  };
  if (std::ranges::all_of(aReplies, isUnknown)) {
    throw Error(ErrorCode::NotFound,
                absl::StrCat(aSubject, " is not known to any daemon"));
  }
  std::vector<std::string> lines;
  lines.reserve(aReplies.size());
  for (const AdminReply& reply : aReplies) {
    lines.push_back(absl::StrCat(reply.m_address, ": ", reply.m_fault));
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
  const auto replies = AskAllDaemons(
    aContext, absl::StrCat("/v1/explain/", kind, "/", EncodeUrlPart(name)));
  const auto statuses = AskAllDaemons(aContext, "/v1/status");
  const AdminReply* const best = FindBest(replies, FindDecider(statuses));
  if (!best) {
    ThrowNotExplained(replies, absl::StrCat(kind, " ", name));
  }
  aContext.Print(
    { { "address", best->m_address }, { "explanation", best->m_body } },
    absl::StrCat(
      FormatObject(best->m_body), "(answered by ", best->m_address, ")\n"));
  return ExitCode::Success;
}

}
