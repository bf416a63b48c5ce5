#pragma once

#include "server/probe_state.h"

#include <absl/time/time.h>

#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace bramleystall {

class Metrics;

/** Timing of the probes. */
struct ProbeSettings
{
  std::string m_path = "/healthz";
  /** Interval for a VM whose last probe succeeded. With 970 VMs and 8 daemons a
   * daemon probes 121 VMs, which at 10 s stays under half of 7 KB a second. */
  absl::Duration m_healthyInterval = absl::Seconds(10);
  /** Interval for a VM whose last probe failed, or that is not ready. */
  absl::Duration m_unhealthyInterval = absl::Seconds(1);
  absl::Duration m_timeout = absl::Seconds(1);
  /** Successes after which the longer interval applies. */
  int m_successesForHealthyInterval = 3;
};

/** A VM to probe. */
struct ProbeTarget
{
  std::string m_address;
  /** Whether its health decides a change soon, as during a reboot. */
  bool m_isWatched = false;
};

/**
 * Probes VMs over fresh connections, since a kept-alive connection may answer
 * while the VM refuses new ones. Runs one thread.
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

  /** Sets the VMs to probe. Keeps the state of those at the same address. */
  void SetTargets(const std::map<std::string, ProbeTarget>& aTargets);

  /** State of each VM that this prober probes. */
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
