#include "consul/consul_client.h"

#include "core/clock.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace bramleystall {

ConsulClient::ConsulClient(const ConsulSettings& aSettings, Metrics* aMetrics)
  : m_settings(aSettings)
  , m_metrics(aMetrics)
{
  while (absl::EndsWith(m_settings.m_baseUrl, "/")) {
    m_settings.m_baseUrl.pop_back();
  }
}

ClientRequest
ConsulClient::MakeRequest(const std::string& aMethod,
                          const std::string& aPath) const
{
  ClientRequest request;
  request.m_method = aMethod;
  request.m_url = absl::StrCat(m_settings.m_baseUrl, aPath);
  request.m_timeout = m_settings.m_timeout;
  request.m_connectTimeout = m_settings.m_connectTimeout;
  return request;
}

ClientResponse
ConsulClient::Read(const std::string& aKind, const std::string& aPath)
{
  return Call(aKind, MakeRequest("GET", aPath));
}

ClientResponse
ConsulClient::Watch(const std::string& aPath, absl::Duration aWait)
{
  ClientRequest request = MakeRequest("GET", aPath);
  // The API adds a random time of up to a sixteenth of the waiting time.
  request.m_timeout += aWait + aWait / 16;
  request.m_isCancelled = &m_isStopped;
  return Call("watch", request);
}

ClientResponse
ConsulClient::Put(const std::string& aKind,
                  const std::string& aPath,
                  const std::string& aBody)
{
  ClientRequest request = MakeRequest("PUT", aPath);
  request.m_body = aBody;
  request.m_headers.emplace_back("Content-Type: application/json");
  request.m_usesFreshConnection = true;
  return Call(aKind, request);
}

void
ConsulClient::CountError(const std::string& aKind, const std::string& aReason)
{
  if (m_metrics != nullptr) {
    m_metrics->Count("bramleystall_store_errors_total",
                     { { "kind", aKind }, { "reason", aReason } });
  }
}

ClientResponse
ConsulClient::Call(const std::string& aKind, const ClientRequest& aRequest)
{
  if (m_metrics != nullptr) {
    m_metrics->Count("bramleystall_store_calls_total", { { "kind", aKind } });
  }
  const absl::Time start = MonotonicNow();
  try {
    ClientResponse response = m_http.Send(aRequest);
    if (m_metrics != nullptr) {
      m_metrics->Count("bramleystall_store_bytes_total",
                       { { "kind", aKind } },
                       response.m_bytes);
      m_metrics->Observe("bramleystall_store_call_seconds",
                         { { "kind", aKind } },
                         MonotonicNow() - start);
    }
    return response;
  } catch (const HttpError& error) {
    CountError(aKind,
               error.MayHaveBeenSent() ? "no_response" : "not_connected");
    throw;
  }
}

}
