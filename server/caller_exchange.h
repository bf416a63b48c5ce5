#pragma once

#include "server/http_message.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace bramleystall {

/**
 * One request of a caller and its response. The response is given once, from
 * any thread; later ones are ignored.
 */
class CallerExchange : public std::enable_shared_from_this<CallerExchange>
{
public:
  /** aOnResponse is called with the first response, to wake the connection. */
  CallerExchange(std::uint64_t aId,
                 HttpRequest aRequest,
                 std::function<void()> aOnResponse);

  std::uint64_t Id() const { return m_id; }
  const HttpRequest& Request() const { return m_request; }

  /** Gives the response; false when there was one before. */
  bool Respond(HttpResponse aResponse);

  /** The response, once; nothing before it is given. */
  std::optional<HttpResponse> TakeResponse();

private:
  const std::uint64_t m_id;
  const HttpRequest m_request;
  std::mutex m_mutex;
  std::function<void()> m_onResponse;
  bool m_hasResponded = false;
  std::optional<HttpResponse> m_response;
};

}
