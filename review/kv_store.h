#pragma once

#include "review/http_message.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace second_review {

/** The platform's metadata store as PROTOCOL.md describes it. It loses nothing
 * that it has acknowledged and keeps its whole history. */
class KvStore
{
public:
  KvStore();

  /** A call of the system. */
  HttpResponse Handle(const HttpRequest& aRequest);
  /** A write of the operator or of a worker. */
  std::int64_t Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);
  /** Value of a key, or an empty text. */
  std::string Value(const std::string& aKey);
  /** Time from a call until its response. */
  void SetLatencyMs(int aLatencyMs) { m_latencyMs = aLatencyMs; }

private:
  using Clock = std::chrono::steady_clock;

  struct Item
  {
    std::string m_value;
    std::int64_t m_revision = 0;
    std::int64_t m_createdRevision = 0;
    std::int64_t m_lease = 0;
  };

  struct Lease
  {
    std::chrono::milliseconds m_ttl{};
    Clock::time_point m_expiresAt;
  };

  struct Event
  {
    std::string m_key;
    std::int64_t m_revision = 0;
    nlohmann::json m_body;
  };

  // The mutex has to be held for all of these.
  nlohmann::json Encode(const std::string& aKey) const;
  void Set(const std::string& aKey,
           const std::string& aValue,
           std::int64_t aLease);
  void Erase(const std::string& aKey);
  void EndLease(std::int64_t aLease);

  HttpResponse Dispatch(const HttpRequest& aRequest);
  HttpResponse Get(const std::string& aKey);
  HttpResponse Range(const std::string& aPrefix, const std::string& aAfter);
  HttpResponse Watch(const std::string& aPrefix,
                     std::int64_t aAfter,
                     int aWaitMs);
  HttpResponse Transact(const nlohmann::json& aBody);
  HttpResponse Grant(const nlohmann::json& aBody);
  HttpResponse Keep(std::int64_t aLease);
  void ExpireLeases();

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::atomic<int> m_latencyMs;
  std::int64_t m_revision = 1;
  std::int64_t m_lastLease = 0;
  std::map<std::string, Item> m_items;
  std::map<std::int64_t, Lease> m_leases;
  std::vector<Event> m_events;
};

}
