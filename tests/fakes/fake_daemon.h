#pragma once

#include "cluster/cluster_node.h"
#include "core/metrics.h"

#include <absl/time/time.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace bramleystall {

/**
 * Daemon reduced to the state that its cluster node uses: a configuration
 * version, and the demand and the allowance for each worker. It has no callers
 * and no targets.
 */
class FakeDaemon
{
public:
  FakeDaemon(const PeerAddress& aSelf,
             std::vector<PeerAddress> aSeeds,
             absl::Duration aMaxDeadline = absl::Seconds(30));

  ClusterNode& Node() { return *m_node; }
  Metrics& Counters() { return m_metrics; }

  /** Ends the node without a goodbye, as a crash does. */
  void Crash() { m_node.reset(); }

  void SetConfiguration(std::uint64_t aVersion);
  std::uint64_t ConfigurationVersion() const;

  /** Sets the number of requests that wait for each of the workers. */
  void SetDemand(const std::vector<std::string>& aVms, int aWaiting);

  /** Allowance at a worker; 0 for an unknown worker. */
  int Allowance(const std::string& aVm) const;

  /** Sum of the allowances at all workers. */
  int TotalAllowance() const;

  /** Claims an id and waits for the outcome. */
  ClaimOutcome ClaimAndWait(const std::string& aRequestId);

  std::size_t CountLiveness(Liveness aLiveness) const;

private:
  ClusterHooks MakeHooks();

  mutable std::mutex m_mutex;
  std::uint64_t m_version = 0;
  std::map<std::string, SlotUsage> m_usages;
  Metrics m_metrics;
  std::unique_ptr<ClusterNode> m_node;
};

/** Address of a daemon on this machine. */
PeerAddress
LocalPeer(const std::string& aDaemon,
          const std::string& aDataCentre,
          int aPort);

/**
 * Polls a condition every 10 ms. Returns false when it is still false at the
 * time-out.
 */
bool
WaitFor(absl::Duration aTimeout, const std::function<bool()>& aCondition);

}
