#pragma once

#include "store/key_value_store.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
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

  void Schedule(absl::Duration aDelay);
  void Flush();
  void OnCommitted(const std::vector<std::string>& aKeys,
                   const CommitResult& aResult);
  void RunBarriers();
  std::uint64_t OldestOpenGeneration() const;

  struct Document
  {
    std::string m_value;
    std::uint64_t m_generation = 0;
    absl::Time m_queuedAt = absl::InfiniteFuture();
  };

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
