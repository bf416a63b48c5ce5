#include "store/store_mirror.h"

#include "net/event_loop.h"

#include <algorithm>
#include <utility>

namespace bramleystall {

namespace {

/**
 * A silent connection is noticed only when the watch should have returned, so
 * the wait has to be well below the 2 s in which a configuration applies.
 */
constexpr absl::Duration kWatchWait = absl::Milliseconds(1000);
constexpr absl::Duration kFirstRetryDelay = absl::Milliseconds(100);
constexpr int kMaxRetryDoublings = 3;

}

StoreMirror::StoreMirror(EventLoop& aLoop,
                         KeyValueStore& aStore,
                         std::string aPrefix,
                         ItemHook aOnItem,
                         SyncHook aOnSync,
                         absl::Duration aWatchPause)
  : m_loop(aLoop)
  , m_store(aStore)
  , m_prefix(std::move(aPrefix))
  , m_onItem(std::move(aOnItem))
  , m_onSync(std::move(aOnSync))
  , m_watchPause(aWatchPause)
{
  Read("");
}

StoreMirror::~StoreMirror()
{
  *m_alive = false;
}

void
StoreMirror::Read(const std::string& aAfter)
{
  if (aAfter.empty()) {
    m_read.clear();
    m_firstAsOf = 0;
  }
  m_store.List(
    m_prefix, aAfter, [this, alive = m_alive](const ReadResult& aResult) {
      if (*alive) {
        OnPage(aResult);
      }
    });
}

void
StoreMirror::OnPage(const ReadResult& aResult)
{
  if (aResult.m_status != ReadStatus::Ok) {
    Retry();
    return;
  }
  m_lastAnswerAt = m_loop.Now();
  if (m_firstAsOf == 0) {
    m_firstAsOf = aResult.m_asOf;
  }
  const auto alive = m_alive;
  for (const StoreItem& item : aResult.m_items) {
    m_read[item.m_key] = item.m_revision;
    Apply(item);
    if (!*alive) {
      return;
    }
  }
  if (aResult.m_hasMore && !aResult.m_items.empty()) {
    Read(aResult.m_items.back().m_key);
    return;
  }
  FinishRead();
}

void
StoreMirror::FinishRead()
{
  std::vector<std::string> removed;
  for (const auto& [key, revision] : m_known) {
    if (!m_read.contains(key) && revision <= m_firstAsOf) {
      removed.push_back(key);
    }
  }
  const auto alive = m_alive;
  for (const std::string& key : removed) {
    Apply({ .m_key = key, .m_revision = m_firstAsOf, .m_isRemoved = true });
    if (!*alive) {
      return;
    }
  }
  m_read.clear();
  m_mustRead = false;
  // Pages are no snapshot: changes since the first page come by the watch.
  m_revision = m_firstAsOf;
  m_failures = 0;
  SetSynchronized(true);
  if (*alive) {
    Watch();
  }
}

void
StoreMirror::Watch()
{
  m_store.Watch(m_prefix,
                m_revision,
                kWatchWait,
                [this, alive = m_alive](const ReadResult& aResult) {
                  if (*alive) {
                    OnEvents(aResult);
                  }
                });
}

void
StoreMirror::OnEvents(const ReadResult& aResult)
{
  if (aResult.m_status != ReadStatus::Ok) {
    m_mustRead = aResult.m_status == ReadStatus::Compacted;
    Retry();
    return;
  }
  m_lastAnswerAt = m_loop.Now();
  m_failures = 0;
  const auto alive = m_alive;
  for (const StoreItem& item : aResult.m_items) {
    Apply(item);
    if (!*alive) {
      return;
    }
  }
  m_revision = std::max(m_revision, aResult.m_asOf);
  SetSynchronized(true);
  if (!*alive) {
    return;
  }
  if (aResult.m_items.empty() || m_watchPause == absl::ZeroDuration()) {
    Watch();
    return;
  }
  m_loop.After(m_watchPause, [this, alive] {
    if (*alive) {
      Watch();
    }
  });
}

void
StoreMirror::Retry()
{
  SetSynchronized(false);
  const int doublings = std::min(m_failures, kMaxRetryDoublings);
  ++m_failures;
  m_loop.After(kFirstRetryDelay * (1 << doublings), [this, alive = m_alive] {
    if (!*alive) {
      return;
    }
    if (m_mustRead) {
      Read("");
    } else {
      Watch();
    }
  });
}

void
StoreMirror::SetSynchronized(bool aIsSynchronized)
{
  if (m_isSynchronized != aIsSynchronized) {
    m_isSynchronized = aIsSynchronized;
    m_onSync(aIsSynchronized);
  }
}

void
StoreMirror::Apply(const StoreItem& aItem)
{
  const auto found = m_known.find(aItem.m_key);
  if (found != m_known.end() && found->second >= aItem.m_revision &&
      !(aItem.m_isRemoved && found->second == aItem.m_revision)) {
    return;
  }
  if (aItem.m_isRemoved) {
    if (found == m_known.end()) {
      return;
    }
    m_known.erase(found);
  } else {
    m_known[aItem.m_key] = aItem.m_revision;
  }
  m_onItem(aItem);
}

}
