#include "cli/admin_client.h"
#include "cli/command_context.h"
#include "cli/commands.h"
#include "cli/text_table.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace bramleystall {

namespace {

using nlohmann::json;

/** Closed orders that the text form shows, newest last. */
constexpr std::size_t kShownClosedOrders = 5;

std::string
DaemonTable(const std::vector<AdminReply>& aReplies)
{
  std::vector<std::vector<std::string>> rows = {
    { "DAEMON", "DATA CENTRE", "ADDRESS", "READY", "VERSION", "DECIDER" }
  };
  for (const AdminReply& reply : aReplies) {
    if (!reply.m_fault.empty()) {
      rows.push_back({ "-", "-", reply.m_address, "no", "-", "-" });
      continue;
    }
    const json& body = reply.m_body;
    const json configuration =
      body.is_object() ? body.value("configuration", json()) : json();
    rows.push_back({ TextOf(body, "daemon"),
                     TextOf(body, "data_centre"),
                     reply.m_address,
                     TextOf(body, "ready"),
                     TextOf(configuration, "version"),
                     TextOf(body, "is_decider") });
  }
  return FormatTable(rows);
}

/** One line for each daemon that gave no status. */
std::string
FaultLines(const std::vector<AdminReply>& aReplies)
{
  std::string lines;
  for (const AdminReply& reply : aReplies) {
    if (!reply.m_fault.empty()) {
      absl::StrAppend(
        &lines, "no status: ", reply.m_address, ": ", reply.m_fault, "\n");
    }
  }
  return lines;
}

/** The decider's reply, or the first one; null when no daemon answered. */
const AdminReply*
FindBest(const std::vector<AdminReply>& aReplies)
{
  if (const AdminReply* const decider = FindDecider(aReplies)) {
    return decider;
  }
  const auto first =
    std::ranges::find_if(aReplies, [](const AdminReply& aReply) {
      return aReply.m_fault.empty() && aReply.m_body.is_object();
    });
  return first == aReplies.end() ? nullptr : &*first;
}

std::string
DeciderLine(const std::vector<AdminReply>& aReplies)
{
  return FindDecider(aReplies)
           ? ""
           : "no daemon here is the decider: moves, waves and orders wait\n";
}

std::string
PoolTable(const json& aStatus)
{
  const json pools = aStatus.value("pools", json::array());
  if (!pools.is_array() || pools.empty()) {
    return "";
  }
  std::vector<std::vector<std::string>> rows = {
    { "POOL", "PROMISED", "READY", "MARGIN", "KEPT", "EXPLANATION" }
  };
  for (const json& pool : pools) {
    rows.push_back({ TextOf(pool, "pool"),
                     TextOf(pool, "promised"),
                     TextOf(pool, "ready"),
                     TextOf(pool, "margin"),
                     TextOf(pool, "is_kept"),
                     TextOf(pool, "explanation") });
  }
  return absl::StrCat("\n", FormatTable(rows));
}

bool
IsOpen(const json& aOrder)
{
  const std::string state = TextOf(aOrder, "state");
  return state != "done" && state != "refused";
}

/** All open orders and the last closed ones. */
std::string
OrderTable(const json& aOrders)
{
  std::size_t closed = static_cast<std::size_t>(std::ranges::count_if(
    aOrders, [](const json& aOrder) { return !IsOpen(aOrder); }));
  std::vector<std::vector<std::string>> rows = {
    { "ORDER", "KIND", "SUBJECT", "OPERATOR", "TIME", "STATE", "DETAIL" }
  };
  for (const json& order : aOrders) {
    if (!IsOpen(order) && closed-- > kShownClosedOrders) {
      continue;
    }
    std::string subject;
    for (const char* key : { "vm", "pool", "wave" }) {
      const std::string name = TextOf(order, key);
      absl::StrAppend(&subject,
                      subject.empty() || name == "-" ? "" : " ",
                      name == "-" ? "" : name);
    }
    rows.push_back({ TextOf(order, "id"),
                     TextOf(order, "kind"),
                     subject.empty() ? "all" : subject,
                     TextOf(order, "operator"),
                     TimeOf(order, "created_ms"),
                     TextOf(order, "state"),
                     TextOf(order, "detail") });
  }
  return rows.size() == 1 ? "" : absl::StrCat("\n", FormatTable(rows));
}

json
ReadOrders(CommandContext& aContext, const AdminReply& aBest)
{
  ClientRequest request;
  request.m_url = "/v1/orders";
  const AdminReply reply = AskDaemon(aContext, aBest.m_address, request);
  if (!reply.m_fault.empty() || !reply.m_body.is_object()) {
    return json::array();
  }
  const json orders = reply.m_body.value("orders", json::array());
  return orders.is_array() ? orders : json::array();
}

json
RepliesToJson(const std::vector<AdminReply>& aReplies)
{
  json list = json::array();
  for (const AdminReply& reply : aReplies) {
    json entry = { { "address", reply.m_address } };
    if (reply.m_fault.empty()) {
      entry["status"] = reply.m_body;
    } else {
      entry["fault"] = reply.m_fault;
    }
    list.push_back(std::move(entry));
  }
  return list;
}

}

ExitCode
RunStatus(CommandContext& aContext)
{
  const auto replies = AskAllDaemons(aContext, "/v1/status");
  const AdminReply* const best = FindBest(replies);
  const json orders = best ? ReadOrders(aContext, *best) : json::array();
  aContext.Print(
    { { "daemons", RepliesToJson(replies) }, { "orders", orders } },
    absl::StrCat(DaemonTable(replies),
                 FaultLines(replies),
                 DeciderLine(replies),
                 best ? PoolTable(best->m_body) : "",
                 OrderTable(orders)));
  const bool isComplete = std::ranges::all_of(
    replies, [](const AdminReply& aReply) { return aReply.m_fault.empty(); });
  return isComplete ? ExitCode::Success : ExitCode::Unavailable;
}

}
