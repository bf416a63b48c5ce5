#include "cluster/document_watcher.h"

#include "core/clock.h"
#include "core/error.h"
#include "core/log.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace bramleystall {

DocumentWatcher::DocumentWatcher(PlatformStore& aStore,
                                 std::string aKey,
                                 DocumentWatcherSettings aSettings,
                                 Hook aHook,
                                 Metrics* aMetrics)
  : m_store(aStore)
  , m_key(std::move(aKey))
  , m_settings(aSettings)
  , m_hook(std::move(aHook))
  , m_metrics(aMetrics)
  , m_retryDelays(aSettings.m_firstRetryDelay,
                  aSettings.m_maxRetryDelay,
                  aSettings.m_seed)
{
}

DocumentWatcher::~DocumentWatcher()
{
  Stop();
}

void
DocumentWatcher::Start()
{
  m_thread = std::jthread([this](const std::stop_token& aStop) { Run(aStop); });
}

void
DocumentWatcher::Stop()
{
  m_thread.request_stop();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

absl::Time
DocumentWatcher::LastResponseTime() const
{
  const std::scoped_lock lock(m_mutex);
  return m_lastResponseTime;
}

void
DocumentWatcher::Count(const std::string& aName)
{
  if (m_metrics != nullptr) {
    m_metrics->Count(aName, { { "key", m_key } });
  }
}

void
DocumentWatcher::Wait(const std::stop_token& aStop, absl::Duration aTime)
{
  std::unique_lock lock(m_mutex);
  m_wake.wait_for(
    lock, aStop, absl::ToChronoNanoseconds(aTime), [] { return false; });
}

void
DocumentWatcher::Run(const std::stop_token& aStop)
{
  while (!aStop.stop_requested()) {
    const absl::Time start = MonotonicNow();
    const std::uint64_t before = m_revision;
    const bool hasResponse = WatchOnce();
    // A store that returns unchanged values without waiting would otherwise be
    // polled in a tight loop.
    const bool isEarly = m_revision == before &&
                         MonotonicNow() - start < m_settings.m_watchTimeout / 2;
    if (hasResponse && !isEarly) {
      m_retryDelays.Reset();
      continue;
    }
    Wait(aStop, m_retryDelays.Next());
  }
}

bool
DocumentWatcher::WatchOnce()
{
  std::optional<StoreValue> value;
  try {
    value = m_store.WaitForChange(m_key, m_revision, m_settings.m_watchTimeout);
  } catch (const Error& error) {
    ReportFailure(error.what());
    return false;
  }
  RecordResponse();
  const std::uint64_t revision = value ? value->m_revision : 0;
  if (revision != m_revision) {
    m_revision = revision;
    CallHook(value);
  }
  return true;
}

void
DocumentWatcher::ReportFailure(const std::string& aMessage)
{
  Count("bramleystall_document_watch_errors_total");
  if (!std::exchange(m_isFailing, true)) {
    LogWarning(LogPart::Store,
               absl::StrCat("watch of ", m_key, " failed: ", aMessage));
  }
}

void
DocumentWatcher::RecordResponse()
{
  if (std::exchange(m_isFailing, false)) {
    LogInfo(LogPart::Store,
            absl::StrCat("watch of ", m_key, " succeeds again"));
  }
  const std::scoped_lock lock(m_mutex);
  m_lastResponseTime = MonotonicNow();
}

void
DocumentWatcher::CallHook(const std::optional<StoreValue>& aValue)
{
  Count("bramleystall_document_watch_changes_total");
  try {
    m_hook(aValue);
  } catch (const std::exception& error) {
    // A malformed document must not end the watch, which delivers the next one.
    Count("bramleystall_document_watch_hook_failures_total");
    LogError(LogPart::Store,
             absl::StrCat("change of ", m_key, " rejected: ", error.what()));
  }
}

}
