#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <vector>

namespace bramleystall {

/** Number of the daemons that run in this process, and of their workers. */
struct ClusterSize
{
  int m_daemonsPerDataCentre = 3;
  int m_dataCentres = 3;
  int m_workersPerDataCentre = 17;

  int Daemons() const { return m_daemonsPerDataCentre * m_dataCentres; }
};

/** Cost of the peer protocol for each daemon: the mean of all daemons. */
struct ClusterCost
{
  ClusterSize m_size;
  /** Message bytes sent and received per second, without TCP/IP headers. */
  double m_bytesPerSecond = 0;
  /** Part of `m_bytesPerSecond` that belongs to heartbeats. */
  double m_heartbeatBytesPerSecond = 0;
  /** Processor time of one daemon as a fraction of one core. */
  double m_cores = 0;
  /** Seconds until every daemon has a new configuration. */
  double m_spreadSeconds = 0;
};

/** Cost that each further daemon adds, by linear least squares. */
struct ClusterSlope
{
  double m_bytesPerSecondPerDaemon = 0;
  double m_coresPerDaemon = 0;
};

/**
 * Today's size of the consortium, three times its workers and daemons, and ten
 * times its workers with five times its daemons. More daemons would need more
 * connections than one process may open.
 */
std::vector<ClusterSize>
ClusterSizesToMeasure();

/** 4 data centres with 8 daemons and 250 workers each. */
ClusterSize
ClusterDesignSize();

/**
 * Runs daemons on the loopback interface. After they have joined, applies a
 * load for `aDuration` that moves between pools of ten workers. Uses
 * consecutive ports from `aFirstPort`, one for each daemon. Throws Error
 * (Unavailable) if the daemons do not join within 30 s, or if the
 * configuration does not reach every daemon within 30 s.
 */
ClusterCost
MeasureClusterCost(const ClusterSize& aSize,
                   absl::Duration aDuration,
                   int aFirstPort,
                   std::uint64_t aSeed);

/** Returns the slopes of the costs over the number of daemons. */
ClusterSlope
SlopeOf(const std::vector<ClusterCost>& aCosts);

}
