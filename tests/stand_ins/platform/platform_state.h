#pragma once

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace bramleystall {

/** Entry of the key-value store. */
struct KeyEntry
{
  std::string m_value;
  std::uint64_t m_createIndex = 0;
  std::uint64_t m_modifyIndex = 0;
  std::uint64_t m_lockIndex = 0;
  std::string m_session;
};

/** Result of a call of the state: HTTP status and JSON body. */
struct StateResult
{
  int m_status = 200;
  nlohmann::json m_body;
  std::uint64_t m_index = 0;
};

/** Store, sessions and node catalog of the platform stand-in, in memory. */
class PlatformState
{
public:
  /** Largest value in bytes. */
  static constexpr std::size_t kMaxValueBytes = 1U << 20U;
  /** Largest number of operations of a transaction. */
  static constexpr std::size_t kMaxOperations = 64;

  explicit PlatformState(absl::Duration aMinTtl);

  /** Reads a key; with an index, waits until its index is higher. */
  StateResult ReadKey(const std::string& aKey,
                      std::uint64_t aIndex,
                      absl::Duration aWait);
  /** Sets a key; with a session, only when it gets the lock. */
  StateResult PutKey(const std::string& aKey,
                     const std::string& aValue,
                     const std::optional<std::string>& aSession);
  StateResult Transaction(const nlohmann::json& aOperations);
  StateResult CreateSession(const nlohmann::json& aBody);
  StateResult RenewSession(const std::string& aSession);
  StateResult DestroySession(const std::string& aSession);

  StateResult Register(const nlohmann::json& aNode);
  StateResult Deregister(const nlohmann::json& aNode);
  /** The catalog as it was a time ago. */
  StateResult ListNodes(absl::Duration aLag);
  /** Sets or clears the `leaving` mark; returns the address of the node. */
  std::string SetLeaving(const std::string& aVm, bool aIsLeaving);
  /** Whether the token is new; remembers it. */
  bool AddRebootToken(const std::string& aToken);

  /** Ends waiting reads without a response while set. */
  void SetWatchesCut(bool aIsCut);
  int PendingWatches() const;
  /** Expires sessions whose time has passed. */
  void ExpireSessions();

private:
  struct Session
  {
    absl::Duration m_ttl;
    absl::Time m_expiry;
  };

  KeyEntry& WriteEntry(const std::string& aKey,
                       const std::string& aValue,
                       std::uint64_t aIndex);
  void ReleaseSession(const std::string& aSession);
  std::string CheckOperation(const nlohmann::json& aOperation) const;
  void SnapshotNodes();

  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  absl::Duration m_minTtl;
  std::map<std::string, KeyEntry> m_keys;
  std::map<std::string, Session> m_sessions;
  std::map<std::string, nlohmann::json> m_nodes;
  /** Catalog after each change, oldest first. */
  std::deque<std::pair<absl::Time, nlohmann::json>> m_nodeHistory;
  std::set<std::string> m_rebootTokens;
  std::uint64_t m_index = 1;
  std::uint64_t m_sessionCount = 0;
  int m_pendingWatches = 0;
  bool m_areWatchesCut = false;
  /** Grows with each cut, so that a waiting read notices a short one. */
  std::uint64_t m_watchCutCount = 0;
};

}
