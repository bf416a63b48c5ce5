#pragma once

#include "core/enum_names.h"
#include "server/http_message.h"

#include <absl/time/time.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace bramleystall {

/** Reason why an attempt has no complete response. */
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

/** One attempt to send a request to a target. */
struct TargetRequest
{
  /** IP address and port, "127.0.0.1:8080". */
  std::string m_address;
  std::string m_method;
  std::string m_target;
  HttpHeaders m_headers;
  /** Request of the caller, whose body is sent; null for no body. Kept alive
   * until the attempt ends. */
  std::shared_ptr<const HttpRequest> m_source;
  absl::Duration m_timeout;
  /** Whether the attempt uses a new connection and closes it afterwards. */
  bool m_usesFreshConnection = false;
};

/** Result of an attempt. */
struct TargetResult
{
  AttemptFailure m_failure = AttemptFailure::None;
  /** False only when it is certain that no byte of the request was sent. */
  bool m_mayHaveBeenSent = false;
  /** Complete only when m_failure is None. */
  HttpResponse m_response;
};

/**
 * HTTP/1.1 client for targets on one thread (libcurl multi interface). A
 * response is complete only when all its headers were received and its body has
 * the declared Content-Length or the final chunk; a body that is delimited only
 * by the close of the connection is treated as truncated. libcurl's automatic
 * resend after a reused connection turns out to be closed is prevented. Does
 * not follow redirects.
 */
class TargetClient
{
public:
  using Done = std::function<void(TargetResult)>;

  /** aConnectionsPerTarget limits the open connections to a target, idle ones
   * included. */
  TargetClient(int aConnectionsPerTarget, std::size_t aMaxResponseBytes);
  ~TargetClient();
  TargetClient(const TargetClient&) = delete;
  TargetClient& operator=(const TargetClient&) = delete;

  /** Starts the thread. Throws Error (Internal) when libcurl cannot be
   * initialised. */
  void Start();

  /** Fails all attempts with Stopped and joins the thread. */
  void Stop();

  /** Starts an attempt. aDone is called once, on the client's thread; after
   * Stop it is called directly, on the calling thread. */
  void Send(TargetRequest aRequest, Done aDone);

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}
