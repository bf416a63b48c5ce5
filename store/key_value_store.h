#pragma once

#include "core/enum_names.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace bramleystall {

/** One key of the store, as it was read or as a watch reports it. */
struct StoreItem
{
  std::string m_key;
  std::string m_value;
  /** Revision of the key's last change. */
  std::int64_t m_revision = 0;
  /** Lease that the key ends with; 0 when it has none. */
  std::int64_t m_lease = 0;
  /** True in a watch event that reports a removal. */
  bool m_isRemoved = false;
};

/** How a read of the store ended. */
enum class ReadStatus
{
  Ok,
  /** The history that a watch asks for is gone; read the keys again. */
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
  /** Revision of the store that the read reflects. */
  std::int64_t m_storeRevision = 0;
  /** More keys follow the last one of m_items. */
  bool m_hasMore = false;
  /** Reason for Unavailable. */
  std::string m_error;
};

/** Condition of a transaction: the key has this revision; 0 for no key. */
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

/** All-or-nothing change. */
struct StoreTransaction
{
  /** Entries that one transaction may hold in all. */
  static constexpr std::size_t kMaxEntries = 32;

  std::vector<StoreCondition> m_conditions;
  std::vector<StorePut> m_puts;
  std::vector<std::string> m_removals;
};

enum class CommitStatus
{
  Applied,
  /** A condition did not hold. */
  Conflict,
  /** A lease of a put has ended. */
  LeaseGone,
  /** The store has certainly not applied the transaction. */
  NotApplied,
  /** No response; the store may apply it now or seconds later. */
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
  /** Revision of the change when it was applied. */
  std::int64_t m_revision = 0;
  /** With Conflict, the current items of the conditions that exist. */
  std::vector<StoreItem> m_current;
  std::string m_error;
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
 * The platform's linearizable key-value store, asynchronous: each callback
 * runs once, later, on the event loop.
 */
class KeyValueStore
{
public:
  using ReadCallback = std::function<void(ReadResult)>;
  using CommitCallback = std::function<void(CommitResult)>;
  using LeaseCallback = std::function<void(LeaseResult)>;

  virtual ~KeyValueStore() = default;

  /** Reads one key; the result has no item when it does not exist. */
  virtual void Get(const std::string& aKey, ReadCallback aCallback) = 0;

  /** Reads a page of the keys with a prefix that follow aAfter. */
  virtual void List(const std::string& aPrefix,
                    const std::string& aAfter,
                    ReadCallback aCallback) = 0;

  /**
   * Waits up to aWait for changes of keys with a prefix after a revision. The
   * result has no item when nothing changed.
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
