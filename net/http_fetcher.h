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

struct FetchRequest
{
  std::string m_method = "GET";
  std::string m_url;
  std::string m_body;
  std::vector<std::string> m_headers;
  /** Time-out from the call of Send to the last byte of the response. */
  absl::Duration m_timeout = absl::Seconds(1);
  /** Longest time without a further byte of the response body, counted from
   * Send on; for large responses on slow links, in addition to m_timeout. */
  absl::Duration m_stallTimeout = absl::InfiniteDuration();
  /** Executing the request twice has the same effect as once, and each response
   * is valid. Such a request is sent again when a reused connection turns out
   * to be closed; any other request is sent at most once. GET requests are
   * always idempotent. */
  bool m_isIdempotent = false;

  bool IsIdempotent() const { return m_isIdempotent || m_method == "GET"; }
};

/** Result of a request; m_status is 0 if there was no complete response. */
struct FetchResult
{
  int m_status = 0;
  std::string m_body;
  /** Why there was no response; empty otherwise. */
  std::string m_error;
  /** Monotonic time of the loop when Send was called. */
  absl::Time m_sentAt;
  /** False only if no connection was available, so that the server received
   * nothing. */
  bool m_mayHaveBeenSent = true;

  bool HasResponse() const { return m_status != 0; }
};

/** What a request without a response on an open connection says of the other
 * connections of its fetcher. */
enum class AfterTimeout
{
  /** Nothing: servers may leave single requests unanswered, and new connections
   * are expensive. */
  KeepConnections,
  /** They may have gone silent as well, so later requests use new ones. */
  ReplaceConnections,
};

/**
 * HTTP/1.1 client on an event loop, based on libcurl's multi interface with
 * kept-alive connections.
 */
class HttpFetcher
{
public:
  using Callback = std::function<void(FetchResult)>;

  /** aConnectionsPerHost is the maximum number of connections to one host;
   * further requests wait for one of them. */
  explicit HttpFetcher(
    EventLoop& aLoop,
    int aConnectionsPerHost,
    AfterTimeout aAfterTimeout = AfterTimeout::KeepConnections);
  ~HttpFetcher();
  HttpFetcher(const HttpFetcher&) = delete;
  HttpFetcher& operator=(const HttpFetcher&) = delete;

  /** Sends a request. The loop runs the callback after Send has returned. */
  void Send(FetchRequest aRequest, Callback aCallback);

private:
  struct Transfer;
  struct Multi;

  std::unique_ptr<Multi> MakeMulti();
  void CompleteTransfers(Multi& aMulti);
  /** Lets later requests use new connections, if a transfer without a response
   * shows that the present ones may be silent. */
  void OnTimeout(const Transfer& aTransfer);
  /** Closes replaced connections without transfers soon. */
  void ScheduleDrop();
  /** Ends a transfer that received nothing since the last check. */
  void CheckStall(std::uint64_t aId, std::size_t aReceivedBefore);
  void ScheduleStallCheck(const Transfer& aTransfer);
  /** Releases the handle of a transfer and calls back with its result. */
  void Finish(std::unique_ptr<Transfer> aTransfer);

  EventLoop& m_loop;
  int m_connectionsPerHost;
  AfterTimeout m_afterTimeout;
  std::uint64_t m_lastId = 0;
  /** Idle handles for reuse; they own no connections. */
  std::vector<void*> m_idleHandles;
  /** The connections of new requests. */
  std::unique_ptr<Multi> m_multi;
  /** Connections that are closed once their transfers have ended. */
  std::vector<std::unique_ptr<Multi>> m_replaced;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
