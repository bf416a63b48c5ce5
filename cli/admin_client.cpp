#include "cli/admin_client.h"

#include "core/json_schema.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <thread>

namespace bramleystall {

namespace {

constexpr std::size_t kMaxShownBody = 300;

std::string
FaultOf(const AdminReply& aReply, const std::string& aBody)
{
  if (aReply.IsSuccess()) {
    return aReply.m_body.is_null() ? "the response is not JSON" : "";
  }
  if (aReply.m_body.is_object() && aReply.m_body.contains("message") &&
      aReply.m_body["message"].is_string()) {
    return ToPrintableLine(aReply.m_body["message"].get<std::string>(),
                           kMaxShownBody);
  }
  return absl::StrCat(
    "status ", aReply.m_status, ": ", ToPrintableLine(aBody, kMaxShownBody));
}

}

AdminReply
AskDaemon(CommandContext& aContext,
          const std::string& aAddress,
          const ClientRequest& aRequest,
          absl::Duration aTimeout)
{
  AdminReply reply;
  reply.m_address = aAddress;
  ClientRequest request = aRequest;
  request.m_url = absl::StrCat("http://", aAddress, aRequest.m_url);
  request.m_timeout = aTimeout;
  request.m_connectTimeout = std::min(request.m_connectTimeout, aTimeout);
  try {
    const ClientResponse response = aContext.Environment().m_send(request);
    reply.m_mayHaveBeenSent = true;
    reply.m_status = response.m_status;
    reply.m_body = nlohmann::json::parse(response.m_body, nullptr, false);
    if (reply.m_body.is_discarded()) {
      reply.m_body = nullptr;
    }
    reply.m_fault = FaultOf(reply, response.m_body);
  } catch (const HttpError& error) {
    reply.m_mayHaveBeenSent = error.MayHaveBeenSent();
    reply.m_fault = ToPrintableLine(error.what(), kMaxShownBody);
  }
  return reply;
}

std::vector<AdminReply>
AskAllDaemons(CommandContext& aContext, const std::string& aPath)
{
  const std::vector<std::string>& addresses =
    aContext.Settings().m_adminAddresses;
  std::vector<AdminReply> replies(addresses.size());
  {
    // One thread for each daemon, so that one that does not answer delays no
    // other.
    std::vector<std::jthread> threads;
    threads.reserve(addresses.size());
    for (std::size_t i = 0; i < addresses.size(); ++i) {
      threads.emplace_back([&, i] {
        ClientRequest request;
        request.m_url = aPath;
        replies[i] = AskDaemon(aContext, addresses[i], request);
      });
    }
  }
  return replies;
}

const AdminReply*
FindDecider(const std::vector<AdminReply>& aStatuses)
{
  const auto found =
    std::ranges::find_if(aStatuses, [](const AdminReply& aStatus) {
      return aStatus.m_fault.empty() && aStatus.m_body.is_object() &&
             aStatus.m_body.value("is_decider", nlohmann::json()) == true;
    });
  return found == aStatuses.end() ? nullptr : &*found;
}

}
