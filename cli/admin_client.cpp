#include "cli/admin_client.h"

#include "core/json_schema.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <thread>

namespace bramleystall {

namespace {

constexpr std::size_t kMaxShownBodyLength = 300;

std::string
ErrorMessageOf(const DaemonResponse& aResponse, const std::string& aBody)
{
  if (aResponse.IsSuccess()) {
    return aResponse.m_body.is_null() ? "the response is not JSON" : "";
  }
  if (aResponse.m_body.is_object() && aResponse.m_body.contains("message") &&
      aResponse.m_body["message"].is_string()) {
    return ToPrintableLine(aResponse.m_body["message"].get<std::string>(),
                           kMaxShownBodyLength);
  }
  return absl::StrCat("status ",
                      aResponse.m_status,
                      ": ",
                      ToPrintableLine(aBody, kMaxShownBodyLength));
}

}

DaemonResponse
SendAdminRequest(CommandContext& aContext,
                 const std::string& aAddress,
                 const ClientRequest& aRequest,
                 absl::Duration aTimeout)
{
  DaemonResponse response;
  response.m_address = aAddress;
  ClientRequest request = aRequest;
  request.m_url = absl::StrCat("http://", aAddress, aRequest.m_url);
  request.m_timeout = aTimeout;
  request.m_connectTimeout = std::min(request.m_connectTimeout, aTimeout);
  try {
    const ClientResponse httpResponse = aContext.Environment().m_send(request);
    response.m_mayHaveBeenSent = true;
    response.m_status = httpResponse.m_status;
    response.m_body =
      nlohmann::json::parse(httpResponse.m_body, nullptr, false);
    if (response.m_body.is_discarded()) {
      response.m_body = nullptr;
    }
    response.m_errorMessage = ErrorMessageOf(response, httpResponse.m_body);
  } catch (const HttpError& error) {
    response.m_mayHaveBeenSent = error.MayHaveBeenSent();
    response.m_errorMessage =
      ToPrintableLine(error.what(), kMaxShownBodyLength);
  }
  return response;
}

std::vector<DaemonResponse>
QueryAllDaemons(CommandContext& aContext, const std::string& aPath)
{
  const std::vector<std::string>& addresses =
    aContext.Settings().m_adminAddresses;
  std::vector<DaemonResponse> responses(addresses.size());
  {
    // Each daemon has a thread of its own, so that one that does not respond
    // does not delay the requests to the others.
    std::vector<std::jthread> threads;
    threads.reserve(addresses.size());
    for (std::size_t i = 0; i < addresses.size(); ++i) {
      threads.emplace_back([&, i] {
        ClientRequest request;
        request.m_url = aPath;
        responses[i] = SendAdminRequest(aContext, addresses[i], request);
      });
    }
  }
  return responses;
}

const DaemonResponse*
FindDecider(const std::vector<DaemonResponse>& aStatuses)
{
  const auto found =
    std::ranges::find_if(aStatuses, [](const DaemonResponse& aStatus) {
      return aStatus.m_errorMessage.empty() && aStatus.m_body.is_object() &&
             aStatus.m_body.value("is_decider", nlohmann::json()) == true;
    });
  return found == aStatuses.end() ? nullptr : &*found;
}

}
