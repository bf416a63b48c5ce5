#pragma once

#include "core/enum_names.h"

namespace bramleystall {

/** Result of claiming the id of a request that is not idempotent. */
enum class ClaimOutcome
{
  /** The request may be sent to a target, once. */
  Granted,
  /** The id has already been claimed. */
  Duplicate,
  /** The owner of the id is dead or did not reply; the outcome is unknown. */
  OwnerUnreachable,
  /** The owner no longer retains claims of this age; the outcome is unknown.
   */
  TooOld,
  /** The id was created too far in the future; the request was not run. */
  FromFuture,
  /** The id holds no creation time; the request was not run. */
  InvalidId,
};

inline constexpr EnumNames<ClaimOutcome, 6> kClaimOutcomeNames = { {
  { ClaimOutcome::Granted, "granted" },
  { ClaimOutcome::Duplicate, "duplicate" },
  { ClaimOutcome::OwnerUnreachable, "owner_unreachable" },
  { ClaimOutcome::TooOld, "too_old" },
  { ClaimOutcome::FromFuture, "from_future" },
  { ClaimOutcome::InvalidId, "invalid_id" },
} };

}
