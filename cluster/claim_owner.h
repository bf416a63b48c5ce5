#pragma once

#include "core/uuid7.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bramleystall {

/** Daemon incarnation of this data centre that may own request ids. */
struct OwnerCandidate
{
  std::string m_daemon;
  std::uint64_t m_incarnation = 0;
  /** It owns no id that was created before this time (Unix milliseconds). */
  std::int64_t m_ownerFromMillis = 0;
  /**
   * For a dead incarnation, the creation time (Unix milliseconds) up to which
   * it still owns ids: the detection of its failure plus the skew allowance.
   */
  std::optional<std::int64_t> m_deadUntilMillis;

  bool IsDead() const { return m_deadUntilMillis.has_value(); }
};

/**
 * Returns the owner of an id: the incarnation with the highest rendezvous
 * weight among those that owned ids at its creation time. Null when there was
 * none.
 */
const OwnerCandidate*
FindClaimOwner(const std::vector<OwnerCandidate>& aCandidates,
               const Uuid7& aId);

}
