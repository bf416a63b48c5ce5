#pragma once

#include "tests/stand_ins/stand_in_server.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace bramleystall {

/**
 * HTTP stand-in of the platform's key-value store and of its machine service,
 * which lists one machine, on one loopback port. Leases never expire.
 */
class KvStoreStandIn
{
public:
  /** Listens on a free port. */
  KvStoreStandIn();
  ~KvStoreStandIn();
  KvStoreStandIn(const KvStoreStandIn&) = delete;
  KvStoreStandIn& operator=(const KvStoreStandIn&) = delete;

  /** "127.0.0.1:PORT". */
  std::string Address() const;

  void Put(const std::string& aKey, const std::string& aValue);

private:
  struct Item
  {
    std::string m_valueBase64;
    std::int64_t m_revision = 0;
    bool m_isRemoved = false;
  };

  std::optional<StandInResponse> Respond(const StandInRequest& aRequest);
  StandInResponse Read(const std::string& aKey) const;
  StandInResponse List(const std::string& aPrefix,
                       const std::string& aAfter) const;
  StandInResponse Watch(const std::string& aPrefix,
                        std::int64_t aAfterRevision,
                        std::int64_t aWaitMs,
                        std::unique_lock<std::mutex>& aLock);
  StandInResponse Commit(const nlohmann::json& aTransaction);
  nlohmann::json ChangesAfter(const std::string& aPrefix,
                              std::int64_t aRevision) const;
  static nlohmann::json Encode(const std::string& aKey, const Item& aItem);

  std::mutex m_mutex;
  std::condition_variable m_changed;
  bool m_isClosing = false;
  std::int64_t m_revision = 1;
  std::int64_t m_lastLease = 0;
  std::map<std::string, Item> m_items;
  std::uint16_t m_port = 0;
  StandInServer m_server;
};

}
