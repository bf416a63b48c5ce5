#pragma once

#include "store/key_value_store.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace bramleystall {

class EventLoop;

/**
 * Follows all keys with a prefix: reads them, then watches for changes. After
 * a gap in the history it reads again and reports what was removed meanwhile.
 * Changes that come within the watch pause share one call.
 */
class StoreMirror
{
public:
  /** Receives each changed or removed item, in the order of revisions. */
  using ItemHook = std::function<void(const StoreItem&)>;
  /** Receives true once the first full read is done, false when stale. */
  using SyncHook = std::function<void(bool)>;

  StoreMirror(EventLoop& aLoop,
              KeyValueStore& aStore,
              std::string aPrefix,
              ItemHook aOnItem,
              SyncHook aOnSync,
              absl::Duration aWatchDelay = absl::ZeroDuration());
  ~StoreMirror();
  StoreMirror(const StoreMirror&) = delete;
  StoreMirror& operator=(const StoreMirror&) = delete;

  /** True while the last read or watch succeeded. */
  bool IsSynchronized() const { return m_isSynchronized; }

  /** Monotonic time of the last successful answer. */
  absl::Time LastResponseAt() const { return m_lastResponseAt; }

private:
  void Read(const std::string& aAfter);
  void OnPage(const ReadResult& aResult);
  void FinishRead();
  void Watch();
  void OnEvents(const ReadResult& aResult);
  void Retry();
  void SetSynchronized(bool aIsSynchronized);
  void Apply(const StoreItem& aItem);

  EventLoop& m_loop;
  KeyValueStore& m_store;
  std::string m_prefix;
  ItemHook m_onItem;
  SyncHook m_onSync;
  absl::Duration m_watchDelay;
  /** Revision of each known key. */
  std::map<std::string, std::int64_t> m_knownRevisions;
  /** Keys of the full read in progress. */
  std::map<std::string, std::int64_t> m_readKeys;
  std::int64_t m_revision = 0;
  std::int64_t m_firstPageRevision = 0;
  int m_failures = 0;
  /** The history since m_revision is gone, or there was no full read yet. */
  bool m_needsFullRead = true;
  bool m_isSynchronized = false;
  absl::Time m_lastResponseAt;
  /** Callbacks check this token, since they may outlive the mirror. */
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
