#include "scheduler/cap_shares.h"

#include "core/log.h"
#include "core/metrics.h"
#include "jobs/job_configuration.h"
#include "net/event_loop.h"
#include "tenants/tenant_label.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <limits>
#include <optional>
#include <set>
#include <utility>

namespace bramleystall {

namespace {

/** A shard's document changes at most once in this time, so that N shards cost
 * the store at most 5 N writes a second. */
constexpr absl::Duration kUpdateInterval = absl::Milliseconds(200);
/** Changes of the documents within this time share one read of each watcher. */
constexpr absl::Duration kWatchDelay = absl::Milliseconds(50);
/** A request is withdrawn once no task has waited for this time; a shorter one
 * would withdraw and repeat it between two tasks. */
constexpr absl::Duration kWaitingTime = absl::Seconds(1);
/** Share of an earlier usage that still counts as recent one update later: half
 * of it after some 0.5 s, so that parts stay for the tasks that follow. */
constexpr double kUsageDecay = 0.75;
/** An earlier usage no longer counts after this time. */
constexpr absl::Duration kUsageAge = absl::Seconds(1);
/** Time between two log lines about a tenant that waits. */
constexpr absl::Duration kLogInterval = absl::Seconds(10);

std::int64_t
Decay(std::int64_t aRecent, std::int64_t aNow)
{
  return std::max(
    aNow,
    static_cast<std::int64_t>(static_cast<double>(aRecent) * kUsageDecay));
}

/** Whether a cap is lower than an earlier one for some resource. */
bool
IsLower(const Resources& aCap, const Resources& aEarlier)
{
  const auto isLower = [](std::int64_t aNew, std::int64_t aOld) {
    return aNew > 0 && (aOld <= 0 || aNew < aOld);
  };
  return isLower(aCap.m_cpu, aEarlier.m_cpu) ||
         isLower(aCap.m_memoryMb, aEarlier.m_memoryMb) ||
         isLower(aCap.m_accelerators, aEarlier.m_accelerators);
}

}

CapShares::CapShares(Environment aEnvironment,
                     const keys::ShardKeys& aKeys,
                     int aShardCount)
  : m_env(std::move(aEnvironment))
  , m_keys(aKeys)
  , m_shardCount(aShardCount)
  , m_ledger(aKeys.Shard(), aShardCount)
{
  if (m_shardCount == 1) {
    m_ledger.SetOwn({});
  }
  OnConfigurationChanged();
  for (auto& [name, tenant] : m_tenants) {
    tenant.m_isLowered = false;
  }
}

CapShares::~CapShares()
{
  *m_alive = false;
}

void
CapShares::OnConfigurationChanged()
{
  const std::optional<TenantDirectory>& directory =
    m_env.m_configuration().m_tenants;
  if (!directory || !directory->HasCaps()) {
    m_tenants.clear();
    m_mirror.reset();
    m_isSynchronized = false;
    return;
  }
  std::set<std::string> limited;
  for (const TenantSpec& spec : directory->Tenants()) {
    if (!spec.HasCap()) {
      continue;
    }
    limited.insert(spec.m_name);
    Tenant& tenant = m_tenants[spec.m_name];
    tenant.m_isLowered |= IsLower(spec.m_cap, tenant.m_spec.m_cap);
    tenant.m_spec.m_name = spec.m_name;
    tenant.m_spec.m_cap = spec.m_cap;
    tenant.m_label = TenantLabel(*directory, spec.m_name);
  }
  std::erase_if(m_tenants, [&limited](const auto& aEntry) {
    return !limited.contains(aEntry.first);
  });
  RefreshLimits();
  if (m_shardCount == 1) {
    return;
  }
  if (!m_mirror) {
    m_mirror = std::make_unique<StoreMirror>(
      m_env.m_loop,
      m_env.m_store,
      keys::kCapSharesPrefix,
      [this](const StoreItem& aItem) { OnItem(aItem); },
      [this](bool aIsSynchronized) {
        if (aIsSynchronized) {
          OnSynchronized();
        }
      },
      kWatchDelay);
  }
  // A lower cap may leave a tenant above its limit here.
  RequestUpdate();
}

void
CapShares::OnItem(const StoreItem& aItem)
{
  int shard = -1;
  const std::string number =
    aItem.m_key.substr(std::string(keys::kCapSharesPrefix).size());
  if (!absl::SimpleAtoi(number, &shard) || shard < 0 || shard >= m_shardCount) {
    LogWarning(LogPart::Owner,
               absl::StrCat("ignored a cap document of no shard; key=",
                            aItem.m_key,
                            " shards=",
                            m_shardCount));
    return;
  }
  if (shard == m_keys.Shard()) {
    OnOwnItem(aItem);
    return;
  }
  std::optional<CapDocument> document;
  if (!aItem.m_isRemoved) {
    document = DecodeCapDocument(aItem.m_value);
    if (!document) {
      LogError(LogPart::Owner,
               absl::StrCat("cannot decode the cap document of a shard; "
                            "counting no parts from it; key=",
                            aItem.m_key,
                            " revision=",
                            aItem.m_revision));
    }
  }
  m_ledger.SetOther(shard, document);
  RefreshLimits();
  RequestUpdate();
}

void
CapShares::OnOwnItem(const StoreItem& aItem)
{
  if (m_ledger.IsOwnKnown()) {
    // A write of this owner.
    return;
  }
  if (aItem.m_isRemoved) {
    // What the document said that the shard had transferred stays unknown.
    m_isOwnMalformed = true;
    return;
  }
  m_env.m_setRevision(aItem.m_key, aItem.m_revision);
  const std::optional<CapDocument> document = DecodeCapDocument(aItem.m_value);
  m_isOwnMalformed = !document;
  if (!document) {
    LogError(LogPart::Owner,
             absl::StrCat("cannot decode the own cap document; no task of a "
                          "tenant with a cap starts in this shard until it is "
                          "restored; key=",
                          aItem.m_key,
                          " revision=",
                          aItem.m_revision));
    return;
  }
  m_ledger.SetOwn(document);
  RefreshLimits();
  RequestUpdate();
}

void
CapShares::OnSynchronized()
{
  m_isSynchronized = true;
  if (!m_ledger.IsOwnKnown() && !m_isOwnMalformed) {
    m_ledger.SetOwn({});
  }
  RefreshLimits();
  RequestUpdate();
}

void
CapShares::RefreshLimits()
{
  bool hasRaised = false;
  for (auto& [name, tenant] : m_tenants) {
    // Before all documents have been read, it is unknown what runs above the
    // limits of other shards.
    const Resources limit = m_shardCount == 1 || m_isSynchronized
                              ? m_ledger.LimitOf(tenant.m_spec)
                              : Resources{};
    hasRaised |= !tenant.m_limit.Fits(limit);
    tenant.m_limit = limit;
    if (m_shardCount > 1) {
      m_env.m_metrics.SetGauge("bramleystall_cap_parts",
                               { { "shard", std::to_string(m_keys.Shard()) },
                                 { "tenant", tenant.m_label } },
                               static_cast<double>(m_ledger.Parts(name)));
    }
  }
  if (hasRaised) {
    m_env.m_onRaised();
  }
}

bool
CapShares::Fits(const std::string& aTenant,
                const Resources& aUsage,
                const Resources& aNeed)
{
  const auto found = m_tenants.find(aTenant);
  if (found == m_tenants.end()) {
    return true;
  }
  Tenant& tenant = found->second;
  // A task that needs nothing of an exhausted resource does not add to it.
  const auto fits =
    [](std::int64_t aUsed, std::int64_t aNeeded, std::int64_t aLimit) {
      return aNeeded <= 0 || aUsed <= aLimit - aNeeded;
    };
  const Resources& limit = tenant.m_limit;
  if (!fits(aUsage.m_cpu, aNeed.m_cpu, limit.m_cpu) ||
      !fits(aUsage.m_memoryMb, aNeed.m_memoryMb, limit.m_memoryMb) ||
      !fits(
        aUsage.m_accelerators, aNeed.m_accelerators, limit.m_accelerators)) {
    return false;
  }
  if (tenant.m_waitingSinceS > 0) {
    tenant.m_waitingSinceS = absl::ToUnixSeconds(absl::Now());
  }
  return true;
}

void
CapShares::AddWaiting(const std::string& aTenant,
                      const Resources& aUsage,
                      const Resources& aNeed,
                      const Resources& aWaiting)
{
  const auto found = m_tenants.find(aTenant);
  if (found == m_tenants.end()) {
    return;
  }
  Tenant& tenant = found->second;
  LogWaiting(tenant, aUsage, aNeed);
  // The cap was lowered since the job's submission: no parts let it start.
  if (CapPartsFor(tenant.m_spec.m_cap, aNeed) > kCapParts) {
    return;
  }
  if (tenant.m_placement != m_placement) {
    tenant.m_placement = m_placement;
    tenant.m_waiting = {};
    tenant.m_firstWaiting = aNeed;
  }
  tenant.m_waiting.Add(aWaiting);
  tenant.m_lastWaitingAt = m_env.m_loop.Now();
  if (tenant.m_waitingSinceS == 0) {
    tenant.m_waitingSinceS = absl::ToUnixSeconds(absl::Now());
    m_env.m_metrics.Count("bramleystall_cap_waits_total",
                          { { "tenant", tenant.m_label } });
  }
  RequestUpdate();
}

void
CapShares::LogWaiting(Tenant& aTenant,
                      const Resources& aUsage,
                      const Resources& aNeed)
{
  ++aTenant.m_unloggedWaits;
  if (m_env.m_loop.Now() < aTenant.m_loggedAt + kLogInterval) {
    return;
  }
  aTenant.m_loggedAt = m_env.m_loop.Now();
  LogInfo(LogPart::Jobs,
          absl::StrCat("tenant waits for its cap; tenant=",
                       aTenant.m_spec.m_name,
                       " shard=",
                       m_keys.Shard(),
                       " parts=",
                       m_ledger.Parts(aTenant.m_spec.m_name),
                       " used_cpu=",
                       aUsage.m_cpu,
                       " used_mem_mb=",
                       aUsage.m_memoryMb,
                       " used_gpu=",
                       aUsage.m_accelerators,
                       " needed_cpu=",
                       aNeed.m_cpu,
                       " needed_mem_mb=",
                       aNeed.m_memoryMb,
                       " needed_gpu=",
                       aNeed.m_accelerators,
                       " cap_cpu=",
                       aTenant.m_spec.m_cap.m_cpu,
                       " cap_mem_mb=",
                       aTenant.m_spec.m_cap.m_memoryMb,
                       " cap_gpu=",
                       aTenant.m_spec.m_cap.m_accelerators,
                       " waits=",
                       std::exchange(aTenant.m_unloggedWaits, 0)));
}

bool
CapShares::IsWaiting(const Tenant& aTenant) const
{
  return aTenant.m_waitingSinceS > 0 &&
         (aTenant.m_placement == m_placement ||
          m_env.m_loop.Now() < aTenant.m_lastWaitingAt + kWaitingTime);
}

void
CapShares::RequestUpdate()
{
  if (m_isUpdateDue || m_tenants.empty()) {
    return;
  }
  m_isUpdateDue = true;
  const absl::Duration delay = std::max(
    absl::ZeroDuration(), m_updatedAt + kUpdateInterval - m_env.m_loop.Now());
  m_env.m_loop.After(delay, [this, alive = m_alive] {
    if (*alive) {
      m_isUpdateDue = false;
      Update();
    }
  });
}

CapDemand
CapShares::MeasureDemand(Tenant& aTenant) const
{
  const absl::Time now = m_env.m_loop.Now();
  const Resources usage = m_env.m_usage(aTenant.m_spec.m_name);
  Resources& recent = aTenant.m_recentUsage;
  if (now > aTenant.m_usageAt + kUsageAge) {
    recent = usage;
  }
  recent = { .m_cpu = Decay(recent.m_cpu, usage.m_cpu),
             .m_memoryMb = Decay(recent.m_memoryMb, usage.m_memoryMb),
             .m_accelerators =
               Decay(recent.m_accelerators, usage.m_accelerators) };
  aTenant.m_usageAt = now;
  if (!IsWaiting(aTenant)) {
    aTenant.m_waitingSinceS = 0;
    aTenant.m_waiting = {};
    aTenant.m_firstWaiting = {};
  }
  return { .m_tenant = &aTenant.m_spec,
           .m_usage = usage,
           .m_recentUsage = recent,
           .m_waiting = aTenant.m_waiting,
           .m_firstWaiting = aTenant.m_firstWaiting,
           .m_waitingSinceS = aTenant.m_waitingSinceS };
}

void
CapShares::Update()
{
  m_updatedAt = m_env.m_loop.Now();
  std::vector<CapDemand> demands;
  for (auto& [name, tenant] : m_tenants) {
    demands.push_back(MeasureDemand(tenant));
  }
  const bool isWaiting = std::ranges::any_of(demands, &CapDemand::IsWaiting);
  if (m_shardCount == 1) {
    if (isWaiting) {
      RequestUpdate();
    }
    return;
  }
  if (!m_isSynchronized || !m_ledger.IsOwnKnown()) {
    return;
  }
  const bool knowsAllRuns = m_env.m_knowsAllRuns();
  const bool isExcessUnknown = !knowsAllRuns && AddEarlierUsage(demands);
  const CapDocument before = m_ledger.Own();
  if (m_ledger.Update(demands, knowsAllRuns)) {
    m_env.m_put(m_keys.CapShares(), EncodeCapDocument(m_ledger.Own()));
    RefreshLimits();
    CountTransfers(before);
  }
  const bool isExcessive =
    std::ranges::any_of(m_ledger.Own().m_tenants, [](const auto& aEntry) {
      return aEntry.second.m_excess > 0;
    });
  if (isWaiting || isExcessive || isExcessUnknown || m_ledger.HasRequests()) {
    RequestUpdate();
  }
}

bool
CapShares::AddEarlierUsage(std::vector<CapDemand>& aDemands) const
{
  const auto isLowered = [this](const CapDemand& aDemand) {
    return m_tenants.at(aDemand.m_tenant->m_name).m_isLowered;
  };
  if (std::ranges::none_of(aDemands, isLowered)) {
    return false;
  }
  const TenantUsage usage = m_env.m_earlierUsage();
  for (CapDemand& demand : aDemands) {
    if (isLowered(demand)) {
      demand.m_earlierUsage = usage.Of(demand.m_tenant->m_name);
    }
  }
  return true;
}

void
CapShares::CountTransfers(const CapDocument& aBefore)
{
  const auto transferred = [](const CapDocument& aDocument,
                              const std::string& aTenant) {
    std::int64_t parts = 0;
    const auto found = aDocument.m_tenants.find(aTenant);
    if (found != aDocument.m_tenants.end()) {
      for (const auto& [shard, count] : found->second.m_transferred) {
        parts += count;
      }
    }
    return parts;
  };
  for (const auto& [name, tenant] : m_tenants) {
    const std::int64_t parts =
      transferred(m_ledger.Own(), name) - transferred(aBefore, name);
    if (parts > 0) {
      m_env.m_metrics.Count("bramleystall_cap_parts_transferred_total",
                            { { "tenant", tenant.m_label } },
                            static_cast<std::uint64_t>(parts));
    }
  }
}

}
