#include "server/caller_exchange.h"

#include <utility>

namespace bramleystall {

CallerExchange::CallerExchange(std::uint64_t aId,
                               HttpRequest aRequest,
                               std::function<void()> aOnResponse)
  : m_id(aId)
  , m_request(std::move(aRequest))
  , m_onResponse(std::move(aOnResponse))
{
}

bool
CallerExchange::Respond(HttpResponse aResponse)
{
  std::function<void()> onResponse;
  {
    const std::lock_guard lock(m_mutex);
    if (m_hasResponded) {
      return false;
    }
    m_hasResponded = true;
    m_response = std::move(aResponse);
    onResponse = std::move(m_onResponse);
  }
  onResponse();
  return true;
}

std::optional<HttpResponse>
CallerExchange::TakeResponse()
{
  const std::lock_guard lock(m_mutex);
  return std::exchange(m_response, std::nullopt);
}

}
