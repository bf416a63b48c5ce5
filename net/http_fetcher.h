#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bramleystall {

class EventLoop;

/** One HTTP request of the fetcher. */
struct FetchRequest
{
  std::string m_method = "GET";
  std::string m_url;
  std::string m_body;
  std::vector<std::string> m_headers;
  /** Time from the start of the call to the last byte of the response. */
  absl::Duration m_timeout = absl::Seconds(1);
  /** Opens a connection for this request alone and closes it afterwards. */
  bool m_usesFreshConnection = false;
};

/** Result of a request; m_status is 0 when there was no complete response. */
struct FetchResult
{
  int m_status = 0;
  std::string m_body;
  /** Why there was no response; empty otherwise. */
  std::string m_error;
  /** When the request was handed to the fetcher, in monotonic time. */
  absl::Time m_sentAt;
  /** False only when no connection was made, so the server saw nothing. */
  bool m_mayHaveBeenSent = true;

  bool HasResponse() const { return m_status != 0; }
};

/**
 * HTTP/1.1 client on an event loop, over libcurl's multi interface with
 * kept-alive connections. libcurl repeats a request when a reused connection
 * turns out to be dead, so requests have to be idempotent or conditional.
 */
class HttpFetcher
{
public:
  using Callback = std::function<void(FetchResult)>;

  /** Connections to one host above which requests wait. */
  explicit HttpFetcher(EventLoop& aLoop, int aConnectionsPerHost);
  ~HttpFetcher();
  HttpFetcher(const HttpFetcher&) = delete;
  HttpFetcher& operator=(const HttpFetcher&) = delete;

  /** Sends a request; the callback runs later, on the loop. */
  void Send(FetchRequest aRequest, Callback aCallback);

private:
  struct Transfer;
  struct Multi;

  void CompleteTransfers();

  EventLoop& m_loop;
  std::unique_ptr<Multi> m_multi;
};

}
