#pragma once

#include "core/resources.h"
#include "tenants/cap_document.h"
#include "tenants/tenant_spec.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bramleystall {

/** Parts of a cap that aResources take, rounded up; more than kCapParts if they
 * exceed the cap. */
std::int64_t
CapPartsFor(const Resources& aCap, const Resources& aResources);

/** What a tenant with a cap has and needs in one shard. */
struct CapDemand
{
  const TenantSpec* m_tenant = nullptr;
  /** Resources of all tasks that run or may run; their parts stay. */
  Resources m_usage;
  /** What tasks of earlier owners may use beside m_usage, so far as it counts
   * as excess. */
  Resources m_earlierUsage;
  /** Like m_usage, but the peak of the last moments: kept while the requests
   * of others can be met without it. */
  Resources m_recentUsage;
  /** Resources of the tasks that wait only for the cap. */
  Resources m_waiting;
  /** Resources of the first of these tasks, or of its gang. */
  Resources m_firstWaiting;
  /** See CapShare::m_waitingSinceS. */
  std::int64_t m_waitingSinceS = 0;

  bool IsWaiting() const
  {
    return m_firstWaiting.m_cpu > 0 || m_firstWaiting.m_memoryMb > 0 ||
           m_firstWaiting.m_accelerators > 0;
  }
};

/**
 * The parts of all tenants' caps that one shard holds: a bounded counter.
 *
 * A shard holds its initial allocation, plus what the documents of other shards
 * say that they have transferred to it, minus what its own document says that
 * it has transferred. Update lowers the shard's limits before its document is
 * stored, and a recipient counts a transfer when it reads the stored document,
 * so no part counts twice, however old the known documents are.
 */
class CapLedger
{
public:
  CapLedger(int aShard, int aShardCount);

  /** Sets the shard's own document as it was read after this owner had obtained
   * the ownership; unset if there was none. */
  void SetOwn(const std::optional<CapDocument>& aDocument);
  /** False until SetOwn; all limits are 0 then. */
  bool IsOwnKnown() const { return m_isOwnKnown; }
  const CapDocument& Own() const { return m_own; }

  /** Sets the document of another shard; unset if there is none or it is
   * malformed. */
  void SetOther(int aShard, const std::optional<CapDocument>& aDocument);

  /** Parts that this shard holds. */
  std::int64_t Parts(const std::string& aTenant) const;

  /** The most that the tenant may have running in this shard. Resources without
   * a limit are the largest value. */
  Resources LimitOf(const TenantSpec& aTenant) const;

  /** Whether another shard requests parts of a tenant. */
  bool HasRequests() const;

  /**
   * Renews the requests and, if aMayTransfer, transfers parts to the shards
   * that request them. aMayTransfer requires that each m_usage counts all that
   * runs. Returns whether the own document has changed.
   */
  bool Update(const std::vector<CapDemand>& aDemands, bool aMayTransfer);

private:
  /** A shard that takes part in the division of a tenant's parts. */
  struct Claim
  {
    int m_shard = 0;
    std::int64_t m_parts = 0;
    std::int64_t m_wanted = 0;
    std::int64_t m_least = 0;
    std::int64_t m_used = 0;
    std::int64_t m_waitingSinceS = 0;
    std::int64_t m_target = 0;

    std::int64_t Deficit() const
    {
      return m_target > m_parts ? m_target - m_parts : 0;
    }
    /** Parts of one task. */
    std::int64_t Task() const
    {
      return m_least > m_used ? m_least - m_used : 1;
    }
    /** Has not enough parts for one more task, and is to get them. */
    bool IsStarved() const { return m_parts < m_least && m_target >= m_least; }
  };

  std::int64_t InitialParts(int aShard) const;
  /** Parts of any shard as far as the known documents tell. */
  std::int64_t PartsOf(int aShard, const std::string& aTenant) const;
  const CapShare* ShareOf(int aShard, const std::string& aTenant) const;
  void Request(CapShare& aShare, const CapDemand& aDemand) const;
  void Transfer(CapShare& aShare, const CapDemand& aDemand) const;
  /** Sets the targets of all claims. */
  static void Divide(std::vector<Claim>& aClaims);
  /** Divides aPool in proportion to what the claims want; none gets less than
   * its target so far, or more than it wants. */
  static void Spread(const std::vector<Claim*>& aClaims, std::int64_t aPool);
  /** Lets what the targets of scarce parts add to the usage be multiples of
   * what one task needs: fractions of tasks in several shards would stay
   * unused. What is left is divided in proportion to what each lacks. */
  static void RoundToTasks(const std::vector<Claim*>& aClaims);

  int m_shard;
  int m_shardCount;
  bool m_isOwnKnown = false;
  CapDocument m_own;
  std::map<int, CapDocument> m_others;
};

}
