#pragma once

#include "review/http.h"

#include <nlohmann/json_fwd.hpp>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace bramleystall::review {

/** The platform's metadata store, as PROTOCOL.md describes it. */
class Store
{
public:
  /** Replaces the response to a call, or returns nothing to let it pass. */
  using Hook = std::function<std::optional<HttpReply>(const HttpRequest&)>;

  Store();
  ~Store();

  std::string Address() const { return m_server->Address(); }

  /** Writes a key in the name of the operator or of a worker. */
  void Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);
  /** Current value, or nothing if the key does not exist. */
  std::optional<std::string> Get(const std::string& aKey) const;

  /** Called before a call is carried out; what it returns is sent instead. */
  void SetBefore(Hook aHook);
  /** Called after a call was carried out with success. */
  void SetAfter(Hook aHook);

private:
  struct Item
  {
    std::string m_value;
    std::int64_t m_revision = 0;
    std::int64_t m_createdRevision = 0;
    std::int64_t m_lease = 0;
  };
  struct Event
  {
    std::int64_t m_revision = 0;
    std::string m_key;
    std::optional<Item> m_item;
  };
  struct Lease
  {
    std::int64_t m_ttlMs = 0;
    std::int64_t m_expiresMs = 0;
  };

  HttpReply Handle(const HttpRequest& aRequest);
  HttpReply Carry(const HttpRequest& aRequest);
  HttpReply Read(const HttpRequest& aRequest);
  HttpReply List(const HttpRequest& aRequest);
  HttpReply Watch(const HttpRequest& aRequest);
  HttpReply Commit(const HttpRequest& aRequest);
  HttpReply GrantLease(const HttpRequest& aRequest);
  HttpReply KeepLease(std::int64_t aLease);
  HttpReply EndLease(std::int64_t aLease);
  /** The following need the mutex. */
  void PutLocked(const std::string& aKey,
                 const std::string& aValue,
                 std::int64_t aLease);
  void RemoveLocked(const std::string& aKey);
  void ExpireLocked();
  static nlohmann::json Encode(const std::string& aKey, const Item& aItem);

  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  bool m_isStopping = false;
  std::int64_t m_revision = 1;
  std::int64_t m_lastLease = 1000;
  std::map<std::string, Item> m_items;
  std::vector<Event> m_events;
  std::map<std::int64_t, Lease> m_leases;
  Hook m_before;
  Hook m_after;
  std::unique_ptr<HttpServer> m_server;
};

}
