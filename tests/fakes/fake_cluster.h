#pragma once

#include "cluster/cluster_protocol.h"
#include "core/metrics.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace bramleystall {

struct FakeClusterSettings
{
  std::uint64_t m_seed = 1;
  int m_workers = 3;
  absl::Duration m_maxDeadline = absl::Seconds(5);
  absl::Duration m_maxDelay = absl::Milliseconds(20);
  /** Fraction of the messages that is lost. */
  double m_lossRate = 0.01;
  /** Largest difference of a daemon's clock from the simulated time. */
  absl::Duration m_daemonSkew = absl::Milliseconds(2500);
  /** Replaces the claim owner rule or the slot shares by the naive version. */
  bool m_usesNaiveOwner = false;
  bool m_usesNaiveSlots = false;
};

/**
 * Simulates the daemons of one data centre in one thread, with a simulated
 * clock. Messages are delayed, reordered and lost; daemons crash, freeze and
 * restart. Each daemon runs the real ClusterProtocol. Requests at a worker run
 * to their end, whatever happens to the daemon that sent them.
 */
class FakeCluster
{
public:
  explicit FakeCluster(FakeClusterSettings aSettings);

  static constexpr absl::Duration kStep = absl::Milliseconds(10);

  /** Starts a daemon as a new process, or restarts one that was killed. */
  void Start(const std::string& aDaemon);
  void Kill(const std::string& aDaemon);
  /**
   * Stops a daemon, which sends a goodbye to the others; its requests continue
   * to run. A frozen daemon is killed without a goodbye.
   */
  void Leave(const std::string& aDaemon);
  void Freeze(const std::string& aDaemon, absl::Duration aFor);
  bool IsRunning(const std::string& aDaemon) const;
  std::vector<std::string> Running() const;

  /**
   * Sets the number of requests that wait at a daemon for each worker. Each
   * step refills the number.
   */
  void SetWaiting(const std::string& aDaemon, int aWaiting);

  /**
   * Claims an id at a daemon and counts the outcome. Does nothing while the
   * daemon is frozen.
   */
  void Claim(const std::string& aDaemon, const Uuid7& aId);

  void Run(absl::Duration aFor);

  absl::Time Now() const { return m_now; }
  std::mt19937_64& Random() { return m_random; }

  /** Largest number of requests that ran at one worker at once. */
  int MostInFlight() const { return m_mostInFlight; }
  /** Number of requests that run at all workers now. */
  int InFlight() const;
  /** Number of requests of one daemon that run at all workers now. */
  int InFlight(const std::string& aDaemon) const;
  /** Number of slots that the running daemons hold in quarantine. */
  int Quarantined() const;
  /** Number of grants by id. */
  const std::map<std::string, int>& Grants() const { return m_grants; }
  int MostGrants() const;
  const std::map<ClaimOutcome, int>& Outcomes() const { return m_outcomes; }
  std::uint64_t Count(const std::string& aMetric,
                      const MetricLabels& aLabels) const
  {
    return m_metrics.CounterValue(aMetric, aLabels);
  }
  const ClusterProtocol& Protocol(const std::string& aDaemon) const
  {
    return *m_daemons.at(aDaemon).m_protocol;
  }

private:
  struct Daemon
  {
    /** Distinguishes successive processes of a daemon with the same name. */
    std::string m_process;
    std::unique_ptr<ClusterProtocol> m_protocol;
    absl::Duration m_skew;
    absl::Time m_frozenUntil;
    absl::Time m_nextTick;
    int m_waiting = 0;
    std::map<std::string, int> m_allowance;
    std::vector<std::string> m_inbox;
  };
  struct Packet
  {
    std::string m_address;
    std::string m_bytes;
    bool operator==(const Packet&) const = default;
  };
  struct Request
  {
    /** Process that sent the request. */
    std::string m_process;
    absl::Time m_end;
  };

  CallTime TimeOf(const Daemon& aDaemon) const;
  void Step();
  void Deliver();
  void RunDaemon(Daemon& aDaemon);
  void SendRequests(Daemon& aDaemon);
  void RunClaimCallbacks(const ProtocolEffects& aEffects);
  std::vector<SlotUsage> Usages(const Daemon& aDaemon) const;
  int InFlightAt(const std::string& aProcess, const std::string& aVm) const;
  std::vector<PeerAddress> Seeds() const;

  FakeClusterSettings m_settings;
  std::mt19937_64 m_random;
  absl::Time m_now;
  Metrics m_metrics;
  std::map<std::string, Daemon> m_daemons;
  std::multimap<absl::Time, Packet> m_packets;
  std::map<std::string, std::vector<Request>> m_workers;
  int m_processes = 0;
  int m_mostInFlight = 0;
  std::map<std::string, int> m_grants;
  std::map<ClaimOutcome, int> m_outcomes;
};

}
