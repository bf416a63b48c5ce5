#pragma once

#include "server/probe_state.h"

#include <absl/time/time.h>

#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace bramleystall {

class Metrics;

/** Path and timing of the probes. */
struct ProbeSettings
{
  std::string m_path = "/healthz";
  /** Interval for a VM with enough consecutive successes. With 970 VMs and 8
   * daemons a daemon probes 121 VMs, which at 10 s stays below half of 7 KB a
   * second. */
  absl::Duration m_healthyInterval = absl::Seconds(10);
  /** Interval for all other VMs, such as one whose last probe failed. */
  absl::Duration m_unhealthyInterval = absl::Seconds(1);
  absl::Duration m_timeout = absl::Seconds(1);
  /** Consecutive successes after which the longer interval applies. */
  int m_successesForHealthyInterval = 3;
};

/** A VM to probe. */
struct ProbeTarget
{
  std::string m_address;
  /** Whether the VM is probed at the short interval even while healthy, since
   * a change depends on its health, as during a reboot. */
  bool m_isWatched = false;
};

/**
 * Probes VMs over new connections, since a VM may respond on a kept-alive
 * connection while it refuses new ones. Runs on a thread of its own.
 */
class TargetProber
{
public:
  TargetProber(ProbeSettings aSettings, Metrics& aMetrics);
  ~TargetProber();
  TargetProber(const TargetProber&) = delete;
  TargetProber& operator=(const TargetProber&) = delete;

  void Start();
  void Stop();

  /** Sets the VMs to probe. Keeps the state of a VM whose address is
   * unchanged. */
  void SetTargets(const std::map<std::string, ProbeTarget>& aTargets);

  /** State of each VM that is probed. */
  std::map<std::string, ProbeState> States() const;

private:
  void Run(const std::stop_token& aStop);
  std::map<std::string, std::string> CollectDueProbes(absl::Time aNow);
  void RecordResult(const std::string& aVm,
                    const std::string& aAddress,
                    bool aSucceeded);

  const ProbeSettings m_settings;
  Metrics& m_metrics;
  mutable std::mutex m_mutex;
  std::map<std::string, ProbeState> m_states;
  std::jthread m_thread;
};

}
