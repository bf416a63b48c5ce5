#include "tests/fakes/fake_cluster.h"

#include "tests/naive/naive_claim_owner.h"
#include "tests/naive/naive_slot_share.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace bramleystall {

namespace {

constexpr int kSlotsPerWorker = 8;
constexpr absl::Duration kTickInterval = absl::Milliseconds(100);
/**
 * Seeds of each daemon. A daemon that starts while all seeds are down regards
 * itself as the only member.
 */
const std::vector<std::string> kSeeds = { "d0", "d1", "d2", "d3",
                                          "d4", "d5", "d6", "d7" };

absl::Duration
RandomDuration(std::mt19937_64& aRandom,
               absl::Duration aFrom,
               absl::Duration aTo)
{
  std::uniform_int_distribution<std::int64_t> distribution(
    absl::ToInt64Microseconds(aFrom), absl::ToInt64Microseconds(aTo));
  return absl::Microseconds(distribution(aRandom));
}

}

FakeCluster::FakeCluster(FakeClusterSettings aSettings)
  : m_settings(aSettings)
  , m_random(aSettings.m_seed)
  , m_now(absl::FromUnixSeconds(1'800'000'000))
{
  for (int i = 0; i < m_settings.m_workers; ++i) {
    m_workers[absl::StrCat("vm", i)];
  }
}

void
FakeCluster::Start(const std::string& aDaemon)
{
  Daemon& daemon = m_daemons[aDaemon];
  daemon = {};
  daemon.m_process = absl::StrCat(aDaemon, "#", ++m_processes);
  daemon.m_skew =
    RandomDuration(m_random, -m_settings.m_daemonSkew, m_settings.m_daemonSkew);
  daemon.m_frozenUntil = m_now;
  daemon.m_nextTick = m_now;
  ClusterSettings settings;
  settings.m_daemon = aDaemon;
  settings.m_dataCentre = "dc1";
  settings.m_listenAddress = aDaemon;
  settings.m_seeds = Seeds();
  settings.m_maxDeadline = m_settings.m_maxDeadline;
  settings.m_slotsPerWorker = kSlotsPerWorker;
  daemon.m_protocol = std::make_unique<ClusterProtocol>(
    settings,
    [this](const std::string& aAddress, const std::string& aBytes) {
      std::uniform_real_distribution<double> loss(0, 1);
      if (loss(m_random) >= m_settings.m_lossRate) {
        m_packets.emplace(m_now + RandomDuration(m_random,
                                                 absl::ZeroDuration(),
                                                 m_settings.m_maxDelay),
                          Packet{ aAddress, aBytes });
      }
      return true;
    },
    [this, &daemon](const std::string& aVm, int aAllowance) {
      daemon.m_allowance[aVm] = aAllowance;
      return std::max(aAllowance, InFlightAt(daemon.m_process, aVm));
    },
    m_metrics,
    m_random(),
    TimeOf(daemon));
  if (m_settings.m_usesNaiveOwner) {
    daemon.m_protocol->SetOwnerRule(FindNaiveClaimOwner);
  }
}

void
FakeCluster::Kill(const std::string& aDaemon)
{
  m_daemons.erase(aDaemon);
}

void
FakeCluster::Leave(const std::string& aDaemon)
{
  const Daemon& daemon = m_daemons.at(aDaemon);
  if (daemon.m_frozenUntil <= m_now) {
    daemon.m_protocol->Leave(InFlight(aDaemon) == 0);
  }
  m_daemons.erase(aDaemon);
}

void
FakeCluster::Freeze(const std::string& aDaemon, absl::Duration aFor)
{
  m_daemons.at(aDaemon).m_frozenUntil = m_now + aFor;
}

bool
FakeCluster::IsRunning(const std::string& aDaemon) const
{
  return m_daemons.contains(aDaemon);
}

std::vector<std::string>
FakeCluster::Running() const
{
  std::vector<std::string> names;
  names.reserve(m_daemons.size());
  for (const auto& [name, daemon] : m_daemons) {
    names.push_back(name);
  }
  return names;
}

void
FakeCluster::SetWaiting(const std::string& aDaemon, int aWaiting)
{
  m_daemons.at(aDaemon).m_waiting = aWaiting;
}

void
FakeCluster::Claim(const std::string& aDaemon, const Uuid7& aId)
{
  Daemon& daemon = m_daemons.at(aDaemon);
  if (daemon.m_frozenUntil > m_now) {
    return;
  }
  const std::string id = aId.ToString();
  RunClaimCallbacks(daemon.m_protocol->Claim(
    id,
    [this, id](ClaimOutcome aOutcome) {
      ++m_outcomes[aOutcome];
      m_grants[id] += aOutcome == ClaimOutcome::Granted ? 1 : 0;
    },
    TimeOf(daemon)));
}

void
FakeCluster::Run(absl::Duration aFor)
{
  const absl::Time end = m_now + aFor;
  while (m_now < end) {
    Step();
  }
}

int
FakeCluster::InFlight() const
{
  int sum = 0;
  for (const auto& [vm, requests] : m_workers) {
    sum += static_cast<int>(requests.size());
  }
  return sum;
}

int
FakeCluster::InFlight(const std::string& aDaemon) const
{
  const std::string& process = m_daemons.at(aDaemon).m_process;
  int sum = 0;
  for (const auto& [vm, requests] : m_workers) {
    sum += InFlightAt(process, vm);
  }
  return sum;
}

int
FakeCluster::Quarantined() const
{
  int sum = 0;
  for (const auto& [name, daemon] : m_daemons) {
    sum += daemon.m_protocol->Slots().Quarantined(m_now);
  }
  return sum;
}

int
FakeCluster::MostGrants() const
{
  const auto most = std::ranges::max_element(
    m_grants, {}, &std::map<std::string, int>::value_type::second);
  return most == m_grants.end() ? 0 : most->second;
}

CallTime
FakeCluster::TimeOf(const Daemon& aDaemon) const
{
  return { m_now, m_now + aDaemon.m_skew };
}

void
FakeCluster::Step()
{
  m_now += kStep;
  for (auto& [vm, requests] : m_workers) {
    std::erase_if(requests, [this](const Request& aRequest) {
      return aRequest.m_end <= m_now;
    });
  }
  Deliver();
  for (const std::string& name : Running()) {
    RunDaemon(m_daemons.at(name));
  }
  for (const auto& [vm, requests] : m_workers) {
    m_mostInFlight =
      std::max(m_mostInFlight, static_cast<int>(requests.size()));
  }
}

void
FakeCluster::Deliver()
{
  const auto due = m_packets.upper_bound(m_now);
  for (auto packet = m_packets.begin(); packet != due; ++packet) {
    const auto daemon = m_daemons.find(packet->second.m_address);
    if (daemon != m_daemons.end()) {
      daemon->second.m_inbox.push_back(packet->second.m_bytes);
    }
  }
  m_packets.erase(m_packets.begin(), due);
}

void
FakeCluster::RunDaemon(Daemon& aDaemon)
{
  if (aDaemon.m_frozenUntil > m_now) {
    return;
  }
  // A daemon that resumes after a freeze may dispatch requests before it does
  // anything else; the check of IsReady must prevent that.
  SendRequests(aDaemon);
  for (const std::string& bytes : std::exchange(aDaemon.m_inbox, {})) {
    RunClaimCallbacks(aDaemon.m_protocol->Receive(bytes, TimeOf(aDaemon)));
  }
  if (m_now >= aDaemon.m_nextTick || aDaemon.m_protocol->WantsTick()) {
    aDaemon.m_nextTick = m_now + kTickInterval;
    RunClaimCallbacks(
      aDaemon.m_protocol->Tick({}, Usages(aDaemon), TimeOf(aDaemon)));
  }
  SendRequests(aDaemon);
}

void
FakeCluster::SendRequests(Daemon& aDaemon)
{
  if (!aDaemon.m_protocol->IsReady(m_now)) {
    return;
  }
  for (auto& [vm, requests] : m_workers) {
    int allowance = aDaemon.m_allowance[vm];
    if (m_settings.m_usesNaiveSlots) {
      allowance = NaiveSlotShare(
        kSlotsPerWorker, aDaemon.m_protocol->Peers().LocalView().size());
    }
    const int count = std::min(aDaemon.m_waiting,
                               allowance - InFlightAt(aDaemon.m_process, vm));
    for (int i = 0; i < count; ++i) {
      requests.push_back(
        { aDaemon.m_process,
          m_now + RandomDuration(m_random, kStep, m_settings.m_maxDeadline) });
    }
  }
}

void
FakeCluster::RunClaimCallbacks(const ProtocolEffects& aEffects)
{
  for (const auto& claim : aEffects.m_finishedClaims) {
    claim.m_done(claim.m_outcome);
  }
}

std::vector<SlotUsage>
FakeCluster::Usages(const Daemon& aDaemon) const
{
  std::vector<SlotUsage> usages;
  usages.reserve(m_workers.size());
  for (const auto& [vm, requests] : m_workers) {
    const auto allowance = aDaemon.m_allowance.find(vm);
    usages.push_back(
      { vm,
        InFlightAt(aDaemon.m_process, vm),
        allowance == aDaemon.m_allowance.end() ? 0 : allowance->second,
        aDaemon.m_waiting });
  }
  return usages;
}

int
FakeCluster::InFlightAt(const std::string& aProcess,
                        const std::string& aVm) const
{
  return static_cast<int>(
    std::ranges::count(m_workers.at(aVm), aProcess, &Request::m_process));
}

std::vector<PeerAddress>
FakeCluster::Seeds() const
{
  std::vector<PeerAddress> seeds;
  seeds.reserve(kSeeds.size());
  for (const std::string& name : kSeeds) {
    seeds.push_back({ name, "dc1", name });
  }
  return seeds;
}

}
