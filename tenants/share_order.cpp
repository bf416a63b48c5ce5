#include "tenants/share_order.h"

#include <limits>

namespace bramleystall {

namespace {

constexpr std::size_t kNone = std::numeric_limits<std::size_t>::max();

}

ShareOrder::ShareOrder(const TenantShares& aShares,
                       std::span<const std::size_t> aTenants)
  : m_shares(aShares)
  , m_following(aTenants.size(), kNone)
  , m_first(aShares.Size(), kNone)
{
  for (std::size_t i = aTenants.size(); i-- > 0;) {
    m_following[i] = m_first[aTenants[i]];
    m_first[aTenants[i]] = i;
  }
  for (std::size_t tenant = 0; tenant < m_first.size(); ++tenant) {
    Push(tenant);
  }
}

std::optional<std::size_t>
ShareOrder::Next()
{
  if (m_visited) {
    Push(*m_visited);
    m_visited.reset();
  }
  if (m_queue.empty()) {
    return {};
  }
  const auto [standing, usage, job, tenant] = m_queue.top();
  m_queue.pop();
  m_first[tenant] = m_following[job];
  m_visited = tenant;
  return job;
}

void
ShareOrder::Push(std::size_t aTenant)
{
  if (m_first[aTenant] == kNone) {
    return;
  }
  const ShareStanding standing = m_shares.Standing(aTenant);
  const double usage =
    standing == ShareStanding::Above ? m_shares.RelativeUsage(aTenant) : 0;
  m_queue.emplace(standing, usage, m_first[aTenant], aTenant);
}

}
