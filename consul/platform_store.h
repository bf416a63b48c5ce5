#pragma once

#include "core/enum_names.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bramleystall {

/** Value of a key with the store's revision of it. */
struct StoreValue
{
  std::string m_value;
  /** Revision of the last change of the key, over 0. */
  std::uint64_t m_revision = 0;
  /** Session that holds the key's lock; empty when none does. */
  std::string m_session;
  /**
   * How often the key's lock has passed to a new session. It grows by one with
   * each, so it can serve as the term of the holder.
   */
  std::uint64_t m_lockCount = 0;
};

/** One compare-and-swap of a transaction. */
struct StoreWrite
{
  std::string m_key;
  std::string m_value;
  /** Revision that the key must have; 0 when it must not exist. */
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
  /** The response was lost; the write may have taken effect. */
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
   * Watch: waits until the key's revision differs from the given one or the
   * time has passed, then returns the value like Get.
   */
  virtual std::optional<StoreValue> WaitForChange(const std::string& aKey,
                                                  std::uint64_t aRevision,
                                                  absl::Duration aTimeout) = 0;

  /**
   * Applies all writes or none. With a condition, fails with Conflict when the
   * session does not hold the lock. Throws Error (Unavailable) only when the
   * request certainly did not reach the store.
   */
  virtual WriteOutcome Write(
    const std::vector<StoreWrite>& aWrites,
    const std::optional<LockCondition>& aCondition) = 0;

  /** Creates a session (lease) with a time to live; returns its id. */
  virtual std::string CreateSession(const std::string& aName,
                                    absl::Duration aTtl) = 0;

  /** Renews a session; false when it has expired. */
  virtual bool RenewSession(const std::string& aSession) = 0;

  virtual void DestroySession(const std::string& aSession) = 0;

  /** Sets the key and locks it for the session; Conflict when it is locked. */
  virtual WriteOutcome AcquireLock(const std::string& aKey,
                                   const std::string& aValue,
                                   const std::string& aSession) = 0;

  /**
   * Ends waiting watches with Error (Unavailable) within about a second, and
   * later ones at once. Called at shutdown.
   */
  virtual void StopWatches() {}
};

}
