#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <vector>

namespace bramleystall {

/** Size of a set of daemons that run in this process. */
struct ClusterSize
{
  int m_daemonsPerDataCentre = 3;
  int m_dataCentres = 3;
  int m_workersPerDataCentre = 17;

  int Daemons() const { return m_daemonsPerDataCentre * m_dataCentres; }
};

/** Cost of the peer protocol for one daemon, the mean over all daemons. */
struct ClusterCost
{
  ClusterSize m_size;
  /** Bytes of messages sent and received per second, without TCP/IP headers. */
  double m_bytesPerSecond = 0;
  /** The part of the bytes that are heartbeats. */
  double m_heartbeatBytesPerSecond = 0;
  /** Processor time of the process as a fraction of one core. */
  double m_cores = 0;
  /** Seconds until a new configuration was at every daemon. */
  double m_spreadSeconds = 0;
};

/** Growth of the cost with each further daemon, by least squares. */
struct ClusterSlope
{
  double m_bytesPerSecondPerDaemon = 0;
  double m_coresPerDaemon = 0;
};

/**
 * Today's size of the consortium, three times its workers and daemons, and ten
 * times its workers with five times the daemons. More daemons need more
 * connections than one process may open.
 */
std::vector<ClusterSize>
ClusterSizesToMeasure();

/** 8 daemons in each of 4 data centres with 250 workers. */
ClusterSize
ClusterDesignSize();

/**
 * Runs daemons on loopback with a load that moves between pools of ten
 * workers, for a time after they joined. Uses one port for each daemon from
 * `aFirstPort`. Throws Error when they do not join within 30 s, or when the
 * configuration does not reach every daemon within 30 s.
 */
ClusterCost
MeasureClusterCost(const ClusterSize& aSize,
                   absl::Duration aDuration,
                   int aFirstPort,
                   std::uint64_t aSeed);

ClusterSlope
SlopeOf(const std::vector<ClusterCost>& aCosts);

}
