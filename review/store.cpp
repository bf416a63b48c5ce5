#include "review/store.h"

#include "review/record.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <utility>

namespace bramleystall::review {

namespace {

using nlohmann::json;

constexpr std::size_t kItemsPerPage = 500;
constexpr const char* kDigits =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string
EncodeBase64(const std::string& aBytes)
{
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    unsigned group = 0;
    const std::size_t count = std::min<std::size_t>(3, aBytes.size() - i);
    for (std::size_t j = 0; j < 3; ++j) {
      group = group * 256 +
              (j < count ? static_cast<unsigned char>(aBytes[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += j <= count ? kDigits[(group >> (18 - 6 * j)) & 63U] : '=';
    }
  }
  return text;
}

std::string
DecodeBase64(const std::string& aText)
{
  std::string bytes;
  unsigned group = 0;
  int bits = 0;
  const std::string digits = kDigits;
  for (const char digit : aText) {
    const std::size_t value = digits.find(digit);
    if (value == std::string::npos) {
      break;
    }
    group = (group << 6U) | static_cast<unsigned>(value);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>((group >> static_cast<unsigned>(bits)) & 255U);
    }
  }
  return bytes;
}

std::int64_t
NumberOf(const HttpRequest& aRequest, const char* aName)
{
  const auto found = aRequest.m_query.find(aName);
  return found == aRequest.m_query.end() ? 0
                                         : std::atoll(found->second.c_str());
}

std::string
TextOf(const HttpRequest& aRequest, const char* aName)
{
  const auto found = aRequest.m_query.find(aName);
  return found == aRequest.m_query.end() ? "" : found->second;
}

}

Store::Store()
  : m_server(std::make_unique<HttpServer>(
      [this](const HttpRequest& aRequest) { return Handle(aRequest); }))
{
}

Store::~Store()
{
  {
    const std::lock_guard lock(m_mutex);
    m_isStopping = true;
  }
  m_changed.notify_all();
  m_server.reset();
}

void
Store::Put(const std::string& aKey, const std::string& aValue)
{
  const std::lock_guard lock(m_mutex);
  ++m_revision;
  PutLocked(aKey, aValue, 0);
  m_changed.notify_all();
}

void
Store::Remove(const std::string& aKey)
{
  const std::lock_guard lock(m_mutex);
  ++m_revision;
  RemoveLocked(aKey);
  m_changed.notify_all();
}

std::optional<std::string>
Store::Get(const std::string& aKey) const
{
  const std::lock_guard lock(m_mutex);
  const auto found = m_items.find(aKey);
  return found == m_items.end() ? std::nullopt
                                : std::optional(found->second.m_value);
}

void
Store::SetBefore(Hook aHook)
{
  const std::lock_guard lock(m_mutex);
  m_before = std::move(aHook);
}

void
Store::SetAfter(Hook aHook)
{
  const std::lock_guard lock(m_mutex);
  m_after = std::move(aHook);
}

HttpReply
Store::Handle(const HttpRequest& aRequest)
{
  Hook before;
  Hook after;
  {
    const std::lock_guard lock(m_mutex);
    before = m_before;
    after = m_after;
  }
  if (before) {
    if (auto reply = before(aRequest)) {
      return *reply;
    }
  }
  HttpReply reply = Carry(aRequest);
  if (after && reply.m_status == 200) {
    if (auto other = after(aRequest)) {
      return *other;
    }
  }
  return reply;
}

HttpReply
Store::Carry(const HttpRequest& aRequest)
{
  const std::string& path = aRequest.m_path;
  const std::string keep = "/bramleystall/kv-keep/";
  const std::string end = "/bramleystall/kv-lease-end/";
  if (path == "/bramleystall/kv-key") {
    return Read(aRequest);
  }
  if (path == "/bramleystall/kv-range") {
    return List(aRequest);
  }
  if (path == "/bramleystall/kv-watch") {
    return Watch(aRequest);
  }
  if (path == "/bramleystall/kv-txn") {
    return Commit(aRequest);
  }
  if (path == "/bramleystall/kv-lease") {
    return GrantLease(aRequest);
  }
  if (path.starts_with(keep)) {
    return KeepLease(std::atoll(path.substr(keep.size()).c_str()));
  }
  if (path.starts_with(end)) {
    return EndLease(std::atoll(path.substr(end.size()).c_str()));
  }
  return { .m_status = 404 };
}

json
Store::Encode(const std::string& aKey, const Item& aItem)
{
  return { { "key", aKey },
           { "value", EncodeBase64(aItem.m_value) },
           { "rev", aItem.m_revision },
           { "created_rev", aItem.m_createdRevision },
           { "lease", aItem.m_lease } };
}

HttpReply
Store::Read(const HttpRequest& aRequest)
{
  const std::lock_guard lock(m_mutex);
  ExpireLocked();
  const std::string key = TextOf(aRequest, "key");
  const auto found = m_items.find(key);
  if (found == m_items.end()) {
    return { .m_status = 404 };
  }
  json body = Encode(key, found->second);
  body["as_of"] = m_revision;
  return { .m_body = body.dump() };
}

HttpReply
Store::List(const HttpRequest& aRequest)
{
  const std::lock_guard lock(m_mutex);
  ExpireLocked();
  const std::string prefix = TextOf(aRequest, "prefix");
  const std::string after = TextOf(aRequest, "after");
  json items = json::array();
  bool hasMore = false;
  for (const auto& [key, item] : m_items) {
    if (!key.starts_with(prefix) || (!after.empty() && key <= after)) {
      continue;
    }
    if (items.size() == kItemsPerPage) {
      hasMore = true;
      break;
    }
    items.push_back(Encode(key, item));
  }
  return { .m_body = json{ { "items", std::move(items) },
                           { "has_more", hasMore },
                           { "as_of", m_revision } }
                       .dump() };
}

HttpReply
Store::Watch(const HttpRequest& aRequest)
{
  const std::string prefix = TextOf(aRequest, "prefix");
  const std::int64_t after = NumberOf(aRequest, "after");
  const std::int64_t until = NowMs() + NumberOf(aRequest, "wait_ms");
  std::unique_lock lock(m_mutex);
  json events = json::array();
  while (true) {
    ExpireLocked();
    for (auto event = m_events.rbegin();
         event != m_events.rend() && event->m_revision > after;
         ++event) {
      if (event->m_key.starts_with(prefix)) {
        events.push_back(event->m_item ? Encode(event->m_key, *event->m_item)
                                       : json{ { "key", event->m_key },
                                               { "rev", event->m_revision },
                                               { "tombstone", true } });
      }
    }
    const std::int64_t left = until - NowMs();
    if (!events.empty() || left <= 0 || m_isStopping) {
      break;
    }
    m_changed.wait_for(
      lock, std::chrono::milliseconds(std::min<std::int64_t>(left, 20)));
  }
  std::reverse(events.begin(), events.end());
  return {
    .m_body =
      json{ { "events", std::move(events) }, { "as_of", m_revision } }.dump()
  };
}

HttpReply
Store::Commit(const HttpRequest& aRequest)
{
  const json body = json::parse(aRequest.m_body);
  const std::lock_guard lock(m_mutex);
  ExpireLocked();
  bool holds = true;
  json current = json::array();
  for (const json& row : body.at("expect")) {
    const auto key = row.at("key").get<std::string>();
    const auto found = m_items.find(key);
    const std::int64_t revision =
      found == m_items.end() ? 0 : found->second.m_revision;
    holds = holds && revision == row.at("rev").get<std::int64_t>();
    current.push_back(found == m_items.end()
                        ? json{ { "key", key }, { "rev", 0 } }
                        : Encode(key, found->second));
  }
  if (!holds) {
    return { .m_status = 412,
             .m_body = json{ { "items", std::move(current) } }.dump() };
  }
  for (const json& row : body.at("set_keys")) {
    const std::int64_t lease = row.value("lease", std::int64_t{ 0 });
    if (lease != 0 && !m_leases.contains(lease)) {
      return { .m_status = 404 };
    }
    const auto key = row.at("key").get<std::string>();
    if (key.starts_with("op/") || key.starts_with("servers/")) {
      return { .m_status = 403 };
    }
  }
  ++m_revision;
  for (const json& row : body.at("set_keys")) {
    PutLocked(row.at("key").get<std::string>(),
              DecodeBase64(row.at("value").get<std::string>()),
              row.value("lease", std::int64_t{ 0 }));
  }
  for (const json& key : body.at("remove")) {
    RemoveLocked(key.get<std::string>());
  }
  m_changed.notify_all();
  return { .m_body = json{ { "rev", m_revision } }.dump() };
}

HttpReply
Store::GrantLease(const HttpRequest& aRequest)
{
  const std::int64_t ttl =
    json::parse(aRequest.m_body).at("ttl_ms").get<std::int64_t>();
  const std::lock_guard lock(m_mutex);
  m_leases[++m_lastLease] = { ttl, NowMs() + ttl };
  return { .m_body =
             json{ { "lease", m_lastLease }, { "ttl_ms", ttl } }.dump() };
}

HttpReply
Store::KeepLease(std::int64_t aLease)
{
  const std::lock_guard lock(m_mutex);
  ExpireLocked();
  const auto found = m_leases.find(aLease);
  if (found == m_leases.end()) {
    return { .m_status = 404 };
  }
  found->second.m_expiresMs = NowMs() + found->second.m_ttlMs;
  return { .m_body = json{ { "ttl_ms", found->second.m_ttlMs } }.dump() };
}

HttpReply
Store::EndLease(std::int64_t aLease)
{
  const std::lock_guard lock(m_mutex);
  const auto found = m_leases.find(aLease);
  if (found == m_leases.end()) {
    return { .m_status = 404 };
  }
  found->second.m_expiresMs = 0;
  ExpireLocked();
  return {};
}

void
Store::PutLocked(const std::string& aKey,
                 const std::string& aValue,
                 std::int64_t aLease)
{
  Item& item = m_items[aKey];
  if (item.m_createdRevision == 0) {
    item.m_createdRevision = m_revision;
  }
  item.m_value = aValue;
  item.m_revision = m_revision;
  item.m_lease = aLease;
  m_events.push_back({ m_revision, aKey, item });
}

void
Store::RemoveLocked(const std::string& aKey)
{
  if (m_items.erase(aKey) > 0) {
    m_events.push_back({ m_revision, aKey, std::nullopt });
  }
}

void
Store::ExpireLocked()
{
  for (auto lease = m_leases.begin(); lease != m_leases.end();) {
    if (NowMs() < lease->second.m_expiresMs) {
      ++lease;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, item] : m_items) {
      if (item.m_lease == lease->first) {
        keys.push_back(key);
      }
    }
    if (!keys.empty()) {
      ++m_revision;
    }
    for (const std::string& key : keys) {
      RemoveLocked(key);
    }
    lease = m_leases.erase(lease);
    m_changed.notify_all();
  }
}

}
