#include "tenants/cap_ledger.h"

#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <limits>
#include <tuple>

namespace bramleystall {

namespace {

constexpr std::int64_t kUnlimited = std::numeric_limits<std::int64_t>::max();
/** Largest amount that can be multiplied by kCapParts. */
constexpr std::int64_t kMaxAmount = kUnlimited / kCapParts;
/** Parts that an idle shard keeps, 1% of the cap, so that its next task starts
 * without a request. Shards that cannot start a single task take precedence. */
constexpr std::int64_t kReserveParts = 100;
/** A request is renewed only if it differs by more than this share. Smaller
 * changes would cost a store write in each interval. */
constexpr std::int64_t kChangeDivisor = 10;
/** A shard that requests parts itself transfers only more than this share of
 * what it holds, for the same reason. */
constexpr std::int64_t kTransferDivisor = 20;

std::int64_t
PartsOfOne(std::int64_t aCap, std::int64_t aAmount)
{
  if (aCap <= 0 || aAmount <= 0) {
    return 0;
  }
  const std::int64_t cap = std::min(aCap, kMaxAmount);
  const std::int64_t product = std::min(aAmount, kMaxAmount) * kCapParts;
  return product / cap + (product % cap != 0 ? 1 : 0);
}

std::int64_t
LimitOfOne(std::int64_t aCap, std::int64_t aParts)
{
  return aCap <= 0 ? kUnlimited
                   : std::min(aCap, kMaxAmount) * aParts / kCapParts;
}

Resources
Sum(Resources aFirst, const Resources& aSecond)
{
  aFirst.Add(aSecond);
  return aFirst;
}

bool
DiffersMuch(std::int64_t aOld, std::int64_t aNew)
{
  return std::abs(aNew - aOld) * kChangeDivisor > aOld;
}

}

std::int64_t
CapPartsFor(const Resources& aCap, const Resources& aResources)
{
  return std::max(
    { PartsOfOne(aCap.m_cpu, aResources.m_cpu),
      PartsOfOne(aCap.m_memoryMb, aResources.m_memoryMb),
      PartsOfOne(aCap.m_accelerators, aResources.m_accelerators) });
}

CapLedger::CapLedger(int aShard, int aShardCount)
  : m_shard(aShard)
  , m_shardCount(aShardCount)
{
}

void
CapLedger::SetOwn(const std::optional<CapDocument>& aDocument)
{
  m_own = aDocument.value_or(CapDocument{});
  m_isOwnKnown = true;
}

void
CapLedger::SetOther(int aShard, const std::optional<CapDocument>& aDocument)
{
  if (aDocument) {
    m_others[aShard] = *aDocument;
  } else {
    m_others.erase(aShard);
  }
}

std::int64_t
CapLedger::InitialParts(int aShard) const
{
  if (aShard >= m_shardCount) {
    return 0;
  }
  return kCapParts / m_shardCount + (aShard < kCapParts % m_shardCount ? 1 : 0);
}

const CapShare*
CapLedger::ShareOf(int aShard, const std::string& aTenant) const
{
  const CapDocument* document = &m_own;
  if (aShard != m_shard) {
    const auto other = m_others.find(aShard);
    if (other == m_others.end()) {
      return nullptr;
    }
    document = &other->second;
  }
  const auto found = document->m_tenants.find(aTenant);
  return found == document->m_tenants.end() ? nullptr : &found->second;
}

std::int64_t
CapLedger::PartsOf(int aShard, const std::string& aTenant) const
{
  std::int64_t parts = InitialParts(aShard);
  for (int donor = 0; donor < m_shardCount; ++donor) {
    const CapShare* share = ShareOf(donor, aTenant);
    if (share == nullptr) {
      continue;
    }
    for (const auto& [recipient, count] : share->m_transferred) {
      if (recipient == donor) {
        continue;
      }
      if (donor == aShard) {
        parts -= count;
      } else if (recipient == aShard) {
        parts += count;
      }
    }
  }
  return std::max<std::int64_t>(0, parts);
}

std::int64_t
CapLedger::Parts(const std::string& aTenant) const
{
  return m_isOwnKnown ? PartsOf(m_shard, aTenant) : 0;
}

Resources
CapLedger::LimitOf(const TenantSpec& aTenant) const
{
  std::int64_t parts = Parts(aTenant.m_name);
  // What runs above the limit of another shard is taken from this one's, so
  // that no start adds to a usage that exceeds a lowered cap.
  for (const auto& [shard, document] : m_others) {
    const CapShare* share = ShareOf(shard, aTenant.m_name);
    parts -= share == nullptr ? 0 : share->m_excess;
  }
  // Documents of others may name any count; more than the whole cap would
  // overflow.
  parts = std::clamp<std::int64_t>(parts, 0, kCapParts);
  const Resources& cap = aTenant.m_cap;
  return { .m_cpu = LimitOfOne(cap.m_cpu, parts),
           .m_memoryMb = LimitOfOne(cap.m_memoryMb, parts),
           .m_accelerators = LimitOfOne(cap.m_accelerators, parts) };
}

bool
CapLedger::HasRequests() const
{
  return std::ranges::any_of(m_others, [](const auto& aOther) {
    return std::ranges::any_of(aOther.second.m_tenants, [](const auto& aEntry) {
      return aEntry.second.m_wanted > 0;
    });
  });
}

bool
CapLedger::Update(const std::vector<CapDemand>& aDemands, bool aMayTransfer)
{
  if (!m_isOwnKnown) {
    return false;
  }
  bool hasChanged = false;
  for (const CapDemand& demand : aDemands) {
    const TenantSpec& tenant = *demand.m_tenant;
    const CapShare* current = ShareOf(m_shard, tenant.m_name);
    CapShare share = current == nullptr ? CapShare{} : *current;
    Request(share, demand);
    // More than the whole cap has no further effect, and could not be decoded.
    const std::int64_t excess = std::clamp<std::int64_t>(
      CapPartsFor(tenant.m_cap, Sum(demand.m_usage, demand.m_earlierUsage)) -
        Parts(tenant.m_name),
      0,
      kCapParts);
    // Until all that runs is known, the excess may be larger.
    share.m_excess = aMayTransfer ? excess : std::max(share.m_excess, excess);
    if (aMayTransfer) {
      Transfer(share, demand);
    }
    if (share != (current == nullptr ? CapShare{} : *current)) {
      m_own.m_tenants[tenant.m_name] = std::move(share);
      hasChanged = true;
    }
  }
  return hasChanged;
}

void
CapLedger::Request(CapShare& aShare, const CapDemand& aDemand) const
{
  const Resources& cap = aDemand.m_tenant->m_cap;
  // A task that exceeds the whole cap would take parts without ever starting.
  if (!aDemand.IsWaiting() ||
      CapPartsFor(cap, aDemand.m_firstWaiting) > kCapParts) {
    aShare.m_wanted = 0;
    aShare.m_least = 0;
    aShare.m_used = 0;
    aShare.m_waitingSinceS = 0;
    return;
  }
  const std::int64_t used =
    std::min(kCapParts, CapPartsFor(cap, aDemand.m_usage));
  const std::int64_t least = std::min(
    kCapParts, CapPartsFor(cap, Sum(aDemand.m_usage, aDemand.m_firstWaiting)));
  const std::int64_t wanted =
    std::clamp(CapPartsFor(cap, Sum(aDemand.m_usage, aDemand.m_waiting)),
               least,
               kCapParts);
  if (aShare.m_wanted == 0 || DiffersMuch(aShare.m_wanted, wanted) ||
      least != aShare.m_least || used != aShare.m_used ||
      aDemand.m_waitingSinceS != aShare.m_waitingSinceS) {
    aShare.m_wanted = wanted;
    aShare.m_least = least;
    aShare.m_used = used;
    aShare.m_waitingSinceS = aDemand.m_waitingSinceS;
  }
}

void
CapLedger::Transfer(CapShare& aShare, const CapDemand& aDemand) const
{
  const TenantSpec& tenant = *aDemand.m_tenant;
  const std::int64_t parts = Parts(tenant.m_name);
  const std::int64_t used = CapPartsFor(tenant.m_cap, aDemand.m_usage);
  if (parts <= used) {
    return;
  }
  std::vector<Claim> claims;
  for (const auto& [shard, document] : m_others) {
    const CapShare* share = ShareOf(shard, tenant.m_name);
    if (share == nullptr || share->m_wanted == 0 || shard >= m_shardCount) {
      continue;
    }
    claims.push_back({ .m_shard = shard,
                       .m_parts = PartsOf(shard, tenant.m_name),
                       .m_wanted = std::min(share->m_wanted, kCapParts),
                       .m_least = std::min(share->m_least, kCapParts),
                       .m_used = std::min(share->m_used, kCapParts),
                       .m_waitingSinceS = share->m_waitingSinceS });
  }
  if (std::ranges::all_of(claims, [](const Claim& aClaim) {
        return aClaim.m_wanted <= aClaim.m_parts;
      })) {
    return;
  }
  const bool isRequesting = aShare.m_wanted > 0;
  claims.push_back(
    { .m_shard = m_shard,
      .m_parts = parts,
      .m_wanted = isRequesting ? aShare.m_wanted
                               : std::min(kCapParts,
                                          CapPartsFor(tenant.m_cap,
                                                      aDemand.m_recentUsage) +
                                            kReserveParts),
      .m_least = aShare.m_least,
      .m_used = aShare.m_used,
      .m_waitingSinceS = aShare.m_waitingSinceS });
  Divide(claims);
  const Claim own = claims.back();
  claims.pop_back();
  std::int64_t spare = parts - std::max(own.m_target, used);
  const bool isLarge =
    isRequesting ? spare * kTransferDivisor > parts : spare >= kReserveParts;
  const bool isWorthIt =
    isLarge || std::ranges::any_of(claims, &Claim::IsStarved);
  if (spare <= 0 || !isWorthIt) {
    return;
  }
  // Those that cannot start a single task come first.
  std::ranges::stable_sort(claims, std::ranges::greater{}, &Claim::IsStarved);
  for (const Claim& claim : claims) {
    const std::int64_t given = std::min(spare, claim.Deficit());
    if (given > 0) {
      aShare.m_transferred[claim.m_shard] += given;
      spare -= given;
    }
  }
}

void
CapLedger::Divide(std::vector<Claim>& aClaims)
{
  std::int64_t pool = 0;
  std::vector<Claim*> order;
  for (Claim& claim : aClaims) {
    pool += claim.m_parts;
    order.push_back(&claim);
  }
  // What the usage and one more task need, smallest first, so that as many
  // shards as possible can start one. Shards that request nothing may hold more
  // than is known here.
  std::ranges::sort(order, {}, [](const Claim* aClaim) {
    return std::tuple(
      aClaim->m_least, aClaim->m_waitingSinceS, aClaim->m_shard);
  });
  std::int64_t left = kCapParts;
  for (Claim* claim : order) {
    claim->m_target =
      claim->m_least <= left ? claim->m_least : std::min(claim->m_used, left);
    left -= claim->m_target;
  }
  std::int64_t wanted = 0;
  for (const Claim* claim : order) {
    wanted += claim->m_wanted;
  }
  const bool isScarce = pool < wanted;
  Spread(order, std::min(pool, wanted));
  // A claim that requests nothing is one of several donors: each adds a part of
  // what makes up a task.
  if (isScarce && std::ranges::all_of(order, [](const Claim* aClaim) {
        return aClaim->m_least > 0;
      })) {
    RoundToTasks(order);
  }
}

void
CapLedger::Spread(const std::vector<Claim*>& aClaims, std::int64_t aPool)
{
  // Claims whose target so far exceeds their proportion keep it, which leaves
  // less for the others.
  std::vector<Claim*> open = aClaims;
  std::int64_t pool = aPool;
  std::int64_t wanted = 0;
  const auto proportion = [&pool, &wanted](const Claim* aClaim) {
    return wanted > 0
             ? std::max<std::int64_t>(0, pool) * aClaim->m_wanted / wanted
             : 0;
  };
  for (std::size_t before = open.size() + 1; open.size() < before;) {
    before = open.size();
    wanted = 0;
    for (const Claim* claim : open) {
      wanted += claim->m_wanted;
    }
    std::int64_t kept = 0;
    std::erase_if(open, [&](const Claim* aClaim) {
      const bool isAbove = aClaim->m_target > proportion(aClaim);
      kept += isAbove ? aClaim->m_target : 0;
      return isAbove;
    });
    pool -= kept;
  }
  for (Claim* claim : open) {
    claim->m_target = proportion(claim);
  }
}

void
CapLedger::RoundToTasks(const std::vector<Claim*>& aClaims)
{
  std::int64_t left = 0;
  for (Claim* claim : aClaims) {
    const std::int64_t fraction =
      std::max<std::int64_t>(0, claim->m_target - claim->m_used) %
      claim->Task();
    claim->m_target -= fraction;
    left += fraction;
  }
  std::int64_t lacking = 0;
  for (Claim* claim : aClaims) {
    if (claim->Task() <= left &&
        claim->m_target + claim->Task() <= claim->m_wanted) {
      claim->m_target += claim->Task();
      left -= claim->Task();
    }
    lacking += std::max<std::int64_t>(0, claim->m_wanted - claim->m_target);
  }
  for (Claim* claim : aClaims) {
    const std::int64_t lack =
      std::max<std::int64_t>(0, claim->m_wanted - claim->m_target);
    claim->m_target += lack > 0 ? left * lack / lacking : 0;
  }
}

}
