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

/** Entry of the key-value store; the indexes are those of Consul. */
struct KeyEntry
{
  std::string m_value;
  std::uint64_t m_createIndex = 0;
  std::uint64_t m_modifyIndex = 0;
  std::uint64_t m_lockIndex = 0;
  /** Session that holds the lock; empty if none does. */
  std::string m_session;
};

/** HTTP status, JSON body and X-Consul-Index that result from a call. */
struct StateResult
{
  /** 0 to close the connection without a response. */
  int m_status = 200;
  nlohmann::json m_body;
  /** 0 if the response has no index. */
  std::uint64_t m_index = 0;
};

/**
 * Key-value store, sessions and node catalog of the platform stand-in, in
 * memory. Thread-safe.
 */
class PlatformState
{
public:
  /** Size limit of a value. */
  static constexpr std::size_t kMaxValueBytes = 1U << 20U;
  /** Limit of operations in a transaction. */
  static constexpr std::size_t kMaxOperations = 64;

  explicit PlatformState(absl::Duration aMinTtl);

  /**
   * Reads a key. If `aIndex` is not 0, waits until the key's index is higher or
   * `aWait` has passed.
   */
  StateResult ReadKey(const std::string& aKey,
                      std::uint64_t aIndex,
                      absl::Duration aWait);
  /** Sets a key; with a session, only if the session gets or holds its lock. */
  StateResult PutKey(const std::string& aKey,
                     const std::string& aValue,
                     const std::optional<std::string>& aSession);
  StateResult Transaction(const nlohmann::json& aOperations);
  StateResult CreateSession(const nlohmann::json& aBody);
  StateResult RenewSession(const std::string& aSession);
  StateResult DestroySession(const std::string& aSession);

  StateResult Register(const nlohmann::json& aNode);
  StateResult Deregister(const nlohmann::json& aNode);
  /** The catalog as it was `aLag` ago. */
  StateResult ListNodes(absl::Duration aLag);
  /** Sets the `leaving` value of a node; returns its address, or "" if none. */
  std::string SetLeaving(const std::string& aVm, bool aIsLeaving);
  /** Records a reboot token; returns whether it is new. */
  bool AddRebootToken(const std::string& aToken);

  /** While set, ends pending and new watches without a response. */
  void SetWatchesCut(bool aIsCut);
  int PendingWatches() const;
  /** Releases all sessions whose TTL has expired. */
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
  /** Index of the latest write. */
  std::uint64_t m_index = 1;
  std::uint64_t m_sessionCount = 0;
  int m_pendingWatches = 0;
  bool m_areWatchesCut = false;
  /** Counts the cuts, so that a pending watch notices even a short one. */
  std::uint64_t m_watchCutCount = 0;
};

}
