#pragma once

#include "core/enum_names.h"

#include <absl/time/time.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace bramleystall {

/** A key of the store, as returned by a read or reported by a watch. */
struct StoreItem
{
  std::string m_key;
  std::string m_value;
  /** Revision of the last change of the key. */
  std::int64_t m_revision = 0;
  /** Lease whose expiry removes the key; 0 for none. */
  std::int64_t m_lease = 0;
  /** True in a watch event that reports a removal. */
  bool m_isRemoved = false;
};

/** Outcome of a read or watch. */
enum class ReadStatus
{
  Ok,
  /** The history after the revision was compacted; read all keys again. */
  Compacted,
  Unavailable,
};

inline constexpr EnumNames<ReadStatus, 3> kReadStatusNames = { {
  { ReadStatus::Ok, "ok" },
  { ReadStatus::Compacted, "compacted" },
  { ReadStatus::Unavailable, "unavailable" },
} };

struct ReadResult
{
  ReadStatus m_status = ReadStatus::Unavailable;
  std::vector<StoreItem> m_items;
  /** Revision of the store as of the read. */
  std::int64_t m_storeRevision = 0;
  /** More keys follow the last one in m_items. */
  bool m_hasMore = false;
  /** Reason for Unavailable. */
  std::string m_error;
};

/** Condition: the key has this revision, or does not exist (revision 0). */
struct StoreCondition
{
  std::string m_key;
  std::int64_t m_revision = 0;
};

struct StorePut
{
  std::string m_key;
  std::string m_value;
  std::int64_t m_lease = 0;
};

/** Atomic change: if all conditions hold, all puts and removals apply. */
struct StoreTransaction
{
  /** Maximum total number of conditions, puts and removals. */
  static constexpr std::size_t kMaxEntries = 32;

  std::vector<StoreCondition> m_conditions;
  std::vector<StorePut> m_puts;
  std::vector<std::string> m_removals;
};

enum class CommitStatus
{
  Applied,
  /** A condition does not hold. */
  Conflict,
  /** The lease of a put has expired or was revoked. */
  LeaseGone,
  /** The transaction was definitely not applied. */
  NotApplied,
  /** No response; the store may apply it, even seconds later. */
  Unknown,
};

inline constexpr EnumNames<CommitStatus, 5> kCommitStatusNames = { {
  { CommitStatus::Applied, "applied" },
  { CommitStatus::Conflict, "conflict" },
  { CommitStatus::LeaseGone, "lease_gone" },
  { CommitStatus::NotApplied, "not_applied" },
  { CommitStatus::Unknown, "unknown" },
} };

struct CommitResult
{
  CommitStatus m_status = CommitStatus::NotApplied;
  /** Revision of the change if it was applied. */
  std::int64_t m_revision = 0;
  /** With Conflict, the current items of those condition keys that exist. */
  std::vector<StoreItem> m_current;
  std::string m_error;

  /** With Conflict, the current revision of a condition key; 0 if there is no
   * such key. */
  std::int64_t CurrentRevision(const std::string& aKey) const
  {
    const auto found = std::ranges::find(m_current, aKey, &StoreItem::m_key);
    return found == m_current.end() ? 0 : found->m_revision;
  }
};

enum class LeaseStatus
{
  Held,
  Gone,
  Unavailable,
};

struct LeaseResult
{
  LeaseStatus m_status = LeaseStatus::Unavailable;
  std::int64_t m_lease = 0;
  absl::Duration m_ttl;
};

/**
 * Asynchronous interface of the platform's linearizable key-value store. Each
 * callback runs once on the event loop, after the call has returned.
 */
class KeyValueStore
{
public:
  using ReadCallback = std::function<void(ReadResult)>;
  using CommitCallback = std::function<void(CommitResult)>;
  using LeaseCallback = std::function<void(LeaseResult)>;

  virtual ~KeyValueStore() = default;

  /** Reads a key; the result has no item when the key does not exist. */
  virtual void Get(const std::string& aKey, ReadCallback aCallback) = 0;

  /** Reads a page of the keys with a prefix, starting after the key aAfter. */
  virtual void List(const std::string& aPrefix,
                    const std::string& aAfter,
                    ReadCallback aCallback) = 0;

  /**
   * Waits up to aWait for changes, after a revision, of the keys with a prefix.
   * The result has no item when nothing changed.
   */
  virtual void Watch(const std::string& aPrefix,
                     std::int64_t aAfterRevision,
                     absl::Duration aWait,
                     ReadCallback aCallback) = 0;

  virtual void Commit(const StoreTransaction& aTransaction,
                      CommitCallback aCallback) = 0;

  virtual void GrantLease(absl::Duration aTtl, LeaseCallback aCallback) = 0;
  virtual void RenewLease(std::int64_t aLease, LeaseCallback aCallback) = 0;
  virtual void RevokeLease(std::int64_t aLease) = 0;
};

}
