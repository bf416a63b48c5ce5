#include "review/kv_store.h"

#include <algorithm>
#include <cstdlib>
#include <thread>

namespace second_review {

namespace {

using nlohmann::json;

/** Response time of the store on the sites. */
constexpr int kUsualLatencyMs = 4;
constexpr std::size_t kMaxPageItems = 500;
constexpr std::chrono::milliseconds kExpiryInterval{ 10 };

const std::string kAlphabet =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string
ToBase64(const std::string& aText)
{
  std::string text;
  for (std::size_t i = 0; i < aText.size(); i += 3) {
    unsigned bits = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      bits =
        (bits << 8U) |
        (i + j < aText.size() ? static_cast<unsigned char>(aText[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text +=
        i + j <= aText.size() ? kAlphabet[(bits >> (18U - 6U * j)) & 63U] : '=';
    }
  }
  return text;
}

std::string
FromBase64(const std::string& aText)
{
  std::string text;
  unsigned bits = 0;
  unsigned count = 0;
  for (const char character : aText) {
    const std::size_t digit = kAlphabet.find(character);
    if (digit == std::string::npos) {
      break;
    }
    bits = ((bits << 6U) | static_cast<unsigned>(digit)) & 0xffffffU;
    count += 6;
    if (count >= 8) {
      count -= 8;
      text += static_cast<char>((bits >> count) & 0xffU);
    }
  }
  return text;
}

HttpResponse
Respond(int aStatus, const json& aBody)
{
  return { aStatus, aBody.dump() };
}

std::string
QueryOf(const HttpRequest& aRequest, const char* aName)
{
  const auto found = aRequest.m_query.find(aName);
  return found == aRequest.m_query.end() ? "" : found->second;
}

/** Only the operator and the workers write these keys. */
bool
IsForeign(const std::string& aKey)
{
  return aKey.starts_with("op/") || aKey.starts_with("servers/");
}

}

KvStore::KvStore()
  : m_latencyMs(kUsualLatencyMs)
{
  std::thread([this] {
    while (true) {
      std::this_thread::sleep_for(kExpiryInterval);
      ExpireLeases();
    }
  }).detach();
}

HttpResponse
KvStore::Handle(const HttpRequest& aRequest)
{
  HttpResponse response = Dispatch(aRequest);
  std::this_thread::sleep_for(std::chrono::milliseconds(m_latencyMs.load()));
  return response;
}

HttpResponse
KvStore::Dispatch(const HttpRequest& aRequest)
{
  const std::string base = "/bramleystall/";
  const std::string call = aRequest.m_path.starts_with(base)
                             ? aRequest.m_path.substr(base.size())
                             : "";
  if (call == "kv-key") {
    return Get(QueryOf(aRequest, "key"));
  }
  if (call == "kv-range") {
    return Range(QueryOf(aRequest, "prefix"), QueryOf(aRequest, "after"));
  }
  if (call == "kv-watch") {
    return Watch(QueryOf(aRequest, "prefix"),
                 std::atoll(QueryOf(aRequest, "after").c_str()),
                 std::atoi(QueryOf(aRequest, "wait_ms").c_str()));
  }
  const json body = json::parse(aRequest.m_body, nullptr, false);
  if (call == "kv-txn") {
    return Transact(body);
  }
  if (call == "kv-lease") {
    return Grant(body);
  }
  const std::string keep = "kv-keep/";
  if (call.starts_with(keep)) {
    return Keep(std::atoll(call.c_str() + keep.size()));
  }
  const std::string end = "kv-lease-end/";
  if (call.starts_with(end)) {
    const std::lock_guard lock(m_mutex);
    EndLease(std::atoll(call.c_str() + end.size()));
    return Respond(200, json::object());
  }
  return Respond(404, json::object());
}

std::int64_t
KvStore::Put(const std::string& aKey, const std::string& aValue)
{
  const std::lock_guard lock(m_mutex);
  ++m_revision;
  Set(aKey, ToBase64(aValue), 0);
  m_changed.notify_all();
  return m_revision;
}

void
KvStore::Remove(const std::string& aKey)
{
  const std::lock_guard lock(m_mutex);
  ++m_revision;
  Erase(aKey);
  m_changed.notify_all();
}

std::string
KvStore::Value(const std::string& aKey)
{
  const std::lock_guard lock(m_mutex);
  const auto found = m_items.find(aKey);
  return found == m_items.end() ? "" : FromBase64(found->second.m_value);
}

json
KvStore::Encode(const std::string& aKey) const
{
  const auto found = m_items.find(aKey);
  if (found == m_items.end()) {
    return { { "key", aKey }, { "rev", 0 } };
  }
  const Item& item = found->second;
  return { { "key", aKey },
           { "value", item.m_value },
           { "rev", item.m_revision },
           { "created_rev", item.m_createdRevision },
           { "lease", item.m_lease } };
}

void
KvStore::Set(const std::string& aKey,
             const std::string& aValue,
             std::int64_t aLease)
{
  Item& item = m_items[aKey];
  item.m_value = aValue;
  item.m_revision = m_revision;
  item.m_lease = aLease;
  if (item.m_createdRevision == 0) {
    item.m_createdRevision = m_revision;
  }
  m_events.push_back({ aKey, m_revision, Encode(aKey) });
}

void
KvStore::Erase(const std::string& aKey)
{
  if (m_items.erase(aKey) > 0) {
    m_events.push_back(
      { aKey,
        m_revision,
        { { "key", aKey }, { "rev", m_revision }, { "tombstone", true } } });
  }
}

void
KvStore::EndLease(std::int64_t aLease)
{
  if (m_leases.erase(aLease) == 0) {
    return;
  }
  std::vector<std::string> keys;
  for (const auto& [key, item] : m_items) {
    if (item.m_lease == aLease) {
      keys.push_back(key);
    }
  }
  if (keys.empty()) {
    return;
  }
  ++m_revision;
  for (const std::string& key : keys) {
    Erase(key);
  }
  m_changed.notify_all();
}

void
KvStore::ExpireLeases()
{
  const std::lock_guard lock(m_mutex);
  std::vector<std::int64_t> expired;
  for (const auto& [id, lease] : m_leases) {
    if (lease.m_expiresAt <= Clock::now()) {
      expired.push_back(id);
    }
  }
  for (const std::int64_t id : expired) {
    EndLease(id);
  }
}

HttpResponse
KvStore::Get(const std::string& aKey)
{
  const std::lock_guard lock(m_mutex);
  if (!m_items.contains(aKey)) {
    return Respond(404, json::object());
  }
  json body = Encode(aKey);
  body["as_of"] = m_revision;
  return Respond(200, body);
}

HttpResponse
KvStore::Range(const std::string& aPrefix, const std::string& aAfter)
{
  const std::lock_guard lock(m_mutex);
  json items = json::array();
  bool hasMore = false;
  for (auto it = m_items.lower_bound(aPrefix);
       it != m_items.end() && it->first.starts_with(aPrefix);
       ++it) {
    if (!aAfter.empty() && it->first <= aAfter) {
      continue;
    }
    if (items.size() == kMaxPageItems) {
      hasMore = true;
      break;
    }
    items.push_back(Encode(it->first));
  }
  return Respond(200,
                 { { "items", std::move(items) },
                   { "has_more", hasMore },
                   { "as_of", m_revision } });
}

HttpResponse
KvStore::Watch(const std::string& aPrefix, std::int64_t aAfter, int aWaitMs)
{
  std::unique_lock lock(m_mutex);
  const Clock::time_point end =
    Clock::now() + std::chrono::milliseconds(aWaitMs);
  json events = json::array();
  while (true) {
    const auto first =
      std::upper_bound(m_events.begin(),
                       m_events.end(),
                       aAfter,
                       [](std::int64_t aRevision, const Event& aEvent) {
                         return aRevision < aEvent.m_revision;
                       });
    for (auto it = first; it != m_events.end(); ++it) {
      if (it->m_key.starts_with(aPrefix)) {
        events.push_back(it->m_body);
      }
    }
    if (!events.empty() || Clock::now() >= end) {
      break;
    }
    m_changed.wait_until(lock, end);
  }
  return Respond(200,
                 { { "events", std::move(events) }, { "as_of", m_revision } });
}

HttpResponse
KvStore::Transact(const json& aBody)
{
  const std::lock_guard lock(m_mutex);
  const json none = json::array();
  const json expect = aBody.value("expect", none);
  const json puts = aBody.value("set_keys", none);
  const json removals = aBody.value("remove", none);
  json current = json::array();
  bool holds = true;
  for (const json& row : expect) {
    const std::string key = row.at("key");
    const json item = Encode(key);
    holds &= item.at("rev") == row.at("rev");
    current.push_back(item);
  }
  if (!holds) {
    return Respond(412, { { "items", std::move(current) } });
  }
  for (const json& put : puts) {
    const std::int64_t lease = put.value("lease", std::int64_t{ 0 });
    if (lease != 0 && !m_leases.contains(lease)) {
      return Respond(404, json::object());
    }
    if (IsForeign(put.at("key"))) {
      return Respond(403, json::object());
    }
  }
  ++m_revision;
  for (const json& put : puts) {
    Set(put.at("key"), put.at("value"), put.value("lease", std::int64_t{ 0 }));
  }
  for (const json& key : removals) {
    Erase(key.get<std::string>());
  }
  m_changed.notify_all();
  return Respond(200, { { "rev", m_revision } });
}

HttpResponse
KvStore::Grant(const json& aBody)
{
  const std::lock_guard lock(m_mutex);
  const std::chrono::milliseconds ttl(aBody.at("ttl_ms").get<std::int64_t>());
  m_leases[++m_lastLease] = { ttl, Clock::now() + ttl };
  return Respond(200, { { "lease", m_lastLease }, { "ttl_ms", ttl.count() } });
}

HttpResponse
KvStore::Keep(std::int64_t aLease)
{
  const std::lock_guard lock(m_mutex);
  const auto found = m_leases.find(aLease);
  if (found == m_leases.end()) {
    return Respond(404, json::object());
  }
  found->second.m_expiresAt = Clock::now() + found->second.m_ttl;
  return Respond(200, { { "ttl_ms", found->second.m_ttl.count() } });
}

}
