#pragma once

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace bramleystall {

/** Requests a second and latency of one way to the targets. */
struct ThroughputValues
{
  double m_requestsPerSecond = 0;
  double m_p50Micros = 0;
  double m_p99Micros = 0;
  /** Requests without a response of status 200. */
  int m_failed = 0;
};

/** One RequestPath against the direct way to the same targets. */
struct ThroughputResult
{
  int m_httpThreads = 0;
  /** Idempotent requests reuse connections to targets; others do not. */
  bool m_idempotent = true;
  int m_callers = 0;
  ThroughputValues m_direct;
  ThroughputValues m_path;
};

/**
 * Measures 1, 2 and 4 HTTP threads with 16 callers on connections that they
 * keep, each for at most aRunDuration, with idempotent and other requests.
 *
 * @param aChartFile file of the chart `request_attempt`
 */
std::vector<ThroughputResult>
MeasureThroughput(const std::string& aChartFile, absl::Duration aRunDuration);

}
