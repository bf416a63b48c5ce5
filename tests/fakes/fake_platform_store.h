#pragma once

#include "consul/platform_store.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bramleystall {

/**
 * In-memory store with fault injection. Sessions expire only by
 * ExpireSession(), never by time. Thread-safe.
 */
class FakePlatformStore : public PlatformStore
{
public:
  std::optional<StoreValue> Get(const std::string& aKey) override;
  std::optional<StoreValue> WaitForChange(const std::string& aKey,
                                          std::uint64_t aRevision,
                                          absl::Duration aTimeout) override;
  WriteOutcome Write(const std::vector<StoreWrite>& aWrites,
                     const std::optional<LockCondition>& aCondition) override;
  std::string CreateSession(const std::string& aName,
                            absl::Duration aTtl) override;
  bool RenewSession(const std::string& aSession) override;
  void DestroySession(const std::string& aSession) override;
  WriteOutcome AcquireLock(const std::string& aKey,
                           const std::string& aValue,
                           const std::string& aSession) override;
  void StopWatches() override;

  /** While down, each call throws Error (Unavailable) and changes nothing. */
  void SetDown(bool aIsDown);

  /**
   * The next aCount writes take effect, but their responses are lost, so that
   * they return Unknown.
   */
  void LoseWriteResponses(int aCount);

  /**
   * The requests of the next aCount writes are lost: they return Unknown and
   * have no effect.
   */
  void LoseWriteRequests(int aCount);

  /** Expires a session and releases its locks. */
  void ExpireSession(const std::string& aSession);

  /** Sets a key unconditionally, to prepare a test. */
  void Put(const std::string& aKey, const std::string& aValue);

  /** Sets a hook that each call runs first, with its name, without a lock. */
  void SetCallHook(std::function<void(const std::string&)> aHook);

  /** Serializes the whole state, so that states can be compared. */
  std::string Dump() const;

  /** Number of calls with this name ("get", "wait", "write", ...). */
  int CallCount(const std::string& aName) const;

private:
  void RecordCall(const std::string& aName);
  std::optional<StoreValue> Find(const std::string& aKey) const;
  bool HoldsLock(const LockCondition& aCondition) const;
  void Set(const std::string& aKey, const std::string& aValue);
  void EndSession(const std::string& aSession);
  /** Whether this request is lost; reduces the number of coming losses. */
  bool ConsumeLostRequest();
  /** Unknown when this response is lost, otherwise the outcome itself. */
  WriteOutcome ReportedOutcome(WriteOutcome aOutcome);

  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, StoreValue> m_values;
  std::set<std::string> m_sessions;
  std::map<std::string, int> m_callCounts;
  std::function<void(const std::string&)> m_callHook;
  std::uint64_t m_lastRevision = 0;
  int m_lastSession = 0;
  int m_lostResponses = 0;
  int m_lostRequests = 0;
  bool m_isDown = false;
  bool m_isStopped = false;
};

}
