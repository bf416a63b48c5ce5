#pragma once

#include "core/enum_names.h"

namespace bramleystall {

/** Why an attempt failed; the reason of the retry that follows it. */
enum class RetryReason
{
  /** No connection was established, so no byte was sent. */
  ConnectFailed,
  /** The connection was closed before a response arrived. */
  ConnectionClosed,
  /** The response ended before its declared length. */
  ResponseTruncated,
  /** The time-out of the attempt expired. */
  TimedOut,
};

inline constexpr EnumNames<RetryReason, 4> kRetryReasonNames = { {
  { RetryReason::ConnectFailed, "connect_failed" },
  { RetryReason::ConnectionClosed, "connection_closed" },
  { RetryReason::ResponseTruncated, "response_truncated" },
  { RetryReason::TimedOut, "timed_out" },
} };

}
