#include "daemon/decider_loop.h"

#include "cluster/drain_acknowledgement.h"
#include "cluster/fleet_observations.h"
#include "consul/order_writer.h"
#include "consul/writer_hooks.h"
#include "core/clock.h"
#include "core/error.h"
#include "core/log.h"
#include "daemon/plan_writes.h"
#include "daemon/store_keys.h"
#include "fleet/planner.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <set>
#include <utility>

namespace bramleystall {

namespace {

constexpr int kWriterTokenDigits = 32;

void
LogDecision(const Decision& aDecision)
{
  LogInfo(LogPart::Planner,
          absl::StrCat("VM ",
                       aDecision.m_vm,
                       " changes from ",
                       std::string(NameOf(kVmStateNames, aDecision.m_from)),
                       " to ",
                       std::string(NameOf(kVmStateNames, aDecision.m_to)),
                       " in pool ",
                       aDecision.m_poolAfter,
                       ": ",
                       aDecision.m_explanation,
                       "."));
}

/** Whether a VM is between two steady states or an order is open. */
bool
IsChanging(const FleetState& aState)
{
  const auto isVmChanging = [](const auto& aEntry) {
    const VmState state = aEntry.second.m_state;
    return state != VmState::Ready && state != VmState::SetAside &&
           state != VmState::Gone;
  };
  return std::ranges::any_of(aState.m_orders.m_orders, &Order::IsOpen) ||
         std::ranges::any_of(aState.m_documents, [&](const auto& aEntry) {
           return std::ranges::any_of(aEntry.second.m_vms, isVmChanging);
         });
}

}

DeciderLoop::DeciderLoop(DeciderPlatform aPlatform,
                         DeciderLease& aLease,
                         std::shared_ptr<const StateChart> aLifecycle,
                         DeciderHooks aHooks,
                         Metrics& aMetrics)
  : m_platform(aPlatform)
  , m_lease(aLease)
  , m_lifecycle(std::move(aLifecycle))
  , m_hooks(std::move(aHooks))
  , m_metrics(aMetrics)
  , m_writer(aPlatform.m_store, {}, &aMetrics)
{
}

DeciderLoop::~DeciderLoop()
{
  Stop();
}

void
DeciderLoop::Start()
{
  m_lease.Start();
  m_thread = std::jthread([this](const std::stop_token& aStop) { Run(aStop); });
}

void
DeciderLoop::Stop()
{
  if (m_thread.joinable()) {
    m_thread.request_stop();
    m_thread.join();
  }
  m_lease.Stop();
}

std::vector<PoolReport>
DeciderLoop::Pools() const
{
  const std::lock_guard lock(m_mutex);
  return m_pools;
}

void
DeciderLoop::PublishPools(std::vector<PoolReport> aPools)
{
  for (const PoolReport& pool : aPools) {
    const MetricLabels labels = { { "pool", pool.m_pool } };
    m_metrics.SetGauge("bramleystall_pool_ready", labels, pool.m_ready);
    m_metrics.SetGauge("bramleystall_pool_promised", labels, pool.m_promised);
  }
  const std::lock_guard lock(m_mutex);
  m_pools = std::move(aPools);
}

void
DeciderLoop::Run(const std::stop_token& aStop)
{
  while (!aStop.stop_requested()) {
    try {
      PlanOnce();
    } catch (const Error& error) {
      m_metrics.Count(
        "bramleystall_plan_failures_total",
        { { "reason", std::string(NameOf(kErrorCodeNames, error.Code())) } });
      LogWarning(
        LogPart::Planner,
        absl::StrCat("planning failed, retrying at the next interval: ",
                     error.what(),
                     "."));
    }
    absl::SleepFor(kPlanInterval);
  }
}

void
DeciderLoop::DiscardState()
{
  m_memory = {};
  m_rebootRequestTimes.clear();
  m_state.reset();
  m_vmListReadAt = absl::InfinitePast();
  PublishPools({});
}

void
DeciderLoop::PlanOnce()
{
  if (!m_lease.MayDecide()) {
    DiscardState();
    return;
  }
  const auto configuration = m_hooks.m_configuration();
  if (!configuration) {
    return;
  }
  const auto members = m_hooks.m_members();
  RefreshVmList();
  const FleetState& state = CurrentState(members);
  FleetSnapshot snapshot = MakeSnapshot(state, members);
  snapshot.m_configuration = configuration;
  FleetPlan plan = PlanFleet(snapshot, m_memory);
  m_isFleetChanging = !plan.m_decisions.empty() || IsChanging(state);
  if (Commit(state, plan)) {
    RequestReboots(plan);
    PublishPools(std::move(plan.m_pools));
  }
}

void
DeciderLoop::RefreshVmList()
{
  const absl::Time now = MonotonicNow();
  const absl::Duration interval =
    m_isFleetChanging ? kChangingVmListInterval : kStableVmListInterval;
  if (now - m_vmListReadAt < interval) {
    return;
  }
  try {
    m_vmList = m_platform.m_vmList.Read();
    m_vmListReadAt = now;
  } catch (const Error& error) {
    m_vmList.reset();
    m_metrics.Count("bramleystall_vm_list_failures_total");
  }
}

const FleetState&
DeciderLoop::CurrentState(const std::vector<MemberView>& aMembers)
{
  const absl::Time now = MonotonicNow();
  const bool hasNewDataCentre =
    m_state && std::ranges::any_of(
                 DataCentres(aMembers), [this](const std::string& aDataCentre) {
                   return !m_state->m_documents.contains(aDataCentre);
                 });
  if (!m_state || hasNewDataCentre || now - m_stateReadAt >= kMaxStateAge) {
    m_state.reset();
    m_state = ReadState(aMembers);
    m_stateReadAt = now;
  }
  const auto orders = m_hooks.m_orders();
  if (orders && orders->m_revision > m_state->m_ordersRevision) {
    m_state->m_orders = OrderDocument::Parse(orders->m_value);
    m_state->m_ordersRevision = orders->m_revision;
  }
  return *m_state;
}

void
DeciderLoop::ReadDocument(const std::string& aDataCentre, FleetState& aState)
{
  const auto value = m_platform.m_store.Get(FleetDocumentKey(aDataCentre));
  FleetDocument document;
  document.m_dataCentre = aDataCentre;
  if (value) {
    document = FleetDocument::Parse(value->m_value);
  }
  aState.m_documents[aDataCentre] = std::move(document);
  aState.m_documentRevisions[aDataCentre] = value ? value->m_revision : 0;
}

std::set<std::string>
DeciderLoop::DataCentres(const std::vector<MemberView>& aMembers) const
{
  std::set<std::string> dataCentres;
  for (const MemberView& member : aMembers) {
    dataCentres.insert(member.m_dataCentre);
  }
  if (m_vmList) {
    for (const VmListing& listing : *m_vmList) {
      dataCentres.insert(listing.m_dataCentre);
    }
  }
  return dataCentres;
}

FleetState
DeciderLoop::ReadState(const std::vector<MemberView>& aMembers)
{
  FleetState state;
  for (const std::string& dataCentre : DataCentres(aMembers)) {
    ReadDocument(dataCentre, state);
  }
  if (const auto orders = m_platform.m_store.Get(OrderWriter::kKey)) {
    state.m_orders = OrderDocument::Parse(orders->m_value);
    state.m_ordersRevision = orders->m_revision;
  }
  if (const auto decisions = m_platform.m_store.Get(kDecisionsKey)) {
    state.m_decisions = DecisionLog::Parse(decisions->m_value);
    state.m_decisionsRevision = decisions->m_revision;
  }
  return state;
}

FleetSnapshot
DeciderLoop::MakeSnapshot(const FleetState& aState,
                          const std::vector<MemberView>& aMembers) const
{
  FleetSnapshot snapshot;
  snapshot.m_now = absl::Now();
  snapshot.m_lifecycle = m_lifecycle;
  snapshot.m_documents = aState.m_documents;
  snapshot.m_observations =
    CombineObservations(aState.m_documents, aMembers, snapshot.m_now);
  for (const auto& [dataCentre, document] : aState.m_documents) {
    snapshot.m_acknowledgedDrains.merge(
      AcknowledgedDrains(document, aMembers, m_vmList));
  }
  snapshot.m_vmList = m_vmList;
  snapshot.m_orders = aState.m_orders;
  snapshot.m_poolDemand = m_hooks.m_poolDemand();
  return snapshot;
}

bool
DeciderLoop::Commit(const FleetState& aState, const FleetPlan& aPlan)
{
  const auto condition = m_lease.Condition();
  if (!condition) {
    return false;
  }
  FencedWrite write;
  write.m_token = RandomHex(kWriterTokenDigits);
  write.m_writes = MakePlanWrites(aState, aPlan, m_lease.Term(), write.m_token);
  if (write.m_writes.empty()) {
    return true;
  }
  write.m_condition = condition;
  // Whatever the outcome, the stored documents may differ from those last read.
  m_state.reset();
  const WriteOutcome outcome = m_writer.Apply(write);
  m_metrics.Count(
    "bramleystall_plans_total",
    { { "outcome", std::string(NameOf(kWriteOutcomeNames, outcome)) } });
  if (outcome != WriteOutcome::Applied) {
    LogWarning(
      LogPart::Planner,
      absl::StrCat("the write of the plan ended with ",
                   std::string(NameOf(kWriteOutcomeNames, outcome)),
                   "; reading the documents again for the next plan."));
    return false;
  }
  std::ranges::for_each(aPlan.m_decisions, LogDecision);
  return true;
}

void
DeciderLoop::RequestReboots(const FleetPlan& aPlan)
{
  const absl::Time now = MonotonicNow();
  std::map<std::string, absl::Time> requestTimes;
  for (const auto& [vm, token] : aPlan.m_reboots) {
    const auto previous = m_rebootRequestTimes.find(token);
    const bool isDue = previous == m_rebootRequestTimes.end() ||
                       now - previous->second >= kRebootRetryInterval;
    if (!isDue) {
      requestTimes.insert(*previous);
      continue;
    }
    try {
      m_platform.m_vmControl.Reboot(vm, token);
      requestTimes[token] = now;
    } catch (const Error& error) {
      LogWarning(
        LogPart::Planner,
        absl::StrCat(
          "failed to request the reboot of VM ", vm, ": ", error.what(), "."));
    }
  }
  m_rebootRequestTimes = std::move(requestTimes);
}

}
