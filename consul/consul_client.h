#pragma once

#include "consul/http_client.h"
#include "core/metrics.h"

#include <absl/time/time.h>

#include <atomic>
#include <string>

namespace bramleystall {

/** How the platform's HTTP API is reached. */
struct ConsulSettings
{
  /** Scheme, address and port, "http://127.0.0.1:8500". */
  std::string m_baseUrl = "http://127.0.0.1:8500";
  /** Longest time of one call; a watch may take its waiting time in addition.
   */
  absl::Duration m_timeout = absl::Seconds(2);
  absl::Duration m_connectTimeout = absl::Seconds(1);
};

/**
 * Calls of the Consul HTTP API v1 with counters for each kind of call:
 * `bramleystall_store_calls_total{kind}`,
 * `bramleystall_store_errors_total{kind,reason}` and the histogram
 * `bramleystall_store_call_seconds{kind}`.
 */
class ConsulClient
{
public:
  /** Uses the metrics for its whole life; null means no metrics. */
  ConsulClient(const ConsulSettings& aSettings, Metrics* aMetrics);

  /** Reads; may be repeated by libcurl. Throws HttpError. */
  ClientResponse Read(const std::string& aKind, const std::string& aPath);

  /**
   * Reads with an additional waiting time. Throws HttpError, also after
   * StopWatches.
   */
  ClientResponse Watch(const std::string& aPath, absl::Duration aWait);

  /** Sends a PUT exactly once, on a fresh connection. Throws HttpError. */
  ClientResponse Put(const std::string& aKind,
                     const std::string& aPath,
                     const std::string& aBody);

  /** Ends waiting watches within about a second and prevents new ones. */
  void StopWatches() { m_isStopped = true; }

  void CountError(const std::string& aKind, const std::string& aReason);

private:
  ClientResponse Call(const std::string& aKind, const ClientRequest& aRequest);
  ClientRequest MakeRequest(const std::string& aMethod,
                            const std::string& aPath) const;

  ConsulSettings m_settings;
  Metrics* m_metrics;
  HttpClient m_http;
  std::atomic<bool> m_isStopped{ false };
};

}
