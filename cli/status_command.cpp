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

/** Number of most recent closed orders in the text output. */
constexpr std::size_t kMaxShownClosedOrders = 5;

std::string
DaemonTable(const std::vector<DaemonResponse>& aResponses)
{
  std::vector<std::vector<std::string>> rows = {
    { "DAEMON", "DATA CENTRE", "ADDRESS", "READY", "VERSION", "DECIDER" }
  };
  for (const DaemonResponse& response : aResponses) {
    if (!response.m_errorMessage.empty()) {
      rows.push_back({ "-", "-", response.m_address, "no", "-", "-" });
      continue;
    }
    const json& body = response.m_body;
    const json configuration =
      body.is_object() ? body.value("configuration", json()) : json();
    rows.push_back({ TextOf(body, "daemon"),
                     TextOf(body, "data_centre"),
                     response.m_address,
                     TextOf(body, "ready"),
                     TextOf(configuration, "version"),
                     TextOf(body, "is_decider") });
  }
  return FormatTable(rows);
}

/** One line for each daemon whose status could not be read. */
std::string
ErrorLines(const std::vector<DaemonResponse>& aResponses)
{
  std::string lines;
  for (const DaemonResponse& response : aResponses) {
    if (!response.m_errorMessage.empty()) {
      absl::StrAppend(&lines,
                      "no status: ",
                      response.m_address,
                      ": ",
                      response.m_errorMessage,
                      "\n");
    }
  }
  return lines;
}

/** The decider's status, or the first one; null when there is none. */
const DaemonResponse*
SelectStatus(const std::vector<DaemonResponse>& aResponses)
{
  if (const DaemonResponse* const decider = FindDecider(aResponses)) {
    return decider;
  }
  const auto first =
    std::ranges::find_if(aResponses, [](const DaemonResponse& aResponse) {
      return aResponse.m_errorMessage.empty() && aResponse.m_body.is_object();
    });
  return first == aResponses.end() ? nullptr : &*first;
}

std::string
DeciderLine(const std::vector<DaemonResponse>& aResponses)
{
  return FindDecider(aResponses)
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

/** Table of all open orders and the most recent closed ones. */
std::string
OrderTable(const json& aOrders)
{
  std::size_t closed = static_cast<std::size_t>(std::ranges::count_if(
    aOrders, [](const json& aOrder) { return !IsOpen(aOrder); }));
  std::vector<std::vector<std::string>> rows = {
    { "ORDER", "KIND", "SUBJECT", "OPERATOR", "TIME", "STATE", "DETAIL" }
  };
  for (const json& order : aOrders) {
    if (!IsOpen(order) && closed-- > kMaxShownClosedOrders) {
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
ReadOrders(CommandContext& aContext, const DaemonResponse& aSelected)
{
  ClientRequest request;
  request.m_url = "/v1/orders";
  const DaemonResponse response =
    SendAdminRequest(aContext, aSelected.m_address, request);
  if (!response.m_errorMessage.empty() || !response.m_body.is_object()) {
    return json::array();
  }
  const json orders = response.m_body.value("orders", json::array());
  return orders.is_array() ? orders : json::array();
}

json
ResponsesToJson(const std::vector<DaemonResponse>& aResponses)
{
  json list = json::array();
  for (const DaemonResponse& response : aResponses) {
    json entry = { { "address", response.m_address } };
    if (response.m_errorMessage.empty()) {
      entry["status"] = response.m_body;
    } else {
      entry["fault"] = response.m_errorMessage;
    }
    list.push_back(std::move(entry));
  }
  return list;
}

}

ExitCode
RunStatus(CommandContext& aContext)
{
  const auto responses = QueryAllDaemons(aContext, "/v1/status");
  const DaemonResponse* const selected = SelectStatus(responses);
  const json orders =
    selected ? ReadOrders(aContext, *selected) : json::array();
  aContext.Print(
    { { "daemons", ResponsesToJson(responses) }, { "orders", orders } },
    absl::StrCat(DaemonTable(responses),
                 ErrorLines(responses),
                 DeciderLine(responses),
                 selected ? PoolTable(selected->m_body) : "",
                 OrderTable(orders)));
  const bool isComplete =
    std::ranges::all_of(responses, [](const DaemonResponse& aResponse) {
      return aResponse.m_errorMessage.empty();
    });
  return isComplete ? ExitCode::Success : ExitCode::Unavailable;
}

}
