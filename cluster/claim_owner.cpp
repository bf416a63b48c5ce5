#include "cluster/claim_owner.h"

#include "cluster/rendezvous.h"

#include <string_view>

namespace bramleystall {

namespace {

bool
OwnsIdsCreatedAt(const OwnerCandidate& aCandidate, std::int64_t aCreatedMillis)
{
  if (aCandidate.m_ownerFromMillis > aCreatedMillis) {
    return false;
  }
  return !aCandidate.IsDead() ||
         aCreatedMillis <= *aCandidate.m_deadUntilMillis;
}

}

const OwnerCandidate*
FindClaimOwner(const std::vector<OwnerCandidate>& aCandidates, const Uuid7& aId)
{
  const std::string_view key(reinterpret_cast<const char*>(&aId), sizeof(aId));
  const OwnerCandidate* owner = nullptr;
  std::uint64_t highest = 0;
  for (const OwnerCandidate& candidate : aCandidates) {
    if (!OwnsIdsCreatedAt(candidate, aId.CreatedMillis())) {
      continue;
    }
    const std::uint64_t weight =
      RendezvousWeight(key, candidate.m_daemon, candidate.m_incarnation);
    if (!owner || weight > highest) {
      owner = &candidate;
      highest = weight;
    }
  }
  return owner;
}

}
