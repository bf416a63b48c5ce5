#pragma once

#include "core/uuid7.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bramleystall {

/** An incarnation of a daemon of this data centre, as ownership sees it. */
struct OwnerCandidate
{
  std::string m_daemon;
  std::uint64_t m_incarnation = 0;
  /** It owns no id that was created before this time (Unix milliseconds). */
  std::int64_t m_ownerFromMillis = 0;
  /**
   * For a dead incarnation, the creation time up to which it still counts as
   * owner: the detection of its failure plus the skew allowance.
   */
  std::optional<std::int64_t> m_deadUntilMillis;

  bool IsDead() const { return m_deadUntilMillis.has_value(); }
};

/**
 * Owner of an id: the highest rendezvous weight among the incarnations that
 * owned ids at its creation time. Null when there was none.
 */
const OwnerCandidate*
FindClaimOwner(const std::vector<OwnerCandidate>& aCandidates,
               const Uuid7& aId);

}
