#pragma once

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace bramleystall {

/** Throughput and latency of one route to the targets. */
struct ThroughputValues
{
  double m_requestsPerSecond = 0;
  double m_p50Micros = 0;
  double m_p99Micros = 0;
  /** Callers that stopped after a request without a response of status 200. */
  int m_failed = 0;
};

/** A RequestPath in comparison with direct requests to the same targets. */
struct ThroughputResult
{
  int m_httpThreads = 0;
  /** Idempotent requests reuse connections to targets; other requests do not.
   */
  bool m_idempotent = true;
  int m_callers = 0;
  ThroughputValues m_direct;
  ThroughputValues m_path;
};

/**
 * Measures 1, 2 and 4 HTTP threads with idempotent and other requests. Each run
 * has 16 callers on persistent connections and takes at most `aRunDuration`.
 *
 * @param aChartFile path of the chart `request_attempt`
 */
std::vector<ThroughputResult>
MeasureThroughput(const std::string& aChartFile, absl::Duration aRunDuration);

}
