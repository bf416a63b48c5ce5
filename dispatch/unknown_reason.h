#pragma once

#include "core/enum_names.h"

namespace bramleystall {

/** Why the outcome of a request is unknown to the daemon. */
enum class UnknownReason
{
  DuplicateId,
  OwnerUnreachable,
  IdTooOld,
  ConnectionClosed,
  ResponseTruncated,
  ResponseTooLarge,
  TimedOut,
  Stopped,
};

inline constexpr EnumNames<UnknownReason, 8> kUnknownReasonNames = { {
  { UnknownReason::DuplicateId, "duplicate_id" },
  { UnknownReason::OwnerUnreachable, "owner_unreachable" },
  { UnknownReason::IdTooOld, "id_too_old" },
  { UnknownReason::ConnectionClosed, "connection_closed" },
  { UnknownReason::ResponseTruncated, "response_truncated" },
  { UnknownReason::ResponseTooLarge, "response_too_large" },
  { UnknownReason::TimedOut, "timed_out" },
  { UnknownReason::Stopped, "stopped" },
} };

}
