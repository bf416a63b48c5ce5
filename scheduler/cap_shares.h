#pragma once

#include "core/resources.h"
#include "scheduler/job_keys.h"
#include "store/store_mirror.h"
#include "tenants/cap_ledger.h"
#include "tenants/tenant_spec.h"
#include "tenants/tenant_usage.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace bramleystall {

class EventLoop;
class KeyValueStore;
class Metrics;
struct JobConfiguration;

/**
 * The limits of tenants in one shard: its parts of the tenants' caps. Exchanges
 * parts with the other shards through the store; see CapLedger. It reads,
 * watches and writes nothing unless some tenant has a cap and there are other
 * shards, and writes only if a tenant's tasks wait for its cap somewhere.
 */
class CapShares
{
public:
  /** Dependencies; all outlive this object. */
  struct Environment
  {
    EventLoop& m_loop;
    KeyValueStore& m_store;
    Metrics& m_metrics;
    /** The configuration in effect. */
    std::function<const JobConfiguration&()> m_configuration;
    /** Resources of all known tasks of a tenant that run or may run. */
    std::function<Resources(const std::string& aTenant)> m_usage;
    /** Resources of tasks of previous owners that may run and that m_usage
     * lacks. */
    std::function<TenantUsage()> m_earlierUsage;
    /** Whether no task of a previous owner may run that m_usage lacks. */
    std::function<bool()> m_knowsAllRuns;
    /** Sets the revision of the own document for later writes. */
    std::function<void(const std::string& aKey, std::int64_t aRevision)>
      m_setRevision;
    /** Writes the own document under the owner's fencing token. */
    std::function<void(const std::string& aKey, std::string aValue)> m_put;
    /** A limit has been raised, so that waiting tasks may start. */
    std::function<void()> m_onRaised;
  };

  CapShares(Environment aEnvironment,
            const keys::ShardKeys& aKeys,
            int aShardCount);
  ~CapShares();
  CapShares(const CapShares&) = delete;
  CapShares& operator=(const CapShares&) = delete;

  void OnConfigurationChanged();

  /** Whether some tenant has a cap. */
  bool HasCaps() const { return !m_tenants.empty(); }

  /** A placement begins, in which the waiting tasks are counted again. */
  void BeginPlacement() { ++m_placement; }

  /** Whether the tenant may start more tasks that need aNeed together, beside
   * aUsage. */
  bool Fits(const std::string& aTenant,
            const Resources& aUsage,
            const Resources& aNeed);

  /** Tasks wait although there seems to be room on the workers, since aNeed did
   * not fit. aWaiting is what all of them need. */
  void AddWaiting(const std::string& aTenant,
                  const Resources& aUsage,
                  const Resources& aNeed,
                  const Resources& aWaiting);

private:
  /** A tenant with a cap. */
  struct Tenant
  {
    /** Without the keys. */
    TenantSpec m_spec;
    /** Label of its metrics. */
    std::string m_label;
    Resources m_limit;
    /** The cap was lowered while this owner was in charge. */
    bool m_isLowered = false;
    /** Needs of the tasks that waited for the cap in the placement of this
     * number; see CapDemand. */
    std::uint64_t m_placement = 0;
    Resources m_waiting;
    Resources m_firstWaiting;
    absl::Time m_lastWaitingAt = absl::InfinitePast();
    std::int64_t m_waitingSinceS = 0;
    Resources m_recentUsage;
    absl::Time m_usageAt = absl::InfinitePast();
    absl::Time m_loggedAt = absl::InfinitePast();
    int m_unloggedWaits = 0;
  };

  void OnItem(const StoreItem& aItem);
  void OnOwnItem(const StoreItem& aItem);
  void OnSynchronized();
  /** Computes the limits from the ledger and the caps. */
  void RefreshLimits();
  void RequestUpdate();
  void Update();
  CapDemand MeasureDemand(Tenant& aTenant) const;
  /**
   * Adds what tasks of previous owners may use to the demands of tenants whose
   * cap was lowered. Without a lower cap they are within the shard's parts, and
   * the waiting tasks among them would stop the tenant in all shards. Returns
   * whether there are such tenants.
   */
  bool AddEarlierUsage(std::vector<CapDemand>& aDemands) const;
  /** Whether tasks have waited for the cap recently. */
  bool IsWaiting(const Tenant& aTenant) const;
  /** Counts the parts transferred since an earlier own document. */
  void CountTransfers(const CapDocument& aBefore);
  void LogWaiting(Tenant& aTenant,
                  const Resources& aUsage,
                  const Resources& aNeed);

  Environment m_env;
  keys::ShardKeys m_keys;
  int m_shardCount;
  CapLedger m_ledger;
  std::unordered_map<std::string, Tenant> m_tenants;
  std::uint64_t m_placement = 0;
  /** All documents have been read once. */
  bool m_isSynchronized = false;
  /** The stored own document cannot be decoded. */
  bool m_isOwnMalformed = false;
  bool m_isUpdateDue = false;
  absl::Time m_updatedAt = absl::InfinitePast();
  std::unique_ptr<StoreMirror> m_mirror;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
