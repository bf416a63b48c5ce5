#include "tests/measure/cluster_measure.h"

#include "cluster/cluster_node.h"
#include "core/clock.h"
#include "core/error.h"
#include "core/metrics.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <utility>

namespace bramleystall {

namespace {

constexpr int kWorkersPerPool = 10;
constexpr int kBurstWaitingRequests = 20;
/** A burst lasts "some seconds" in the demand of the deployments. */
constexpr absl::Duration kBurstDuration = absl::Seconds(4);
constexpr absl::Duration kTimeout = absl::Seconds(30);

/** A daemon's cluster node, whose load the measurement sets. */
class MeasuredDaemon
{
public:
  MeasuredDaemon(const PeerAddress& aSelf,
                 std::vector<PeerAddress> aSeeds,
                 int aWorkers);

  ClusterNode& Node() { return m_node; }
  void SetVersion(std::uint64_t aVersion);
  std::uint64_t Version() const;
  /** Starts a burst of requests for one pool; all other pools become idle. */
  void SetBurst(int aPool);
  /** Total bytes sent and received in messages of one kind. */
  std::uint64_t Bytes(MessageKind aKind) const;

private:
  ClusterHooks MakeHooks();

  mutable std::mutex m_mutex;
  std::uint64_t m_version = 0;
  std::vector<SlotUsage> m_usages;
  Metrics m_metrics;
  ClusterNode m_node;
};

ClusterSettings
MakeSettings(const PeerAddress& aSelf, std::vector<PeerAddress> aSeeds)
{
  ClusterSettings settings;
  settings.m_daemon = aSelf.m_daemon;
  settings.m_dataCentre = aSelf.m_dataCentre;
  settings.m_listenAddress = aSelf.m_address;
  settings.m_seeds = std::move(aSeeds);
  return settings;
}

MeasuredDaemon::MeasuredDaemon(const PeerAddress& aSelf,
                               std::vector<PeerAddress> aSeeds,
                               int aWorkers)
  : m_usages(aWorkers)
  , m_node(MakeSettings(aSelf, std::move(aSeeds)), MakeHooks(), m_metrics)
{
  for (int i = 0; i < aWorkers; ++i) {
    m_usages[i].m_vm = absl::StrCat("worker-", i);
  }
}

ClusterHooks
MeasuredDaemon::MakeHooks()
{
  ClusterHooks hooks;
  hooks.m_localState = [this] {
    LocalState state;
    state.m_configurationVersion = Version();
    state.m_configurationDigest =
      absl::StrCat(absl::Hex(state.m_configurationVersion, absl::kZeroPad16));
    return state;
  };
  hooks.m_document = [this](DocumentKind /*aKind*/) {
    return absl::StrCat(Version());
  };
  hooks.m_onDocument = [this](DocumentKind /*aKind*/,
                              const std::string& aText) {
    std::uint64_t version = 0;
    if (absl::SimpleAtoi(aText, &version)) {
      SetVersion(version);
    }
  };
  hooks.m_slotUsages = [this] {
    const std::lock_guard lock(m_mutex);
    return m_usages;
  };
  hooks.m_setSlotAllowance = [this](const std::string& aVm, int aAllowance) {
    const std::lock_guard lock(m_mutex);
    const auto usage = std::ranges::find(m_usages, aVm, &SlotUsage::m_vm);
    if (usage == m_usages.end()) {
      return aAllowance;
    }
    usage->m_allowance = aAllowance;
    usage->m_inFlight = std::min(
      aAllowance, usage->m_waiting > 0 ? usage->m_waiting : usage->m_inFlight);
    return aAllowance;
  };
  return hooks;
}

void
MeasuredDaemon::SetVersion(std::uint64_t aVersion)
{
  const std::lock_guard lock(m_mutex);
  m_version = std::max(m_version, aVersion);
}

std::uint64_t
MeasuredDaemon::Version() const
{
  const std::lock_guard lock(m_mutex);
  return m_version;
}

void
MeasuredDaemon::SetBurst(int aPool)
{
  const std::lock_guard lock(m_mutex);
  for (std::size_t i = 0; i < m_usages.size(); ++i) {
    SlotUsage& usage = m_usages[i];
    const bool isBurst = static_cast<int>(i) / kWorkersPerPool == aPool;
    usage.m_waiting = isBurst ? kBurstWaitingRequests : 0;
    usage.m_inFlight = isBurst ? usage.m_allowance : 0;
  }
}

std::uint64_t
MeasuredDaemon::Bytes(MessageKind aKind) const
{
  const std::string kind(NameOf(kMessageKindNames, aKind));
  const auto bytes = [&](const char* aDirection) {
    return m_metrics.CounterValue(
      "bramleystall_peer_bytes_total",
      { { "direction", aDirection }, { "kind", kind } });
  };
  return bytes("sent") + bytes("received");
}

using MeasuredDaemons = std::vector<std::unique_ptr<MeasuredDaemon>>;

MeasuredDaemons
StartDaemons(const ClusterSize& aSize, int aFirstPort)
{
  std::vector<PeerAddress> peers;
  peers.reserve(aSize.Daemons());
  for (int i = 0; i < aSize.Daemons(); ++i) {
    peers.push_back({ absl::StrCat("entry-vm-", i),
                      absl::StrCat("dc", i % aSize.m_dataCentres),
                      absl::StrCat("127.0.0.1:", aFirstPort + i) });
  }
  const std::vector<PeerAddress> seeds(
    peers.begin(), peers.begin() + std::min<std::size_t>(peers.size(), 8));
  MeasuredDaemons daemons;
  daemons.reserve(peers.size());
  for (const PeerAddress& peer : peers) {
    daemons.push_back(std::make_unique<MeasuredDaemon>(
      peer, seeds, aSize.m_workersPerDataCentre));
    daemons.back()->Node().Start();
  }
  return daemons;
}

/**
 * Waits until the condition holds and returns the seconds that this took.
 * Throws Error (Unavailable) after the time-out.
 */
double
Await(const std::function<bool()>& aCondition, const char* aTimeoutMessage)
{
  const absl::Time start = MonotonicNow();
  while (!aCondition()) {
    if (MonotonicNow() - start > kTimeout) {
      throw Error(ErrorCode::Unavailable,
                  absl::StrCat("measurement timed out: ", aTimeoutMessage));
    }
    absl::SleepFor(absl::Milliseconds(10));
  }
  return absl::ToDoubleSeconds(MonotonicNow() - start);
}

bool
SeesAllAlive(const MeasuredDaemon& aDaemon, std::size_t aCount)
{
  auto& node = const_cast<MeasuredDaemon&>(aDaemon).Node();
  const auto members = node.Members();
  const auto alive =
    std::ranges::count(members, Liveness::Alive, &MemberView::m_liveness);
  return node.IsReady() && static_cast<std::size_t>(alive) == aCount;
}

absl::Duration
ProcessorTime()
{
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return absl::DurationFromTimespec(time);
}

std::uint64_t
HeartbeatBytes(const MeasuredDaemons& aDaemons)
{
  std::uint64_t sum = 0;
  for (const auto& daemon : aDaemons) {
    sum += daemon->Bytes(MessageKind::Heartbeat);
  }
  return sum;
}

std::uint64_t
AllBytes(const MeasuredDaemons& aDaemons)
{
  std::uint64_t sum = 0;
  for (const auto& daemon : aDaemons) {
    for (const auto& [kind, name] : kMessageKindNames) {
      sum += daemon->Bytes(kind);
    }
  }
  return sum;
}

void
RunLoad(const MeasuredDaemons& aDaemons,
        const ClusterSize& aSize,
        absl::Duration aDuration,
        std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  const int pools = std::max(1, aSize.m_workersPerDataCentre / kWorkersPerPool);
  const absl::Time end = MonotonicNow() + aDuration;
  while (MonotonicNow() < end) {
    const int pool = std::uniform_int_distribution<int>(0, pools - 1)(random);
    for (const auto& daemon : aDaemons) {
      daemon->SetBurst(pool);
    }
    absl::SleepFor(kBurstDuration);
  }
}

}

std::vector<ClusterSize>
ClusterSizesToMeasure()
{
  return { { 3, 3, 17 }, { 8, 3, 50 }, { 8, 6, 170 } };
}

ClusterSize
ClusterDesignSize()
{
  return { 8, 4, 250 };
}

ClusterCost
MeasureClusterCost(const ClusterSize& aSize,
                   absl::Duration aDuration,
                   int aFirstPort,
                   std::uint64_t aSeed)
{
  const MeasuredDaemons daemons = StartDaemons(aSize, aFirstPort);
  const auto count = static_cast<std::size_t>(aSize.Daemons());
  Await(
    [&] {
      return std::ranges::all_of(daemons, [&](const auto& aDaemon) {
        return SeesAllAlive(*aDaemon, count);
      });
    },
    "the daemons did not join the cluster");
  // Leaves the exchange of member lists after the join out of the cost.
  absl::SleepFor(absl::Seconds(3));
  const absl::Time start = MonotonicNow();
  const absl::Duration processor = ProcessorTime();
  const std::uint64_t bytes = AllBytes(daemons);
  const std::uint64_t heartbeats = HeartbeatBytes(daemons);
  RunLoad(daemons, aSize, aDuration, aSeed);
  const double daemonSeconds =
    absl::ToDoubleSeconds(MonotonicNow() - start) * aSize.Daemons();
  ClusterCost cost;
  cost.m_size = aSize;
  cost.m_bytesPerSecond =
    static_cast<double>(AllBytes(daemons) - bytes) / daemonSeconds;
  cost.m_heartbeatBytesPerSecond =
    static_cast<double>(HeartbeatBytes(daemons) - heartbeats) / daemonSeconds;
  cost.m_cores =
    absl::ToDoubleSeconds(ProcessorTime() - processor) / daemonSeconds;
  daemons.front()->SetVersion(1);
  cost.m_spreadSeconds = Await(
    [&] {
      return std::ranges::all_of(
        daemons, [](const auto& aDaemon) { return aDaemon->Version() == 1; });
    },
    "the configuration did not reach every daemon");
  return cost;
}

ClusterSlope
SlopeOf(const std::vector<ClusterCost>& aCosts)
{
  const auto slope = [&aCosts](double ClusterCost::*aValue) {
    const auto count = static_cast<double>(aCosts.size());
    double sumX = 0;
    double sumY = 0;
    double sumXx = 0;
    double sumXy = 0;
    for (const ClusterCost& cost : aCosts) {
      const double x = cost.m_size.Daemons();
      sumX += x;
      sumY += cost.*aValue;
      sumXx += x * x;
      sumXy += x * (cost.*aValue);
    }
    const double denominator = count * sumXx - sumX * sumX;
    return denominator > 0 ? (count * sumXy - sumX * sumY) / denominator : 0.0;
  };
  return { slope(&ClusterCost::m_bytesPerSecond),
           slope(&ClusterCost::m_cores) };
}

}
