#include "tests/fakes/fake_daemon.h"

#include "core/clock.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <future>
#include <numeric>
#include <utility>

namespace bramleystall {

FakeDaemon::FakeDaemon(const PeerAddress& aSelf,
                       std::vector<PeerAddress> aSeeds,
                       absl::Duration aMaxDeadline)
{
  ClusterSettings settings;
  settings.m_daemon = aSelf.m_daemon;
  settings.m_dataCentre = aSelf.m_dataCentre;
  settings.m_listenAddress = aSelf.m_address;
  settings.m_seeds = std::move(aSeeds);
  settings.m_maxDeadline = aMaxDeadline;
  m_node = std::make_unique<ClusterNode>(settings, MakeHooks(), m_metrics);
}

ClusterHooks
FakeDaemon::MakeHooks()
{
  ClusterHooks hooks;
  hooks.m_localState = [this] {
    const std::lock_guard lock(m_mutex);
    LocalState state;
    state.m_configurationVersion = m_version;
    state.m_configurationDigest =
      absl::StrCat(absl::Hex(m_version, absl::kZeroPad16));
    return state;
  };
  hooks.m_document = [this](DocumentKind aKind) {
    const std::lock_guard lock(m_mutex);
    return aKind == DocumentKind::Configuration && m_version > 0
             ? absl::StrCat(m_version)
             : std::string();
  };
  hooks.m_onDocument = [this](DocumentKind aKind, const std::string& aText) {
    std::uint64_t version = 0;
    if (aKind == DocumentKind::Configuration &&
        absl::SimpleAtoi(aText, &version)) {
      SetConfiguration(version);
    }
  };
  hooks.m_slotUsages = [this] {
    const std::lock_guard lock(m_mutex);
    std::vector<SlotUsage> usages;
    for (const auto& [vm, usage] : m_usages) {
      usages.push_back(usage);
    }
    return usages;
  };
  hooks.m_setSlotAllowance = [this](const std::string& aVm, int aAllowance) {
    const std::lock_guard lock(m_mutex);
    SlotUsage& usage = m_usages[aVm];
    usage.m_vm = aVm;
    usage.m_allowance = aAllowance;
    return std::max(aAllowance, usage.m_inFlight);
  };
  return hooks;
}

void
FakeDaemon::SetConfiguration(std::uint64_t aVersion)
{
  const std::lock_guard lock(m_mutex);
  m_version = std::max(m_version, aVersion);
}

std::uint64_t
FakeDaemon::ConfigurationVersion() const
{
  const std::lock_guard lock(m_mutex);
  return m_version;
}

void
FakeDaemon::SetDemand(const std::vector<std::string>& aVms, int aWaiting)
{
  const std::lock_guard lock(m_mutex);
  for (const std::string& vm : aVms) {
    m_usages[vm].m_vm = vm;
    m_usages[vm].m_waiting = aWaiting;
  }
}

int
FakeDaemon::Allowance(const std::string& aVm) const
{
  const std::lock_guard lock(m_mutex);
  const auto found = m_usages.find(aVm);
  return found == m_usages.end() ? 0 : found->second.m_allowance;
}

int
FakeDaemon::TotalAllowance() const
{
  const std::lock_guard lock(m_mutex);
  return std::accumulate(
    m_usages.begin(), m_usages.end(), 0, [](int aSum, const auto& aUsage) {
      return aSum + aUsage.second.m_allowance;
    });
}

ClaimOutcome
FakeDaemon::ClaimAndWait(const std::string& aRequestId)
{
  auto result = std::make_shared<std::promise<ClaimOutcome>>();
  m_node->Claim(aRequestId, [result](ClaimOutcome aOutcome) {
    result->set_value(aOutcome);
  });
  return result->get_future().get();
}

std::size_t
FakeDaemon::CountLiveness(Liveness aLiveness) const
{
  const auto members = m_node->Members();
  return static_cast<std::size_t>(
    std::ranges::count(members, aLiveness, &MemberView::m_liveness));
}

PeerAddress
LocalPeer(const std::string& aDaemon, const std::string& aDataCentre, int aPort)
{
  return { aDaemon, aDataCentre, absl::StrCat("127.0.0.1:", aPort) };
}

bool
WaitFor(absl::Duration aTimeout, const std::function<bool()>& aCondition)
{
  const absl::Time deadline = MonotonicNow() + aTimeout;
  while (!aCondition()) {
    if (MonotonicNow() > deadline) {
      return false;
    }
    absl::SleepFor(absl::Milliseconds(10));
  }
  return true;
}

}
