#include "fleet/capacity_budget.h"

#include <algorithm>

namespace bramleystall {

CapacityBudget::CapacityBudget(int aConfiguredVms,
                               int aPromised,
                               double aWeight)
  : m_configuredVms(aConfiguredVms)
  , m_promised(aPromised)
  , m_weight(aWeight)
{
}

int
CapacityBudget::Margin() const
{
  int margin = 0;
  for (const auto& [domain, count] : m_readyByDomain) {
    margin = std::max(margin, count);
  }
  return margin;
}

int
CapacityBudget::ReadyIn(const std::string& aDomain) const
{
  const auto found = m_readyByDomain.find(aDomain);
  return found == m_readyByDomain.end() ? 0 : found->second;
}

int
CapacityBudget::PlacedIn(const std::string& aDomain) const
{
  const auto found = m_placedByDomain.find(aDomain);
  return found == m_placedByDomain.end() ? 0 : found->second;
}

bool
CapacityBudget::RaisesMargin(const std::string& aDomain) const
{
  const int after = PlacedIn(aDomain) + 1;
  return after > 1 &&
         std::ranges::all_of(m_placedByDomain, [after](const auto& aEntry) {
           return aEntry.second < after;
         });
}

void
CapacityBudget::AddPlaced(const std::string& aDomain, int aCount)
{
  m_placedByDomain[aDomain] += aCount;
}

bool
CapacityBudget::CanRelease(const std::string& aDomain) const
{
  int margin = 0;
  for (const auto& [domain, count] : m_readyByDomain) {
    margin = std::max(margin, domain == aDomain ? count - 1 : count);
  }
  return m_ready - 1 - margin >= m_promised;
}

void
CapacityBudget::AddReady(const std::string& aDomain, int aCount)
{
  m_ready += aCount;
  m_readyByDomain[aDomain] += aCount;
}

}
