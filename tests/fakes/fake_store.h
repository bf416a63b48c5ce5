#pragma once

#include "net/event_loop.h"
#include "store/key_value_store.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bramleystall {

/** Key-value store of the platform in simulated time, shared by its clients. */
class FakeStore
{
public:
  explicit FakeStore(EventLoop& aLoop)
    : m_loop(aLoop)
  {
  }

  /** Sets a key without a condition, as a write by another client. */
  void Set(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);
  /** Value of a key; empty when the key does not exist. */
  std::string Value(const std::string& aKey) const;
  bool Has(const std::string& aKey) const { return m_items.contains(aKey); }

  /** Drops the history, so that watches from older revisions get Compacted. */
  void Compact()
  {
    m_history.clear();
    m_compactedRevision = m_revision;
  }

  CommitResult Apply(const StoreTransaction& aTransaction);
  std::int64_t AddLease(absl::Duration aTtl);
  bool ExtendLease(std::int64_t aLease);
  void RemoveLease(std::int64_t aLease);
  /** Takes a key away although its lease has just been renewed, and the lease
   * as well unless it goes on. */
  void Revoke(const std::string& aKey, bool aDoesLeaseGoOn);
  void RemoveExpiredLeases();

  ReadResult List(const std::string& aPrefix, const std::string& aAfter) const;
  ReadResult EventsAfter(const std::string& aPrefix,
                         std::int64_t aRevision) const;

private:
  struct Lease
  {
    absl::Duration m_ttl;
    absl::Time m_expiresAt;
  };

  void Put(const StorePut& aPut);

  EventLoop& m_loop;
  std::int64_t m_revision = 1;
  std::int64_t m_nextLease = 1;
  std::int64_t m_compactedRevision = 0;
  std::map<std::string, StoreItem> m_items;
  std::vector<StoreItem> m_history;
  std::map<std::int64_t, Lease> m_leases;
};

/** Connection of one daemon to the store, with injected faults. */
class FakeStoreClient : public KeyValueStore
{
public:
  FakeStoreClient(EventLoop& aLoop, FakeStore& aStore)
    : m_loop(aLoop)
    , m_store(aStore)
  {
  }
  ~FakeStoreClient() override { *m_alive = false; }

  /** Calls have no effect and time out. */
  bool m_isPartitioned = false;
  /** Calls have no effect and are refused at once. */
  bool m_isRefusing = false;
  /** Time after which coming lease requests and renewals reach the store. */
  absl::Duration m_leaseCallDelay;
  /** Watches get no response. */
  bool m_isWatchCut = false;
  /** Reads of a single key get no response. */
  bool m_isKeyReadCut = false;
  /** Number of coming commits that are applied, but whose response is lost. */
  int m_lostCommitResponses = 0;
  /** If set, commits for which it returns true have no effect and no response.
   */
  std::function<bool(const StoreTransaction&)> m_isCommitStalled;
  /** If set and it returns a time, a commit gets no response and is applied
   * after that time, even if this client is gone by then. */
  std::function<std::optional<absl::Duration>(const StoreTransaction&)>
    m_commitLateness;
  /** Conflicts carry the keys and revisions of the items, but no values. */
  bool m_areConflictValuesCut = false;
  int m_commitCount = 0;
  /** Number of calls of Get, List and Commit. */
  int m_callCount = 0;
  /** Number of items that List has returned, and their bytes on the wire. */
  std::size_t m_listedItems = 0;
  std::size_t m_listedBytes = 0;
  int m_watchCount = 0;

  void Get(const std::string& aKey, ReadCallback aCallback) override;
  void List(const std::string& aPrefix,
            const std::string& aAfter,
            ReadCallback aCallback) override;
  void Watch(const std::string& aPrefix,
             std::int64_t aAfterRevision,
             absl::Duration aWait,
             ReadCallback aCallback) override;
  void Commit(const StoreTransaction& aTransaction,
              CommitCallback aCallback) override;
  void GrantLease(absl::Duration aTtl, LeaseCallback aCallback) override;
  void RenewLease(std::int64_t aLease, LeaseCallback aCallback) override;
  void RevokeLease(std::int64_t aLease) override;

private:
  bool IsReachable() const { return !m_isPartitioned && !m_isRefusing; }
  /** Time until a call fails that is refused or gets no response. */
  absl::Duration FailureTime() const;
  /** Runs the callback after the delay, unless this client is gone by then. */
  void CallAfter(absl::Duration aDelay, std::function<void()> aCallback);
  void PollWatch(const std::string& aPrefix,
                 std::int64_t aAfterRevision,
                 absl::Time aUntil,
                 const ReadCallback& aCallback);

  EventLoop& m_loop;
  FakeStore& m_store;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
