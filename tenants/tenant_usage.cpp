#include "tenants/tenant_usage.h"

#include <algorithm>
#include <iterator>

namespace bramleystall {

void
TenantUsage::Add(const std::string& aTenant, const Resources& aResources)
{
  Entry& entry = m_entries[aTenant];
  entry.m_resources.Add(aResources);
  ++entry.m_tasks;
}

void
TenantUsage::Subtract(const std::string& aTenant, const Resources& aResources)
{
  const auto found = m_entries.find(aTenant);
  if (found == m_entries.end()) {
    return;
  }
  found->second.m_resources.Subtract(aResources);
  if (--found->second.m_tasks == 0) {
    m_entries.erase(found);
  }
}

Resources
TenantUsage::Of(const std::string& aTenant) const
{
  const auto found = m_entries.find(aTenant);
  return found == m_entries.end() ? Resources{} : found->second.m_resources;
}

std::vector<std::string>
TenantUsage::Tenants() const
{
  std::vector<std::string> names;
  std::ranges::transform(m_entries,
                         std::back_inserter(names),
                         [](const auto& aEntry) { return aEntry.first; });
  return names;
}

}
