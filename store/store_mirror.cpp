#include "store/store_mirror.h"

#include "net/event_loop.h"

#include <algorithm>
#include <utility>

namespace bramleystall {

namespace {

/**
 * A dead connection is detected only when the watch should have returned, so
 * this has to be well below the 2 s within which a configuration must apply.
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
                         absl::Duration aWatchDelay)
  : m_loop(aLoop)
  , m_store(aStore)
  , m_prefix(std::move(aPrefix))
  , m_onItem(std::move(aOnItem))
  , m_onSync(std::move(aOnSync))
  , m_watchDelay(aWatchDelay)
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
    m_readKeys.clear();
    m_firstPageRevision = 0;
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
  m_lastResponseAt = m_loop.Now();
  if (m_firstPageRevision == 0) {
    m_firstPageRevision = aResult.m_storeRevision;
  }
  const auto alive = m_alive;
  for (const StoreItem& item : aResult.m_items) {
    m_readKeys[item.m_key] = item.m_revision;
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
  for (const auto& [key, revision] : m_knownRevisions) {
    if (!m_readKeys.contains(key) && revision <= m_firstPageRevision) {
      removed.push_back(key);
    }
  }
  const auto alive = m_alive;
  for (const std::string& key : removed) {
    Apply(
      { .m_key = key, .m_revision = m_firstPageRevision, .m_isRemoved = true });
    if (!*alive) {
      return;
    }
  }
  m_readKeys.clear();
  m_needsFullRead = false;
  // The pages are not a consistent snapshot; the watch delivers all changes
  // since the first page.
  m_revision = m_firstPageRevision;
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
    m_needsFullRead = aResult.m_status == ReadStatus::Compacted;
    Retry();
    return;
  }
  m_lastResponseAt = m_loop.Now();
  m_failures = 0;
  const auto alive = m_alive;
  for (const StoreItem& item : aResult.m_items) {
    Apply(item);
    if (!*alive) {
      return;
    }
  }
  m_revision = std::max(m_revision, aResult.m_storeRevision);
  SetSynchronized(true);
  if (!*alive) {
    return;
  }
  if (aResult.m_items.empty() || m_watchDelay == absl::ZeroDuration()) {
    Watch();
    return;
  }
  m_loop.After(m_watchDelay, [this, alive] {
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
    if (m_needsFullRead) {
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
  const auto found = m_knownRevisions.find(aItem.m_key);
  if (found != m_knownRevisions.end() && found->second >= aItem.m_revision &&
      !(aItem.m_isRemoved && found->second == aItem.m_revision)) {
    return;
  }
  if (aItem.m_isRemoved) {
    if (found == m_knownRevisions.end()) {
      return;
    }
    m_knownRevisions.erase(found);
  } else {
    m_knownRevisions[aItem.m_key] = aItem.m_revision;
  }
  m_onItem(aItem);
}

}
