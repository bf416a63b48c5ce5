#pragma once

#include "core/error.h"

#include <absl/time/time.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace bramleystall {

struct ClientRequest
{
  std::string m_method = "GET";
  std::string m_url;
  std::string m_body;
  std::vector<std::string> m_headers;
  /** Time from the start of the call to the last byte of the response. */
  absl::Duration m_timeout = absl::Seconds(2);
  absl::Duration m_connectTimeout = absl::Seconds(1);
  /** Must be set for requests that must not be sent twice. */
  bool m_usesFreshConnection = false;
  /** Cancels the request within about a second once true; may be null. */
  const std::atomic<bool>* m_isCancelled = nullptr;
};

/** Complete response; the header names are in lower case. */
struct ClientResponse
{
  int m_status = 0;
  std::string m_body;
  std::map<std::string, std::string> m_headers;
  /** Bytes of the request and the response, without TCP/IP headers. */
  std::uint64_t m_bytes = 0;
};

/** Error of a request that received no complete response. */
class HttpError : public Error
{
public:
  HttpError(const std::string& aMessage, bool aMayHaveBeenSent)
    : Error(ErrorCode::Unavailable, aMessage)
    , m_mayHaveBeenSent(aMayHaveBeenSent)
  {
  }

  /** False only when no connection was made, so nothing was sent. */
  bool MayHaveBeenSent() const { return m_mayHaveBeenSent; }

private:
  bool m_mayHaveBeenSent;
};

/**
 * Blocking HTTP/1.1 client over libcurl with a pool of reusable connections.
 * It follows no redirect and uses no proxy. Safe to call from several threads.
 */
class HttpClient
{
public:
  /** Limit of a response body. Values have at most 1 MB before base64. */
  static constexpr std::size_t kMaxResponseBytes = 8U << 20U;

  HttpClient();
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /**
   * Sends a request and returns the complete response. libcurl repeats a
   * request when it finds that a reused connection was closed by the server;
   * only m_usesFreshConnection prevents this. Throws HttpError.
   */
  ClientResponse Send(const ClientRequest& aRequest);

private:
  void* TakeHandle();
  void ReturnHandle(void* aHandle);

  std::mutex m_mutex;
  /** Idle CURL easy handles, each with its own connection. */
  std::vector<void*> m_idleHandles;
};

}
