#include "tenants/tenant_shares.h"

#include "tenants/tenant_directory.h"

#include <algorithm>
#include <cstdint>

namespace bramleystall {

namespace {

/** Weight of jobs without a tenant when no other tenant has a share; any
 * positive value gives them the whole pool. */
constexpr double kWeightWithoutOthers = 1;

/** A resource that the pool lacks counts as full once some of it is used. */
double
PartOf(std::int64_t aUsed, std::int64_t aCapacity)
{
  if (aUsed <= 0) {
    return 0;
  }
  return aCapacity > 0
           ? static_cast<double>(aUsed) / static_cast<double>(aCapacity)
           : 1;
}

}

TenantShares::TenantShares(const TenantDirectory& aDirectory,
                           const Resources& aCapacity)
  : m_directory(aDirectory)
  , m_capacity(aCapacity)
{
}

std::size_t
TenantShares::Add(const std::string& aTenant)
{
  const auto [entry, isNew] = m_indices.try_emplace(aTenant, m_tenants.size());
  if (!isNew) {
    return entry->second;
  }
  const TenantSpec* spec =
    aTenant.empty() ? nullptr : m_directory.FindByName(aTenant);
  const double weight = spec == nullptr ? 0 : spec->m_weight;
  m_tenants.push_back({ .m_name = aTenant, .m_weight = weight });
  m_weightSum += weight;
  m_weighted += weight > 0 ? 1 : 0;
  m_hasNameless |= aTenant.empty();
  return entry->second;
}

void
TenantShares::SetUsed(std::size_t aIndex, const Resources& aUsed)
{
  m_tenants[aIndex].m_usage =
    std::max({ PartOf(aUsed.m_cpu, m_capacity.m_cpu),
               PartOf(aUsed.m_memoryMb, m_capacity.m_memoryMb),
               PartOf(aUsed.m_accelerators, m_capacity.m_accelerators) });
}

const std::string&
TenantShares::Name(std::size_t aIndex) const
{
  return m_tenants[aIndex].m_name;
}

double
TenantShares::WeightOf(const Tenant& aTenant) const
{
  if (!aTenant.m_name.empty()) {
    return aTenant.m_weight;
  }
  return m_weighted > 0 ? m_weightSum / m_weighted : kWeightWithoutOthers;
}

double
TenantShares::FairShare(std::size_t aIndex) const
{
  const Tenant& tenant = m_tenants[aIndex];
  const double weight = WeightOf(tenant);
  if (weight <= 0) {
    return 0;
  }
  return weight / (m_weightSum + (m_hasNameless ? WeightOf({}) : 0));
}

double
TenantShares::RelativeUsage(std::size_t aIndex) const
{
  const double share = FairShare(aIndex);
  return share > 0 ? Usage(aIndex) / share : 0;
}

ShareStanding
TenantShares::Standing(std::size_t aIndex) const
{
  const double share = FairShare(aIndex);
  if (share <= 0) {
    return ShareStanding::NoShare;
  }
  return Usage(aIndex) < share ? ShareStanding::Within : ShareStanding::Above;
}

}
