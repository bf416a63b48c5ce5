#pragma once

#include "tenants/tenant_shares.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <queue>
#include <span>
#include <tuple>
#include <vector>

namespace bramleystall {

/**
 * The order in which the jobs of one pool, priority and tier are visited:
 * tenants within their fair share first, then those above it by their usage
 * relative to it, then those without a share. The given rank decides inside
 * the first and the last group, and among the jobs of one tenant.
 *
 * A visit changes the usage of the visited job's tenant at most, so each step
 * costs O(log tenants).
 */
class ShareOrder
{
public:
  /**
   * aTenants holds the tenant's index in aShares for each job, in the order of
   * the jobs' ranks. aShares outlives the order, and is updated by the caller
   * after each visit.
   */
  ShareOrder(const TenantShares& aShares,
             std::span<const std::size_t> aTenants);

  /** Position of the next job in aTenants; unset after the last one. */
  std::optional<std::size_t> Next();

private:
  /** Standing, usage relative to the share if it counts, position of the
   * tenant's first job that was not visited, tenant. */
  using Key = std::tuple<ShareStanding, double, std::size_t, std::size_t>;

  /** Puts a tenant into the queue unless all its jobs were visited. */
  void Push(std::size_t aTenant);

  const TenantShares& m_shares;
  /** For each job the next one of its tenant, and for each tenant its first. */
  std::vector<std::size_t> m_following;
  std::vector<std::size_t> m_first;
  std::priority_queue<Key, std::vector<Key>, std::greater<>> m_queue;
  /** Tenant of the latest visit; pushed once its usage is up to date. */
  std::optional<std::size_t> m_visited;
};

}
