#pragma once

#include "tests/measure/measure_result.h"

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace bramleystall {

/** Folders that the measurements with processes need. */
struct ProcessMeasureSettings
{
  /** Folder of the built programs. */
  std::string m_programs;
  std::string m_charts;
};

/**
 * Largest time from the acceptance of a configuration to its effect at a
 * daemon, over 12 publications to all daemons of a deployment of today's size.
 * The baseline polls the store every 5 s, once for each daemon.
 */
MeasureResult
MeasureConfigSpread(const ProcessMeasureSettings& aSettings,
                    const std::string& aDeployment,
                    std::uint64_t aSeed);

/** Control-plane cost of one daemon at some size of the fleet. */
struct DaemonCost
{
  int m_scale = 1;
  int m_vms = 0;
  /** Largest processor time of a daemon, as a fraction of one core. */
  double m_cores = 0;
  /** Largest resident memory of a daemon. */
  double m_memoryMb = 0;
  /** Largest bytes a second of a daemon: peers, store and probes. */
  double m_bytesPerSecond = 0;
  /** Calls a second at the store, by its own count. */
  double m_storeReadsPerSecond = 0;
  double m_storeWatchesPerSecond = 0;
};

/**
 * Runs the daemons of a deployment without callers at 1, 3 and 10 times today's
 * number of VMs, all of them ready, and measures each for some seconds.
 */
std::vector<DaemonCost>
MeasureDaemonCosts(const ProcessMeasureSettings& aSettings,
                   const std::string& aDeployment,
                   std::uint64_t aSeed);

/**
 * The largest of processor time, memory and bytes over what a node may spend,
 * at 970 VMs, from the slope of MeasureDaemonCosts. The baseline is the same
 * without the rule that steady VMs are left out of heartbeats and probed
 * rarely: it is computed from the measured bytes of one probe and one report.
 */
MeasureResult
MeasureDaemonCost(const ProcessMeasureSettings& aSettings,
                  const std::string& aDeployment,
                  std::uint64_t aSeed);

}
