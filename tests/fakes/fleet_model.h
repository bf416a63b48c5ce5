#pragma once

#include "core/clock.h"
#include "fleet/planner.h"

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace bramleystall {

/** Pool of a simulated fleet. */
struct ModelPool
{
  std::string m_name;
  int m_workers = 0;
  double m_budget = 0.75;
  double m_weight = 1;
};

/** Sizes and delays of a simulated fleet. */
struct FleetModelOptions
{
  std::uint64_t m_seed = 1;
  int m_dataCentres = 3;
  int m_vmsPerRack = 4;
  std::vector<ModelPool> m_pools;
  int m_spares = 8;
  /** Whether the pools are spread over all racks, or fill rack by rack. */
  bool m_isSpread = true;
  FleetSpec m_spec;
  absl::Duration m_step = absl::Seconds(1);
  absl::Duration m_rebootTime = absl::Minutes(3);
  /** Longest time until the daemons of a data centre have drained a VM. */
  absl::Duration m_drainTime = absl::Seconds(3);
  /** Delay with which the VM list shows that a VM left or came back. */
  absl::Duration m_listLag = absl::Seconds(5);
};

/** Actual state of a VM, as opposed to what the planner observes of it. */
struct ModelVm
{
  VmListing m_listing;
  absl::Time m_downFrom = absl::InfiniteFuture();
  absl::Time m_upFrom = absl::InfinitePast();
  /** The VM list omits the VM from m_listedUntil to m_listedFrom. */
  absl::Time m_listedFrom = absl::InfinitePast();
  absl::Time m_listedUntil = absl::InfiniteFuture();
  VmObservation m_observation;
  absl::Time m_drainedAt = absl::InfiniteFuture();
  std::set<std::string> m_rebootTokens;
  int m_reboots = 0;

  bool IsUp(absl::Time aNow) const
  {
    return aNow < m_downFrom || aNow >= m_upFrom;
  }
};

/** How a reboot of a VM ends. */
struct RebootOutcome
{
  bool m_returns = true;
  /** Time from its return until it fails permanently. */
  absl::Duration m_failsAfter = absl::InfiniteDuration();
};

/**
 * Simulates a fleet, its platform and its daemons as far as the planner depends
 * on them: it keeps the actual state of the VMs, derives the planner's
 * snapshots from it and applies the planner's plans to it.
 */
class FleetModel
{
public:
  using Planner =
    std::function<FleetPlan(const FleetSnapshot&, PlannerMemory&)>;

  explicit FleetModel(const FleetModelOptions& aOptions,
                      std::shared_ptr<const StateChart> aChart)
    : m_options(aOptions)
    , m_random(aOptions.m_seed)
    , m_chart(std::move(aChart))
  {
    BuildConfiguration();
    BuildVms();
    m_drawRebootOutcome = [](const std::string&) { return RebootOutcome{}; };
    m_alterSnapshot = [](FleetSnapshot&) {};
    m_checkPlan = [](const FleetSnapshot&, const FleetPlan&) {};
  }

  absl::Time Now() const { return m_now; }
  const Configuration& Config() const { return *m_configuration; }
  std::map<std::string, ModelVm>& Vms() { return m_vms; }
  const std::map<std::string, FleetDocument>& Documents() const
  {
    return m_documents;
  }
  OrderDocument& Orders() { return m_orders; }
  const OrderDocument& OrdersSeen() const { return m_orders; }
  PlannerMemory& Memory() { return m_memory; }
  std::mt19937_64& Random() { return m_random; }

  /** Uniformly distributed in [0, 1). */
  double RandomFraction()
  {
    return std::uniform_real_distribution<double>(0, 1)(m_random);
  }
  /** Uniformly distributed in [aLow, aHigh]. */
  int RandomInt(int aLow, int aHigh)
  {
    return std::uniform_int_distribution<int>(aLow, aHigh)(m_random);
  }

  /** Adds an order and returns its id. */
  std::string AddOrder(OrderKind aKind,
                       const std::string& aVm,
                       const std::string& aPool,
                       const std::string& aWave = "")
  {
    Order order;
    order.m_id = absl::StrCat("order-", ++m_orderCount);
    order.m_kind = aKind;
    order.m_vm = aVm;
    order.m_pool = aPool;
    order.m_wave = aWave;
    order.m_createdMillis = ToMillis(m_now);
    m_orders.m_orders.push_back(order);
    return order.m_id;
  }

  const Order& FindOrder(const std::string& aId) const
  {
    return *std::ranges::find(m_orders.m_orders, aId, &Order::m_id);
  }

  /** Makes a VM fail for a time, or permanently when the time is infinite. */
  void Fail(const std::string& aVm, absl::Duration aDuration)
  {
    ModelVm& vm = m_vms.at(aVm);
    const bool wasDown = !vm.IsUp(m_now);
    vm.m_downFrom = m_now;
    vm.m_upFrom =
      wasDown ? std::max(vm.m_upFrom, m_now + aDuration) : m_now + aDuration;
    if (aDuration == absl::InfiniteDuration()) {
      vm.m_listedUntil = m_now + m_options.m_listLag;
      vm.m_listedFrom = absl::InfiniteFuture();
    }
  }

  void FailWhere(const std::function<bool(const VmListing&)>& aPredicate,
                 absl::Duration aDuration)
  {
    for (auto& [name, vm] : m_vms) {
      if (aPredicate(vm.m_listing)) {
        Fail(name, aDuration);
      }
    }
  }

  /** Ends every failure. */
  void EndFailures()
  {
    for (auto& [name, vm] : m_vms) {
      if (vm.m_upFrom > m_now && vm.m_downFrom <= m_now) {
        vm.m_upFrom = m_now;
      }
      vm.m_downFrom = std::min(vm.m_downFrom, m_now);
      vm.m_upFrom = m_now;
      vm.m_listedFrom = m_now;
    }
    m_partitionedUntil.clear();
  }

  void Partition(const std::string& aDataCentre, absl::Duration aDuration)
  {
    m_partitionedUntil[aDataCentre] = m_now + aDuration;
  }

  void SetStep(absl::Duration aStep) { m_options.m_step = aStep; }
  FleetModelOptions& Options() { return m_options; }

  /**
   * Advances the time by one step, runs the planner and applies its plan,
   * unless the write of the plan is rejected.
   */
  FleetPlan Step(const Planner& aPlanner)
  {
    m_now += m_options.m_step;
    ApplyScheduledFailures();
    Probe();
    FleetSnapshot snapshot = TakeSnapshot();
    m_alterSnapshot(snapshot);
    FleetPlan plan = aPlanner(snapshot, m_memory);
    m_checkPlan(snapshot, plan);
    if (m_isWriteRejected && m_isWriteRejected()) {
      return plan;
    }
    ApplyPlan(plan);
    return plan;
  }

  /** Number of records for which the predicate holds. */
  int CountRecords(const std::function<bool(const VmRecord&)>& aPredicate) const
  {
    int count = 0;
    for (const auto& [dataCentre, document] : m_documents) {
      for (const auto& [name, vm] : document.m_vms) {
        count += aPredicate(vm) ? 1 : 0;
      }
    }
    return count;
  }

  /** Record of a VM, or null when no document has one. */
  const VmRecord* FindRecord(const std::string& aVm) const
  {
    for (const auto& [dataCentre, document] : m_documents) {
      const auto found = document.m_vms.find(aVm);
      if (found != document.m_vms.end()) {
        return &found->second;
      }
    }
    return nullptr;
  }

  /** Number of VMs of a pool that are recorded as ready and actually up. */
  int CountReadyAndUp(const std::string& aPool) const
  {
    return CountRecords([&](const VmRecord& aVm) {
      return aVm.m_pool == aPool && aVm.m_state == VmState::Ready &&
             m_vms.at(aVm.m_name).IsUp(m_now);
    });
  }

  /** Called at each reboot of a VM; determines how the reboot ends. */
  std::function<RebootOutcome(const std::string&)> m_drawRebootOutcome;
  /** Alters a snapshot before the planner gets it, to inject false inputs. */
  std::function<void(FleetSnapshot&)> m_alterSnapshot;
  /** Called with each snapshot and the plan that was made from it. */
  std::function<void(const FleetSnapshot&, const FleetPlan&)> m_checkPlan;
  /** Whether the store rejects the write of the current plan. */
  std::function<bool()> m_isWriteRejected;

private:
  void BuildConfiguration()
  {
    auto configuration = std::make_shared<Configuration>();
    configuration->m_version = 1;
    configuration->m_fleet = m_options.m_spec;
    configuration->m_fleet.m_spareWorkers = m_options.m_spares;
    for (const ModelPool& pool : m_options.m_pools) {
      ServiceSpec service;
      service.m_name = service.m_pool = pool.m_name;
      service.m_poolWorkers = pool.m_workers;
      service.m_availabilityBudget = pool.m_budget;
      service.m_weight = pool.m_weight;
      configuration->m_services.push_back(service);
    }
    m_configuration = configuration;
  }

  std::vector<std::string> PoolsOfVms()
  {
    std::vector<std::string> pools;
    for (const ModelPool& pool : m_options.m_pools) {
      pools.insert(pools.end(), pool.m_workers, pool.m_name);
    }
    pools.insert(pools.end(), m_options.m_spares, m_options.m_spec.m_sparePool);
    return pools;
  }

  void BuildVms()
  {
    const std::vector<std::string> pools = PoolsOfVms();
    const int count = static_cast<int>(pools.size());
    const int racks =
      (count + m_options.m_vmsPerRack - 1) / m_options.m_vmsPerRack;
    for (int dataCentre = 0; dataCentre < m_options.m_dataCentres;
         ++dataCentre) {
      const std::string name = absl::StrCat("dc", dataCentre);
      m_documents[name].m_dataCentre = name;
    }
    for (int i = 0; i < count; ++i) {
      const int rack =
        m_options.m_isSpread ? i % racks : i / m_options.m_vmsPerRack;
      ModelVm vm;
      vm.m_listing.m_name = absl::StrCat("vm", 1000 + i);
      vm.m_listing.m_address = absl::StrCat("127.0.0.1:", 10000 + i);
      vm.m_listing.m_dataCentre =
        absl::StrCat("dc", rack % m_options.m_dataCentres);
      vm.m_listing.m_rack = absl::StrCat("rack", rack);
      vm.m_listing.m_pool = pools[i];
      vm.m_observation.m_isHealthy = true;
      vm.m_observation.m_consecutiveProbeSuccesses = 100;
      m_documents[vm.m_listing.m_dataCentre].m_vms[vm.m_listing.m_name] =
        MakeReadyRecord(vm.m_listing);
      m_vms[vm.m_listing.m_name] = vm;
    }
  }

  VmRecord MakeReadyRecord(const VmListing& aListing) const
  {
    VmRecord record;
    record.m_name = aListing.m_name;
    record.m_address = aListing.m_address;
    record.m_rack = aListing.m_rack;
    record.m_pool = aListing.m_pool;
    record.m_state = VmState::Ready;
    record.m_sinceMillis = ToMillis(m_now - absl::Hours(1));
    record.m_reason = "adopted";
    return record;
  }

  void Probe()
  {
    const int probes =
      std::max(1, static_cast<int>(absl::ToInt64Seconds(m_options.m_step)));
    for (auto& [name, vm] : m_vms) {
      VmObservation& seen = vm.m_observation;
      if (vm.IsUp(m_now)) {
        seen.m_isHealthy = true;
        seen.m_lastHealthy = m_now;
        seen.m_consecutiveProbeFailures = 0;
        seen.m_consecutiveProbeSuccesses += probes;
      } else {
        seen.m_consecutiveProbeSuccesses = 0;
        seen.m_consecutiveProbeFailures += probes;
        seen.m_isHealthy = seen.m_consecutiveProbeFailures < 2;
      }
    }
  }

  bool IsPartitioned(const std::string& aDataCentre) const
  {
    const auto found = m_partitionedUntil.find(aDataCentre);
    return found != m_partitionedUntil.end() && m_now < found->second;
  }

  FleetSnapshot TakeSnapshot()
  {
    FleetSnapshot snapshot;
    snapshot.m_now = m_now;
    snapshot.m_configuration = m_configuration;
    snapshot.m_lifecycle = m_chart;
    snapshot.m_orders = m_orders;
    snapshot.m_vmList.emplace();
    for (const auto& [name, vm] : m_vms) {
      if (m_now < vm.m_listedUntil || m_now >= vm.m_listedFrom) {
        snapshot.m_vmList->push_back(vm.m_listing);
      }
      if (!IsPartitioned(vm.m_listing.m_dataCentre)) {
        snapshot.m_observations[name] = vm.m_observation;
      }
    }
    for (const auto& [dataCentre, document] : m_documents) {
      if (!IsPartitioned(dataCentre)) {
        snapshot.m_documents[dataCentre] = document;
        AddAcknowledgedDrains(document, snapshot.m_acknowledgedDrains);
      }
    }
    return snapshot;
  }

  void AddAcknowledgedDrains(const FleetDocument& aDocument,
                             std::set<std::string>& aDrains)
  {
    for (const auto& [name, record] : aDocument.m_vms) {
      ModelVm& vm = m_vms.at(name);
      if (record.m_state != VmState::Draining) {
        vm.m_drainedAt = absl::InfiniteFuture();
        continue;
      }
      if (vm.m_drainedAt == absl::InfiniteFuture()) {
        vm.m_drainedAt = m_now + RandomFraction() * m_options.m_drainTime;
      }
      if (m_now >= vm.m_drainedAt) {
        aDrains.insert(name);
      }
    }
  }

  void ApplyPlan(const FleetPlan& aPlan)
  {
    for (const auto& [dataCentre, document] : aPlan.m_changedDocuments) {
      const std::uint64_t revision = m_documents[dataCentre].m_revision;
      m_documents[dataCentre] = document;
      m_documents[dataCentre].m_revision = revision + 1;
    }
    if (aPlan.m_changedOrders) {
      m_orders = *aPlan.m_changedOrders;
      ++m_orders.m_revision;
    }
    for (const auto& [name, token] : aPlan.m_reboots) {
      ModelVm& vm = m_vms.at(name);
      if (!IsPartitioned(vm.m_listing.m_dataCentre) &&
          vm.m_rebootTokens.insert(token).second) {
        Reboot(name, vm);
      }
    }
  }

  void Reboot(const std::string& aName, ModelVm& aVm)
  {
    const RebootOutcome outcome = m_drawRebootOutcome(aName);
    ++aVm.m_reboots;
    // A reboot does not shorten an outage that lasts longer than the reboot.
    const absl::Time outageEnd = aVm.IsUp(m_now) ? m_now : aVm.m_upFrom;
    aVm.m_downFrom = m_now;
    aVm.m_upFrom = outcome.m_returns
                     ? std::max(outageEnd, m_now + m_options.m_rebootTime)
                     : absl::InfiniteFuture();
    aVm.m_listedUntil = m_now + m_options.m_listLag;
    aVm.m_listedFrom = outcome.m_returns
                         ? m_now + m_options.m_rebootTime + m_options.m_listLag
                         : absl::InfiniteFuture();
    if (outcome.m_returns && outcome.m_failsAfter != absl::InfiniteDuration()) {
      // The VM is up from its return until this failure.
      m_scheduledFailures.emplace(aVm.m_upFrom + outcome.m_failsAfter, aName);
    }
  }

  void ApplyScheduledFailures()
  {
    while (!m_scheduledFailures.empty() &&
           m_scheduledFailures.begin()->first <= m_now) {
      Fail(m_scheduledFailures.begin()->second, absl::InfiniteDuration());
      m_scheduledFailures.erase(m_scheduledFailures.begin());
    }
  }

  FleetModelOptions m_options;
  std::mt19937_64 m_random;
  std::shared_ptr<const StateChart> m_chart;
  std::shared_ptr<const Configuration> m_configuration;
  absl::Time m_now = absl::FromUnixSeconds(1800000000);
  std::map<std::string, ModelVm> m_vms;
  std::map<std::string, FleetDocument> m_documents;
  std::map<std::string, absl::Time> m_partitionedUntil;
  std::multimap<absl::Time, std::string> m_scheduledFailures;
  OrderDocument m_orders;
  PlannerMemory m_memory;
  int m_orderCount = 0;
};

}
