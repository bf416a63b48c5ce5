#pragma once

#include "cluster/retry_delays.h"
#include "consul/platform_store.h"
#include "core/metrics.h"

#include <absl/time/time.h>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <stop_token>
#include <string>
#include <thread>

namespace bramleystall {

/** Time-outs and retry delays of a watcher. */
struct DocumentWatcherSettings
{
  /** Longest duration of one watch; a longer one needs fewer calls. */
  absl::Duration m_watchTimeout = absl::Seconds(30);
  absl::Duration m_firstRetryDelay = absl::Milliseconds(200);
  /** Bounds the time from the store's recovery to the next watch. */
  absl::Duration m_maxRetryDelay = absl::Seconds(3);
  std::uint64_t m_seed = RandomSeed();
};

/**
 * Watches one key of the store in a thread of its own and calls a hook for each
 * change, also for the value found at the start and for the removal of a key.
 * Several changes in a row may arrive as one.
 *
 * Counters: `bramleystall_document_watch_changes_total{key}`,
 * `bramleystall_document_watch_errors_total{key}`,
 * `bramleystall_document_watch_hook_failures_total{key}`.
 */
class DocumentWatcher
{
public:
  /** Called in the watcher's thread. Its exceptions are logged and counted. */
  using Hook = std::function<void(const std::optional<StoreValue>&)>;

  DocumentWatcher(PlatformStore& aStore,
                  std::string aKey,
                  DocumentWatcherSettings aSettings,
                  Hook aHook,
                  Metrics* aMetrics);
  /** Stops the thread; see Stop. */
  ~DocumentWatcher();
  DocumentWatcher(const DocumentWatcher&) = delete;
  DocumentWatcher& operator=(const DocumentWatcher&) = delete;

  void Start();
  /** Waits for the end of the current watch, which
   * PlatformStore::StopWatches ends early. */
  void Stop();

  /** Monotonic time of the store's last response. */
  absl::Time LastResponseTime() const;

private:
  void Run(const std::stop_token& aStop);
  /** Runs one watch; false when the store did not respond. */
  bool WatchOnce();
  void ReportFailure(const std::string& aMessage);
  void RecordResponse();
  void CallHook(const std::optional<StoreValue>& aValue);
  void Wait(const std::stop_token& aStop, absl::Duration aTime);
  void Count(const std::string& aName);

  PlatformStore& m_store;
  std::string m_key;
  DocumentWatcherSettings m_settings;
  Hook m_hook;
  Metrics* m_metrics;
  RetryDelays m_retryDelays;
  std::uint64_t m_revision = 0;
  /** Whether the last watch failed; only changes of it are logged. */
  bool m_isFailing = false;
  mutable std::mutex m_mutex;
  std::condition_variable_any m_wake;
  absl::Time m_lastResponseTime = absl::InfinitePast();
  std::jthread m_thread;
};

}
