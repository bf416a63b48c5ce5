#include "tests/fakes/kv_store_stand_in.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <chrono>

namespace bramleystall {

namespace {

using nlohmann::json;

constexpr const char* kPathPrefix = "/bramleystall/";
constexpr std::int64_t kLeaseTtlMs = 10'000;

StandInResponse
Ok(const json& aBody)
{
  return { .m_status = 200, .m_body = aBody.dump() };
}

std::string
QueryValue(const StandInRequest& aRequest, const std::string& aName)
{
  const auto found = aRequest.m_query.find(aName);
  return found == aRequest.m_query.end() ? "" : found->second;
}

std::int64_t
QueryNumber(const StandInRequest& aRequest, const std::string& aName)
{
  std::int64_t number = 0;
  return absl::SimpleAtoi(QueryValue(aRequest, aName), &number) ? number : 0;
}

}

KvStoreStandIn::KvStoreStandIn()
  : m_server(
      [this](const StandInRequest& aRequest) { return Respond(aRequest); })
{
  m_port = m_server.Open(0);
}

KvStoreStandIn::~KvStoreStandIn()
{
  {
    const std::lock_guard lock(m_mutex);
    m_isClosing = true;
  }
  m_changed.notify_all();
  m_server.Close();
}

std::string
KvStoreStandIn::Address() const
{
  return absl::StrCat("127.0.0.1:", m_port);
}

void
KvStoreStandIn::Put(const std::string& aKey, const std::string& aValue)
{
  {
    const std::lock_guard lock(m_mutex);
    m_items[aKey] = { absl::Base64Escape(aValue), ++m_revision };
  }
  m_changed.notify_all();
}

json
KvStoreStandIn::Encode(const std::string& aKey, const Item& aItem)
{
  json body = { { "key", aKey }, { "rev", aItem.m_revision } };
  if (aItem.m_isRemoved) {
    body["tombstone"] = true;
  } else {
    body["value"] = aItem.m_valueBase64;
  }
  return body;
}

std::optional<StandInResponse>
KvStoreStandIn::Respond(const StandInRequest& aRequest)
{
  std::unique_lock lock(m_mutex);
  const std::string call =
    aRequest.m_path.starts_with(kPathPrefix)
      ? aRequest.m_path.substr(std::string(kPathPrefix).size())
      : "";
  if (call == "kv-key") {
    return Read(QueryValue(aRequest, "key"));
  }
  if (call == "kv-range") {
    return List(QueryValue(aRequest, "prefix"), QueryValue(aRequest, "after"));
  }
  if (call == "kv-watch") {
    return Watch(QueryValue(aRequest, "prefix"),
                 QueryNumber(aRequest, "after"),
                 QueryNumber(aRequest, "wait_ms"),
                 lock);
  }
  if (call == "kv-txn") {
    const json transaction = json::parse(aRequest.m_body, nullptr, false);
    return transaction.is_object() ? Commit(transaction)
                                   : StandInResponse{ .m_status = 400 };
  }
  if (call == "kv-lease") {
    return Ok({ { "lease", ++m_lastLease }, { "ttl_ms", kLeaseTtlMs } });
  }
  if (call.starts_with("kv-keep/")) {
    return Ok({ { "ttl_ms", kLeaseTtlMs } });
  }
  if (call.starts_with("kv-lease-end/")) {
    return Ok(json::object());
  }
  if (call == "machines") {
    const json machine = { { "machine", "machine-1" },
                           { "pool", "pool" },
                           { "state", "up" } };
    return Ok({ { "machines", json::array({ machine }) } });
  }
  return StandInResponse{ .m_status = 404 };
}

StandInResponse
KvStoreStandIn::Read(const std::string& aKey) const
{
  const auto found = m_items.find(aKey);
  if (found == m_items.end() || found->second.m_isRemoved) {
    return { .m_status = 404 };
  }
  json body = Encode(aKey, found->second);
  body["as_of"] = m_revision;
  return Ok(body);
}

StandInResponse
KvStoreStandIn::List(const std::string& aPrefix,
                     const std::string& aAfter) const
{
  json items = json::array();
  for (const auto& [key, item] : m_items) {
    if (!item.m_isRemoved && key.starts_with(aPrefix) && key > aAfter) {
      items.push_back(Encode(key, item));
    }
  }
  return Ok({ { "items", items }, { "as_of", m_revision } });
}

json
KvStoreStandIn::ChangesAfter(const std::string& aPrefix,
                             std::int64_t aRevision) const
{
  json events = json::array();
  for (const auto& [key, item] : m_items) {
    if (key.starts_with(aPrefix) && item.m_revision > aRevision) {
      events.push_back(Encode(key, item));
    }
  }
  return events;
}

StandInResponse
KvStoreStandIn::Watch(const std::string& aPrefix,
                      std::int64_t aAfterRevision,
                      std::int64_t aWaitMs,
                      std::unique_lock<std::mutex>& aLock)
{
  json events;
  m_changed.wait_for(aLock, std::chrono::milliseconds(aWaitMs), [&] {
    events = ChangesAfter(aPrefix, aAfterRevision);
    return m_isClosing || !events.empty();
  });
  return Ok({ { "events", events }, { "as_of", m_revision } });
}

StandInResponse
KvStoreStandIn::Commit(const json& aTransaction)
{
  json conflicts = json::array();
  for (const json& condition : aTransaction.at("expect")) {
    const auto found = m_items.find(condition.at("key").get<std::string>());
    const bool isStored = found != m_items.end() && !found->second.m_isRemoved;
    const std::int64_t revision = isStored ? found->second.m_revision : 0;
    if (revision == condition.at("rev").get<std::int64_t>()) {
      continue;
    }
    conflicts.push_back(
      isStored ? Encode(found->first, found->second)
               : json{ { "key", condition.at("key") }, { "rev", 0 } });
  }
  if (!conflicts.empty()) {
    return { .m_status = 412, .m_body = json{ { "items", conflicts } }.dump() };
  }
  ++m_revision;
  for (const json& put : aTransaction.at("set_keys")) {
    m_items[put.at("key").get<std::string>()] = {
      put.at("value").get<std::string>(), m_revision
    };
  }
  for (const json& key : aTransaction.at("remove")) {
    m_items[key.get<std::string>()] = { "", m_revision, true };
  }
  m_changed.notify_all();
  return Ok({ { "rev", m_revision } });
}

}
