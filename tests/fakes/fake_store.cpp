#include "tests/fakes/fake_store.h"

#include <algorithm>
#include <utility>

namespace bramleystall {

namespace {

/** Names and revisions of an item in a response; values come as base64. */
constexpr std::size_t kBytesPerItem = 70;
constexpr absl::Duration kLatency = absl::Milliseconds(2);
constexpr absl::Duration kTimeout = absl::Milliseconds(1000);
constexpr absl::Duration kWatchPollInterval = absl::Milliseconds(3);

}

void
FakeStore::Set(const std::string& aKey, const std::string& aValue)
{
  ++m_revision;
  Put({ aKey, aValue, 0 });
}

void
FakeStore::Remove(const std::string& aKey)
{
  if (m_items.erase(aKey) > 0) {
    ++m_revision;
    m_history.push_back(
      { .m_key = aKey, .m_revision = m_revision, .m_isRemoved = true });
  }
}

std::string
FakeStore::Value(const std::string& aKey) const
{
  const auto found = m_items.find(aKey);
  return found == m_items.end() ? "" : found->second.m_value;
}

void
FakeStore::Put(const StorePut& aPut)
{
  const StoreItem item{ .m_key = aPut.m_key,
                        .m_value = aPut.m_value,
                        .m_revision = m_revision,
                        .m_lease = aPut.m_lease };
  m_items[aPut.m_key] = item;
  m_history.push_back(item);
}

CommitResult
FakeStore::Apply(const StoreTransaction& aTransaction)
{
  RemoveExpiredLeases();
  CommitResult result;
  bool holds = true;
  for (const StoreCondition& condition : aTransaction.m_conditions) {
    const auto found = m_items.find(condition.m_key);
    const std::int64_t revision =
      found == m_items.end() ? 0 : found->second.m_revision;
    holds = holds && revision == condition.m_revision;
    if (found != m_items.end()) {
      result.m_current.push_back(found->second);
    }
  }
  if (!holds) {
    result.m_status = CommitStatus::Conflict;
    return result;
  }
  result.m_current.clear();
  const bool hasLeases =
    std::ranges::all_of(aTransaction.m_puts, [this](const StorePut& aPut) {
      return aPut.m_lease == 0 || m_leases.contains(aPut.m_lease);
    });
  if (!hasLeases) {
    result.m_status = CommitStatus::LeaseGone;
    return result;
  }
  ++m_revision;
  for (const StorePut& put : aTransaction.m_puts) {
    Put(put);
  }
  for (const std::string& key : aTransaction.m_removals) {
    if (m_items.erase(key) > 0) {
      m_history.push_back(
        { .m_key = key, .m_revision = m_revision, .m_isRemoved = true });
    }
  }
  result.m_status = CommitStatus::Applied;
  result.m_revision = m_revision;
  return result;
}

std::int64_t
FakeStore::AddLease(absl::Duration aTtl)
{
  const std::int64_t id = m_nextLease++;
  m_leases[id] = { aTtl, m_loop.Now() + aTtl };
  return id;
}

bool
FakeStore::ExtendLease(std::int64_t aLease)
{
  RemoveExpiredLeases();
  const auto found = m_leases.find(aLease);
  if (found == m_leases.end()) {
    return false;
  }
  found->second.m_expiresAt = m_loop.Now() + found->second.m_ttl;
  return true;
}

void
FakeStore::RemoveLease(std::int64_t aLease)
{
  m_leases.erase(aLease);
  std::vector<std::string> keys;
  for (const auto& [key, item] : m_items) {
    if (item.m_lease == aLease) {
      keys.push_back(key);
    }
  }
  for (const std::string& key : keys) {
    Remove(key);
  }
}

void
FakeStore::Revoke(const std::string& aKey, bool aDoesLeaseGoOn)
{
  const std::int64_t lease = m_items.at(aKey).m_lease;
  if (aDoesLeaseGoOn) {
    Remove(aKey);
  } else {
    RemoveLease(lease);
  }
}

void
FakeStore::RemoveExpiredLeases()
{
  std::vector<std::int64_t> expired;
  for (const auto& [id, lease] : m_leases) {
    if (lease.m_expiresAt <= m_loop.Now()) {
      expired.push_back(id);
    }
  }
  for (const std::int64_t id : expired) {
    RemoveLease(id);
  }
}

ReadResult
FakeStore::List(const std::string& aPrefix, const std::string& aAfter) const
{
  // Pages are small, so that tests read more than one.
  constexpr std::size_t kPageSize = 7;
  ReadResult result;
  result.m_status = ReadStatus::Ok;
  result.m_storeRevision = m_revision;
  for (auto it = m_items.lower_bound(aPrefix);
       it != m_items.end() && it->first.starts_with(aPrefix);
       ++it) {
    if (it->first <= aAfter) {
      continue;
    }
    if (result.m_items.size() == kPageSize) {
      result.m_hasMore = true;
      break;
    }
    result.m_items.push_back(it->second);
  }
  return result;
}

ReadResult
FakeStore::EventsAfter(const std::string& aPrefix, std::int64_t aRevision) const
{
  ReadResult result;
  if (aRevision < m_compactedRevision) {
    result.m_status = ReadStatus::Compacted;
    return result;
  }
  result.m_status = ReadStatus::Ok;
  result.m_storeRevision = m_revision;
  std::ranges::copy_if(
    m_history, std::back_inserter(result.m_items), [&](const StoreItem& aItem) {
      return aItem.m_revision > aRevision && aItem.m_key.starts_with(aPrefix);
    });
  return result;
}

absl::Duration
FakeStoreClient::FailureTime() const
{
  return m_isRefusing && !m_isPartitioned ? kLatency : kTimeout;
}

void
FakeStoreClient::CallAfter(absl::Duration aDelay,
                           std::function<void()> aCallback)
{
  m_loop.After(aDelay, [alive = m_alive, callback = std::move(aCallback)] {
    if (*alive) {
      callback();
    }
  });
}

void
FakeStoreClient::Get(const std::string& aKey, ReadCallback aCallback)
{
  ++m_callCount;
  CallAfter(kLatency, [this, aKey, callback = std::move(aCallback)] {
    if (!IsReachable() || m_isKeyReadCut) {
      CallAfter(FailureTime(), [callback] { callback({}); });
      return;
    }
    m_store.RemoveExpiredLeases();
    ReadResult all = m_store.List(aKey, "");
    std::erase_if(all.m_items, [&aKey](const StoreItem& aItem) {
      return aItem.m_key != aKey;
    });
    CallAfter(kLatency, [callback, all] { callback(all); });
  });
}

void
FakeStoreClient::List(const std::string& aPrefix,
                      const std::string& aAfter,
                      ReadCallback aCallback)
{
  ++m_callCount;
  CallAfter(kLatency, [this, aPrefix, aAfter, callback = std::move(aCallback)] {
    if (!IsReachable()) {
      CallAfter(FailureTime(), [callback] { callback({}); });
      return;
    }
    m_store.RemoveExpiredLeases();
    const ReadResult page = m_store.List(aPrefix, aAfter);
    m_listedItems += page.m_items.size();
    for (const StoreItem& item : page.m_items) {
      m_listedBytes +=
        kBytesPerItem + item.m_key.size() + item.m_value.size() * 4 / 3;
    }
    CallAfter(kLatency, [callback, page] { callback(page); });
  });
}

void
FakeStoreClient::Watch(const std::string& aPrefix,
                       std::int64_t aAfterRevision,
                       absl::Duration aWait,
                       ReadCallback aCallback)
{
  ++m_watchCount;
  CallAfter(kLatency,
            [this,
             aPrefix,
             aAfterRevision,
             until = m_loop.Now() + aWait,
             callback = std::move(aCallback)] {
              PollWatch(aPrefix, aAfterRevision, until, callback);
            });
}

void
FakeStoreClient::PollWatch(const std::string& aPrefix,
                           std::int64_t aAfterRevision,
                           absl::Time aUntil,
                           const ReadCallback& aCallback)
{
  if (!IsReachable() || m_isWatchCut) {
    CallAfter(FailureTime(), [callback = aCallback] { callback({}); });
    return;
  }
  m_store.RemoveExpiredLeases();
  const ReadResult events = m_store.EventsAfter(aPrefix, aAfterRevision);
  const bool isDone = events.m_status != ReadStatus::Ok ||
                      !events.m_items.empty() || m_loop.Now() >= aUntil;
  if (isDone) {
    CallAfter(kLatency, [callback = aCallback, events] { callback(events); });
    return;
  }
  CallAfter(kWatchPollInterval,
            [this, aPrefix, aAfterRevision, aUntil, aCallback] {
              PollWatch(aPrefix, aAfterRevision, aUntil, aCallback);
            });
}

void
FakeStoreClient::Commit(const StoreTransaction& aTransaction,
                        CommitCallback aCallback)
{
  ++m_commitCount;
  ++m_callCount;
  if (m_isCommitStalled && m_isCommitStalled(aTransaction)) {
    return;
  }
  if (const auto lateness =
        m_commitLateness ? m_commitLateness(aTransaction) : std::nullopt) {
    m_loop.After(*lateness, [&store = m_store, aTransaction] {
      store.Apply(aTransaction);
    });
    CallAfter(kTimeout, [callback = std::move(aCallback)] {
      callback({ .m_status = CommitStatus::Unknown });
    });
    return;
  }
  CallAfter(kLatency, [this, aTransaction, callback = std::move(aCallback)] {
    if (!IsReachable()) {
      const CommitStatus status =
        m_isPartitioned ? CommitStatus::Unknown : CommitStatus::NotApplied;
      CallAfter(FailureTime(),
                [callback, status] { callback({ .m_status = status }); });
      return;
    }
    CommitResult result = m_store.Apply(aTransaction);
    if (m_areConflictValuesCut) {
      for (StoreItem& item : result.m_current) {
        item.m_value.clear();
      }
    }
    if (m_lostCommitResponses > 0) {
      --m_lostCommitResponses;
      CallAfter(kTimeout, [callback] {
        callback({ .m_status = CommitStatus::Unknown });
      });
      return;
    }
    CallAfter(kLatency, [callback, result] { callback(result); });
  });
}

void
FakeStoreClient::GrantLease(absl::Duration aTtl, LeaseCallback aCallback)
{
  CallAfter(kLatency + m_leaseCallDelay,
            [this, aTtl, callback = std::move(aCallback)] {
              if (!IsReachable()) {
                CallAfter(FailureTime(), [callback] { callback({}); });
                return;
              }
              const LeaseResult result{ .m_status = LeaseStatus::Held,
                                        .m_lease = m_store.AddLease(aTtl),
                                        .m_ttl = aTtl };
              CallAfter(kLatency, [callback, result] { callback(result); });
            });
}

void
FakeStoreClient::RenewLease(std::int64_t aLease, LeaseCallback aCallback)
{
  CallAfter(kLatency + m_leaseCallDelay,
            [this, aLease, callback = std::move(aCallback)] {
              if (!IsReachable()) {
                CallAfter(FailureTime(), [callback] { callback({}); });
                return;
              }
              const LeaseResult result{ .m_status = m_store.ExtendLease(aLease)
                                                      ? LeaseStatus::Held
                                                      : LeaseStatus::Gone,
                                        .m_lease = aLease };
              CallAfter(kLatency, [callback, result] { callback(result); });
            });
}

void
FakeStoreClient::RevokeLease(std::int64_t aLease)
{
  CallAfter(kLatency, [this, aLease] {
    if (IsReachable()) {
      m_store.RemoveLease(aLease);
    }
  });
}

}
