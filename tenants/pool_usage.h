#pragma once

#include "core/resources.h"
#include "tenants/tenant_usage.h"

#include <map>
#include <string>

namespace bramleystall {

/**
 * Resources that the placed tasks of each tenant occupy in each pool of one
 * shard. Long-running tasks count in no tenant's share, since they give no
 * capacity back; their sum is kept to reduce the capacity that is shared.
 */
class PoolUsage
{
public:
  void Add(const std::string& aPool,
           const std::string& aTenant,
           bool aIsLongRunning,
           const Resources& aResources);
  void Subtract(const std::string& aPool,
                const std::string& aTenant,
                bool aIsLongRunning,
                const Resources& aResources);

  /** Usage by tenant of the tasks that end; empty for an unknown pool. */
  const TenantUsage& ByTenant(const std::string& aPool) const;
  /** Resources of the long-running tasks of all tenants. */
  Resources LongRunning(const std::string& aPool) const;

private:
  struct Entry
  {
    TenantUsage m_byTenant;
    Resources m_longRunning;
  };
  std::map<std::string, Entry> m_pools;
};

}
