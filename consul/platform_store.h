#pragma once

#include "core/enum_names.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bramleystall {

/** Value of a key with its revision in the store. */
struct StoreValue
{
  std::string m_value;
  /** Revision of the last change of the key; greater than 0. */
  std::uint64_t m_revision = 0;
  /** Session that holds the key's lock; empty when it is not locked. */
  std::string m_session;
  /**
   * Number of times that a new session has acquired the key's lock. It grows by
   * one with each acquisition, so it can serve as the term of the holder.
   */
  std::uint64_t m_lockCount = 0;
};

/** One compare-and-swap operation of a transaction. */
struct StoreWrite
{
  std::string m_key;
  std::string m_value;
  /** Revision that the key must have; 0 if the key must not exist. */
  std::uint64_t m_expectedRevision = 0;
};

/** Condition that a session still holds the lock of a key. */
struct LockCondition
{
  std::string m_key;
  std::string m_session;
};

/** Result of a conditional write. */
enum class WriteOutcome
{
  Applied,
  Conflict,
  /** The response was lost; the write may or may not have taken effect. */
  Unknown,
};

inline constexpr EnumNames<WriteOutcome, 3> kWriteOutcomeNames = { {
  { WriteOutcome::Applied, "applied" },
  { WriteOutcome::Conflict, "conflict" },
  { WriteOutcome::Unknown, "unknown" },
} };

/**
 * The platform's configuration store. Reads throw Error (Unavailable) when the
 * store cannot be reached in time. Implementations are safe to call from
 * several threads.
 */
class PlatformStore
{
public:
  virtual ~PlatformStore() = default;

  /** Value of a key, or nothing when the key does not exist. */
  virtual std::optional<StoreValue> Get(const std::string& aKey) = 0;

  /**
   * Watches a key: waits until its revision differs from the given one or the
   * time-out has passed, then returns the value like Get.
   */
  virtual std::optional<StoreValue> WaitForChange(const std::string& aKey,
                                                  std::uint64_t aRevision,
                                                  absl::Duration aTimeout) = 0;

  /**
   * Applies all writes or none. With a condition, returns Conflict when the
   * session does not hold the lock. Throws Error (Unavailable) only when the
   * request certainly did not reach the store.
   */
  virtual WriteOutcome Write(
    const std::vector<StoreWrite>& aWrites,
    const std::optional<LockCondition>& aCondition) = 0;

  /** Creates a session (a lease) with a time to live and returns its id. */
  virtual std::string CreateSession(const std::string& aName,
                                    absl::Duration aTtl) = 0;

  /** Renews a session; returns false when it has expired. */
  virtual bool RenewSession(const std::string& aSession) = 0;

  virtual void DestroySession(const std::string& aSession) = 0;

  /**
   * Sets the key and locks it for the session. Returns Conflict when another
   * session holds the lock.
   */
  virtual WriteOutcome AcquireLock(const std::string& aKey,
                                   const std::string& aValue,
                                   const std::string& aSession) = 0;

  /**
   * Makes pending watches fail with Error (Unavailable) within about a second,
   * and later ones immediately. Called at shutdown.
   */
  virtual void StopWatches() {}
};

}
