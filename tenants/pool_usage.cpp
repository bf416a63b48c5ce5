#include "tenants/pool_usage.h"

namespace bramleystall {

void
PoolUsage::Add(const std::string& aPool,
               const std::string& aTenant,
               bool aIsLongRunning,
               const Resources& aResources)
{
  Entry& entry = m_pools[aPool];
  if (aIsLongRunning) {
    entry.m_longRunning.Add(aResources);
  } else {
    entry.m_byTenant.Add(aTenant, aResources);
  }
}

void
PoolUsage::Subtract(const std::string& aPool,
                    const std::string& aTenant,
                    bool aIsLongRunning,
                    const Resources& aResources)
{
  const auto found = m_pools.find(aPool);
  if (found == m_pools.end()) {
    return;
  }
  if (aIsLongRunning) {
    found->second.m_longRunning.Subtract(aResources);
  } else {
    found->second.m_byTenant.Subtract(aTenant, aResources);
  }
}

const TenantUsage&
PoolUsage::ByTenant(const std::string& aPool) const
{
  static const TenantUsage kNone;
  const auto found = m_pools.find(aPool);
  return found == m_pools.end() ? kNone : found->second.m_byTenant;
}

Resources
PoolUsage::LongRunning(const std::string& aPool) const
{
  const auto found = m_pools.find(aPool);
  return found == m_pools.end() ? Resources{} : found->second.m_longRunning;
}

}
