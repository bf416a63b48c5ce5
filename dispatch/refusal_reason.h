#pragma once

#include "core/enum_names.h"

namespace bramleystall {

/** Why a request was refused before it was sent to any target. */
enum class RefusalReason
{
  Malformed,
  UnknownService,
  TooLarge,
  RequestIdRequired,
  RequestIdInvalid,
  RequestIdFromFuture,
  QueueFull,
  /** The expected wait exceeds the deadline. */
  WaitExceedsDeadline,
  /** The deadline passed while the request was queued. */
  DeadlinePassed,
  /** The pool has no target, or no target accepted a connection. */
  NoCapacity,
  ServiceRemoved,
  /** The caller disconnected while the request was queued. */
  CallerDisconnected,
  ShuttingDown,
  /** Open requests take all the memory or connections that they may. */
  NoRoom,
};

inline constexpr EnumNames<RefusalReason, 14> kRefusalReasonNames = { {
  { RefusalReason::Malformed, "malformed" },
  { RefusalReason::UnknownService, "unknown_service" },
  { RefusalReason::TooLarge, "too_large" },
  { RefusalReason::RequestIdRequired, "request_id_required" },
  { RefusalReason::RequestIdInvalid, "request_id_invalid" },
  { RefusalReason::RequestIdFromFuture, "request_id_from_future" },
  { RefusalReason::QueueFull, "queue_full" },
  { RefusalReason::WaitExceedsDeadline, "wait_exceeds_deadline" },
  { RefusalReason::DeadlinePassed, "deadline_passed" },
  { RefusalReason::NoCapacity, "no_capacity" },
  { RefusalReason::ServiceRemoved, "service_removed" },
  { RefusalReason::CallerDisconnected, "caller_disconnected" },
  { RefusalReason::ShuttingDown, "shutting_down" },
  { RefusalReason::NoRoom, "no_room" },
} };

}
