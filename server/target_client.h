#pragma once

#include "core/enum_names.h"
#include "server/http_message.h"

#include <absl/time/time.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace bramleystall {

/** Why an attempt has no complete response. */
enum class AttemptFailure
{
  None,
  /** No connection was established in time. */
  ConnectFailed,
  ConnectionClosed,
  ResponseTruncated,
  ResponseTooLarge,
  TimedOut,
  /** The client was stopped. */
  Stopped,
};

inline constexpr EnumNames<AttemptFailure, 7> kAttemptFailureNames = { {
  { AttemptFailure::None, "none" },
  { AttemptFailure::ConnectFailed, "connect_failed" },
  { AttemptFailure::ConnectionClosed, "connection_closed" },
  { AttemptFailure::ResponseTruncated, "response_truncated" },
  { AttemptFailure::ResponseTooLarge, "response_too_large" },
  { AttemptFailure::TimedOut, "timed_out" },
  { AttemptFailure::Stopped, "stopped" },
} };

/** One attempt to run a request at a target. */
struct TargetRequest
{
  /** IP address and port, "127.0.0.1:8080". */
  std::string m_address;
  std::string m_method;
  std::string m_target;
  HttpHeaders m_headers;
  /** Kept alive until the attempt ends. */
  std::shared_ptr<const HttpRequest> m_source;
  absl::Duration m_timeout;
  /** Use a new connection and close it afterwards. */
  bool m_needsFreshConnection = false;
};

/** Result of an attempt. */
struct TargetResult
{
  AttemptFailure m_failure = AttemptFailure::None;
  /** False only when certainly no byte of the request was sent. */
  bool m_mayHaveBeenSent = false;
  /** Complete only when m_failure is None. */
  HttpResponse m_response;
};

/**
 * HTTP/1.1 client for targets on one thread (libcurl multi interface). A
 * response counts as complete only when its headers ended and its body has the
 * declared Content-Length or the final chunk; a body that only the end of the
 * connection delimits is treated as truncated. libcurl's own resends on a
 * reused connection that turned out dead are prevented. Follows no redirects.
 */
class TargetClient
{
public:
  using Done = std::function<void(TargetResult)>;

  /** aConnectionsPerTarget bounds open connections, idle ones included. */
  TargetClient(int aConnectionsPerTarget, std::size_t aMaxResponseBytes);
  ~TargetClient();
  TargetClient(const TargetClient&) = delete;
  TargetClient& operator=(const TargetClient&) = delete;

  /** Starts the thread. Throws Error (Internal). */
  void Start();

  /** Ends all attempts with Stopped and joins the thread. */
  void Stop();

  /** Starts an attempt. aDone is called once, on the client's thread. After
   * Stop it is called at once. */
  void Send(TargetRequest aRequest, Done aDone);

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}
