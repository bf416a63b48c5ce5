#pragma once

#include "core/daemon_settings.h"
#include "core/metrics.h"
#include "core/state_chart.h"

#include <memory>
#include <string>

namespace bramleystall {

/**
 * One `bramleystalld` process: connects the request path, the cluster node, the
 * platform's store, the decider and the admin server.
 */
class Daemon
{
public:
  /** aChartsFolder holds the state charts. Throws Error when one is missing. */
  Daemon(DaemonSettings aSettings, const std::string& aChartsFolder);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /** Starts to listen and to serve. Throws Error. */
  void Start();

  /**
   * Shuts down gracefully: refuses new requests, finishes those in flight and
   * leaves the cluster. Waits for requests at most for the drain time-out.
   */
  void Shutdown();

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}
