#pragma once

#include "core/resources.h"

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace bramleystall {

class TenantDirectory;

/** How a tenant stands to its fair share; better standings go first. */
enum class ShareStanding
{
  Within,
  /** The tenant has reached its share. */
  Above,
  /** The tenant has no share: its weight is 0, or the configuration does not
   * have it. */
  NoShare,
};

/**
 * Fair shares and usage of the tenants that have placed or waiting work in one
 * pool of a shard. Jobs without a tenant are one tenant of the empty name,
 * whose weight is the mean of the others that have a share.
 */
class TenantShares
{
public:
  /** aCapacity is what the tasks that end may occupy in the pool. */
  TenantShares(const TenantDirectory& aDirectory, const Resources& aCapacity);

  /** Adds a tenant unless it is there; returns its index. All tenants have to
   * be added before the first call of the members below. */
  std::size_t Add(const std::string& aTenant);
  void SetUsed(std::size_t aIndex, const Resources& aUsed);

  std::size_t Size() const { return m_tenants.size(); }
  const std::string& Name(std::size_t aIndex) const;
  /** Weight as a share of the sum of all weights, 0 to 1. */
  double FairShare(std::size_t aIndex) const;
  /** Largest share of the capacity that the tenant occupies of any resource. */
  double Usage(std::size_t aIndex) const { return m_tenants[aIndex].m_usage; }
  /** Usage divided by fair share; 0 if the tenant has no share. */
  double RelativeUsage(std::size_t aIndex) const;
  ShareStanding Standing(std::size_t aIndex) const;

private:
  struct Tenant
  {
    std::string m_name;
    /** Weight of the configuration; 0 for the empty and for unknown names. */
    double m_weight = 0;
    double m_usage = 0;
  };
  double WeightOf(const Tenant& aTenant) const;

  const TenantDirectory& m_directory;
  Resources m_capacity;
  std::vector<Tenant> m_tenants;
  std::unordered_map<std::string, std::size_t> m_indices;
  double m_weightSum = 0;
  /** Number of tenants with a weight above 0. */
  int m_weighted = 0;
  bool m_hasNameless = false;
};

}
