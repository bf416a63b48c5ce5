#pragma once

#include "consul/http_client.h"
#include "core/metrics.h"

#include <absl/time/time.h>

#include <atomic>
#include <string>

namespace bramleystall {

/** Connection settings of the platform's HTTP API. */
struct ConsulSettings
{
  /** Scheme, address and port, "http://127.0.0.1:8500". */
  std::string m_baseUrl = "http://127.0.0.1:8500";
  /** Time-out of one call; a watch adds its waiting time. */
  absl::Duration m_timeout = absl::Seconds(2);
  absl::Duration m_connectTimeout = absl::Seconds(1);
};

/**
 * Client of the Consul HTTP API v1 with counters for each kind of call:
 * `bramleystall_store_calls_total{kind}`,
 * `bramleystall_store_errors_total{kind,reason}` and the histogram
 * `bramleystall_store_call_seconds{kind}`.
 */
class ConsulClient
{
public:
  /** The metrics must outlive the client; null disables them. */
  ConsulClient(const ConsulSettings& aSettings, Metrics* aMetrics);

  /** Sends a GET, which libcurl may repeat. Throws HttpError. */
  ClientResponse Read(const std::string& aKind, const std::string& aPath);

  /**
   * Sends a blocking GET, whose time-out is extended by the waiting time.
   * Throws HttpError, also after StopWatches.
   */
  ClientResponse Watch(const std::string& aPath, absl::Duration aWait);

  /** Sends a PUT at most once, on a fresh connection. Throws HttpError. */
  ClientResponse Put(const std::string& aKind,
                     const std::string& aPath,
                     const std::string& aBody);

  /** Cancels pending watches within about a second and rejects new ones. */
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
