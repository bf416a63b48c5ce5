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
 * Mirrors all keys with a prefix: reads them, then watches for changes. If the
 * history was compacted in the meantime, it reads all keys again and reports
 * those that were removed. Changes within the watch delay share one call.
 */
class StoreMirror
{
public:
  /** Called for each changed or removed item, in the order of revisions. */
  using ItemHook = std::function<void(const StoreItem&)>;
  /** Called with true when the mirror is up to date, false when stale. */
  using SyncHook = std::function<void(bool)>;

  /**
   * Starts the first read. After a watch that returned changes, the next watch
   * starts only after aWatchDelay.
   */
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

  /** Monotonic time of the last successful response. */
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
  /** Keys and revisions found by the full read in progress. */
  std::map<std::string, std::int64_t> m_readKeys;
  /** Revision after which the next watch starts. */
  std::int64_t m_revision = 0;
  /** Store revision of the first page of a full read. */
  std::int64_t m_firstPageRevision = 0;
  /** Consecutive failed calls. */
  int m_failures = 0;
  /** The history was compacted, or no full read has been completed. */
  bool m_needsFullRead = true;
  bool m_isSynchronized = false;
  absl::Time m_lastResponseAt;
  /** Checked by callbacks, which may run after the mirror is destroyed. */
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
