#pragma once

#include "tests/measure/measure_result.h"

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace bramleystall {

/** Folders used by the measurements that start processes. */
struct ProcessMeasureSettings
{
  /** Folder with the built programs. */
  std::string m_programs;
  /** Folder with the state charts. */
  std::string m_charts;
};

/**
 * Measures the longest time from the acceptance of a configuration until it is
 * in effect at a daemon, over 12 publications and all daemons of a deployment
 * of today's size. The baseline has one reader for each daemon that polls the
 * store every 5 s.
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
  /** Largest processor time of any daemon, as a fraction of one core. */
  double m_cores = 0;
  /** Largest resident memory of any daemon, in MiB. */
  double m_memoryMb = 0;
  /** Largest bytes per second of any daemon: peers, store and probes. */
  double m_bytesPerSecond = 0;
  /** Calls of all daemons per second, as the store counts them. */
  double m_storeReadsPerSecond = 0;
  double m_storeWatchesPerSecond = 0;
};

/**
 * Runs the daemons of a deployment without callers at 1, 3 and 10 times today's
 * number of VMs, all of them ready, and measures each size for 8 s.
 */
std::vector<DaemonCost>
MeasureDaemonCosts(const ProcessMeasureSettings& aSettings,
                   const std::string& aDeployment,
                   std::uint64_t aSeed);

/**
 * Returns the largest of processor time, memory and bytes, each divided by its
 * limit for a daemon, extrapolated to 970 VMs from MeasureDaemonCosts. The
 * baseline is the same without the rule that steady VMs are left out of
 * heartbeats and probed rarely. It is computed, not run: the part of the
 * processor time and bytes that grows with the VMs counts ten times.
 */
MeasureResult
MeasureDaemonCost(const ProcessMeasureSettings& aSettings,
                  const std::string& aDeployment,
                  std::uint64_t aSeed);

}
