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
 * In-memory store with fault switches. Sessions expire only by hand. All
 * members are safe to call from several threads.
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

  /** The next writes take effect, but their responses are lost. */
  void LoseWriteResponses(int aCount);

  /** The next writes are lost on the way: Unknown, without effect. */
  void LoseWriteRequests(int aCount);

  /** Expires a session, which releases its locks. */
  void ExpireSession(const std::string& aSession);

  /** Sets a key without a condition, as a test's preparation. */
  void Put(const std::string& aKey, const std::string& aValue);

  /** Called at the start of each call with its name, without a lock held. */
  void SetCallHook(std::function<void(const std::string&)> aHook);

  /** Text of the whole state, for comparing states. */
  std::string Dump() const;

  /** Number of calls with this name ("get", "wait", "write", ...). */
  int CallCount(const std::string& aName) const;

private:
  void RecordCall(const std::string& aName);
  std::optional<StoreValue> Find(const std::string& aKey) const;
  bool HoldsLock(const LockCondition& aCondition) const;
  void Set(const std::string& aKey, const std::string& aValue);
  void EndSession(const std::string& aSession);
  /** Consumes one lost request; true when this write must not happen. */
  bool ConsumeLostRequest();
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
