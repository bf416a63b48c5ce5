#pragma once

#include "store/key_value_store.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bramleystall {

class EventLoop;

/**
 * Writes documents of the owner to the store in batches. Each write is
 * conditional on the owner key and on the document's revision, so neither a
 * previous owner nor a late write of this one can replace a newer value.
 */
class ProgressWriter
{
public:
  using StoredHook = std::function<void()>;

  /** Change that ends a document; see Replace. */
  struct Replacement
  {
    std::optional<StorePut> m_put;
    /** Keys that are removed, in addition to the document's own. */
    std::vector<std::string> m_removals;
  };

  /** aFencingToken: revision of the owner key while this daemon holds it. */
  ProgressWriter(EventLoop& aLoop,
                 KeyValueStore& aStore,
                 std::string aOwnerKey,
                 std::int64_t aFencingToken);
  ~ProgressWriter();
  ProgressWriter(const ProgressWriter&) = delete;
  ProgressWriter& operator=(const ProgressWriter&) = delete;

  /** Sets the revision of a document that was read at the takeover. */
  void SetRevision(const std::string& aKey, std::int64_t aRevision);

  /** Queues the newest value of a document. */
  void Put(const std::string& aKey, std::string aValue);

  /**
   * Queues the removal of a document and of other keys, and the put that takes
   * their place. It is the last change of the document.
   */
  void Replace(const std::string& aKey, Replacement aReplacement);

  /** Writes the queued documents without waiting for more. */
  void FlushSoon() { Schedule(absl::ZeroDuration()); }

  /** A document has been waiting for longer than a write usually takes. */
  bool IsBehind() const;

  /** Calls back once all documents put so far are stored; at once if so. */
  void AfterStored(StoredHook aHook);

  /** Documents that are not stored yet. */
  std::size_t Backlog() const { return m_pending.size() + m_writing.size(); }

private:
  struct Barrier
  {
    std::uint64_t m_generation;
    StoredHook m_hook;
  };

  struct Document
  {
    std::string m_value;
    /** Replaces the document instead of storing m_value. */
    std::optional<Replacement> m_replacement;
    std::uint64_t m_generation = 0;
    absl::Time m_queuedAt = absl::InfiniteFuture();
  };

  void Schedule(absl::Duration aDelay);
  void Flush();
  void OnCommitted(const std::vector<std::string>& aKeys,
                   const CommitResult& aResult);
  Document& Queue(const std::string& aKey);
  /** Adds a document to a transaction; false when it does not fit. */
  bool AddTo(StoreTransaction& aTransaction,
             const std::string& aKey,
             const Document& aDocument);
  void RunBarriers();
  std::uint64_t OldestOpenGeneration() const;

  EventLoop& m_loop;
  KeyValueStore& m_store;
  std::string m_ownerKey;
  std::int64_t m_fencingToken;
  std::map<std::string, std::int64_t> m_revisions;
  std::map<std::string, Document> m_pending;
  std::map<std::string, Document> m_writing;
  std::uint64_t m_generation = 1;
  std::vector<Barrier> m_barriers;
  std::uint64_t m_timer = 0;
  /** Time of the scheduled flush; infinite if there is none. */
  absl::Time m_flushAt = absl::InfiniteFuture();
  int m_openCommits = 0;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
