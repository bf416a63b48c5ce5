#include "tests/naive/naive_claim_owner.h"

#include "cluster/rendezvous.h"

namespace bramleystall {

const OwnerCandidate*
FindNaiveClaimOwner(const std::vector<OwnerCandidate>& aCandidates,
                    const Uuid7& aId)
{
  const OwnerCandidate* owner = nullptr;
  for (const OwnerCandidate& candidate : aCandidates) {
    const auto weight = [&aId](const OwnerCandidate& aCandidate) {
      return RendezvousWeight(aId.ToString(), aCandidate.m_daemon, 0);
    };
    if (!candidate.IsDead() && (!owner || weight(candidate) > weight(*owner))) {
      owner = &candidate;
    }
  }
  return owner;
}

}
