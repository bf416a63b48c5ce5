#pragma once

#include "server/http_message.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace bramleystall {

/**
 * One request of a caller and its response. Any thread may set the response;
 * the first one counts, later ones are ignored.
 */
class CallerExchange : public std::enable_shared_from_this<CallerExchange>
{
public:
  /** aOnResponse is called once, after the first response is set, to resume
   * the connection. */
  CallerExchange(std::uint64_t aId,
                 HttpRequest aRequest,
                 std::function<void()> aOnResponse);

  std::uint64_t Id() const { return m_id; }
  const HttpRequest& Request() const { return m_request; }

  /** Sets the response. Returns false when one was set before. */
  bool Respond(HttpResponse aResponse);

  /** Returns the response to the first call after it was set; otherwise
   * nothing. */
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
