#pragma once

#include "core/claim_outcome.h"
#include "core/uuid7.h"

#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <cstdint>
#include <map>

namespace bramleystall {

/** Time for which the owner of an id keeps the record of its grant. */
inline constexpr absl::Duration kClaimRetention = absl::Minutes(10);
/** Tolerated difference between the clocks of callers and daemons. */
inline constexpr absl::Duration kClockSkewAllowance = absl::Seconds(5);
/** At 16 bytes an id, this is under 40 MB of the 256 MB of a daemon. */
inline constexpr std::size_t kMaxRetainedClaims = 1'000'000;

/**
 * Claims that this daemon granted as the owner of the ids. Grants an id once.
 * A full table refuses new claims instead of evicting grants, since an evicted
 * id could be granted twice.
 */
class ClaimTable
{
public:
  explicit ClaimTable(std::size_t aCapacity = kMaxRetainedClaims)
    : m_capacity(aCapacity)
  {
  }

  /**
   * Checks the age of an id against the wall clock: TooOld, FromFuture, or
   * Granted when the id may be claimed.
   */
  static ClaimOutcome CheckAge(const Uuid7& aId, absl::Time aNow);

  /** Claims an id. OwnerUnreachable when the table is full. */
  ClaimOutcome Claim(const Uuid7& aId, absl::Time aNow);

  std::size_t Size() const { return m_size; }

private:
  void RemoveExpired(absl::Time aNow);

  std::size_t m_capacity;
  std::size_t m_size = 0;
  /** Ids by the second of their creation, so that whole seconds expire. */
  std::map<std::int64_t, absl::flat_hash_set<Uuid7>> m_granted;
  /**
   * Ids created before this second (Unix time) have been removed. They stay
   * refused when the wall clock is set back.
   */
  std::int64_t m_expiredBefore = 0;
};

}
