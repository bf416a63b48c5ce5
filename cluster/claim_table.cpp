#include "cluster/claim_table.h"

#include "core/clock.h"

namespace bramleystall {

namespace {

constexpr std::int64_t kMillisPerSecond = 1000;

}

ClaimOutcome
ClaimTable::CheckAge(const Uuid7& aId, absl::Time aNow)
{
  const absl::Time created = FromMillis(aId.CreatedMillis());
  if (created > aNow + kClockSkewAllowance) {
    return ClaimOutcome::FromFuture;
  }
  if (created < aNow - kClaimRetention) {
    return ClaimOutcome::TooOld;
  }
  return ClaimOutcome::Granted;
}

ClaimOutcome
ClaimTable::Claim(const Uuid7& aId, absl::Time aNow)
{
  RemoveExpired(aNow);
  const ClaimOutcome age = CheckAge(aId, aNow);
  if (age != ClaimOutcome::Granted) {
    return age;
  }
  const std::int64_t second = aId.CreatedMillis() / kMillisPerSecond;
  if (second < m_expiredBefore) {
    return ClaimOutcome::TooOld;
  }
  auto& granted = m_granted[second];
  if (granted.contains(aId)) {
    return ClaimOutcome::Duplicate;
  }
  if (m_size >= m_capacity) {
    return ClaimOutcome::OwnerUnreachable;
  }
  granted.insert(aId);
  ++m_size;
  return ClaimOutcome::Granted;
}

void
ClaimTable::RemoveExpired(absl::Time aNow)
{
  const std::int64_t oldest =
    ToMillis(aNow - kClaimRetention) / kMillisPerSecond;
  while (!m_granted.empty() && m_granted.begin()->first < oldest) {
    m_expiredBefore = m_granted.begin()->first + 1;
    m_size -= m_granted.begin()->second.size();
    m_granted.erase(m_granted.begin());
  }
}

}
