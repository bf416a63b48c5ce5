#include "tests/stand_ins/platform/platform_state.h"

#include "core/clock.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <vector>

namespace bramleystall {

namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooLarge = 413;
constexpr int kServerError = 500;
/**
 * Number of kept versions of the catalog; a lag beyond them shows the oldest
 * one.
 */
constexpr std::size_t kMaxNodeHistory = 5000;

StateResult
MakeError(int aStatus, const std::string& aMessage)
{
  return { aStatus, { { "error", aMessage } }, 0 };
}

nlohmann::json
EntryJson(const std::string& aKey, const KeyEntry& aEntry, bool aHasValue)
{
  nlohmann::json entry = { { "Key", aKey },
                           { "Flags", 0 },
                           { "LockIndex", aEntry.m_lockIndex },
                           { "CreateIndex", aEntry.m_createIndex },
                           { "ModifyIndex", aEntry.m_modifyIndex },
                           { "Value", nullptr } };
  if (aHasValue) {
    entry["Value"] = absl::Base64Escape(aEntry.m_value);
  }
  if (!aEntry.m_session.empty()) {
    entry["Session"] = aEntry.m_session;
  }
  return entry;
}

}

PlatformState::PlatformState(absl::Duration aMinTtl)
  : m_minTtl(aMinTtl)
{
  SnapshotNodes();
}

StateResult
PlatformState::ReadKey(const std::string& aKey,
                       std::uint64_t aIndex,
                       absl::Duration aWait)
{
  std::unique_lock lock(m_mutex);
  if (aIndex > 0) {
    ++m_pendingWatches;
    const std::uint64_t watchCutCount = m_watchCutCount;
    m_changed.wait_for(lock, absl::ToChronoNanoseconds(aWait), [&] {
      const auto found = m_keys.find(aKey);
      return m_areWatchesCut || m_watchCutCount != watchCutCount ||
             (found != m_keys.end() && found->second.m_modifyIndex > aIndex);
    });
    --m_pendingWatches;
    if (m_areWatchesCut || m_watchCutCount != watchCutCount) {
      return { 0, nullptr, 0 };
    }
  }
  const auto found = m_keys.find(aKey);
  if (found == m_keys.end()) {
    return { kNotFound, nullptr, m_index };
  }
  return { 200,
           nlohmann::json::array({ EntryJson(aKey, found->second, true) }),
           found->second.m_modifyIndex };
}

KeyEntry&
PlatformState::WriteEntry(const std::string& aKey,
                          const std::string& aValue,
                          std::uint64_t aIndex)
{
  KeyEntry& entry = m_keys[aKey];
  entry.m_value = aValue;
  entry.m_modifyIndex = aIndex;
  if (entry.m_createIndex == 0) {
    entry.m_createIndex = aIndex;
  }
  m_changed.notify_all();
  return entry;
}

StateResult
PlatformState::PutKey(const std::string& aKey,
                      const std::string& aValue,
                      const std::optional<std::string>& aSession)
{
  const std::scoped_lock lock(m_mutex);
  if (aValue.size() > kMaxValueBytes) {
    return MakeError(kTooLarge, "value too large");
  }
  if (!aSession) {
    WriteEntry(aKey, aValue, ++m_index);
    return { 200, true, 0 };
  }
  if (!m_sessions.contains(*aSession)) {
    return MakeError(kServerError, "invalid session");
  }
  const auto found = m_keys.find(aKey);
  const std::string holder =
    found == m_keys.end() ? std::string() : found->second.m_session;
  if (!holder.empty() && holder != *aSession) {
    return { 200, false, 0 };
  }
  KeyEntry& entry = WriteEntry(aKey, aValue, ++m_index);
  entry.m_session = *aSession;
  if (holder.empty()) {
    ++entry.m_lockIndex;
  }
  return { 200, true, 0 };
}

std::string
PlatformState::CheckOperation(const nlohmann::json& aOperation) const
{
  const auto& kv = aOperation.at("KV");
  const auto key = kv.at("Key").get<std::string>();
  const auto verb = kv.at("Verb").get<std::string>();
  const auto found = m_keys.find(key);
  if (verb == "check-session") {
    const auto session = kv.at("Session").get<std::string>();
    const bool isHeld = found != m_keys.end() && !session.empty() &&
                        found->second.m_session == session;
    return isHeld ? "" : absl::StrCat("current session differs for ", key);
  }
  const auto index = kv.value("Index", std::uint64_t{ 0 });
  const auto current = found == m_keys.end() ? 0 : found->second.m_modifyIndex;
  return current == index ? "" : absl::StrCat("index is stale for ", key);
}

StateResult
PlatformState::Transaction(const nlohmann::json& aOperations)
{
  const std::scoped_lock lock(m_mutex);
  if (!aOperations.is_array() || aOperations.size() > kMaxOperations) {
    return MakeError(kTooLarge, "transaction has too many operations");
  }
  auto errors = nlohmann::json::array();
  std::vector<std::pair<std::string, std::string>> writes;
  for (std::size_t i = 0; i < aOperations.size(); ++i) {
    const auto& kv = aOperations[i].at("KV");
    const auto verb = kv.at("Verb").get<std::string>();
    if (verb != "cas" && verb != "check-session") {
      return MakeError(kBadRequest, "verb is not supported");
    }
    const std::string problem = CheckOperation(aOperations[i]);
    if (!problem.empty()) {
      errors.push_back({ { "OpIndex", i }, { "What", problem } });
    }
    if (verb == "cas") {
      std::string value;
      if (!absl::Base64Unescape(kv.at("Value").get<std::string>(), &value)) {
        return MakeError(kBadRequest, "value is not valid base64");
      }
      if (value.size() > kMaxValueBytes) {
        return MakeError(kTooLarge, "value too large");
      }
      writes.emplace_back(kv.at("Key").get<std::string>(), value);
    }
  }
  if (!errors.empty()) {
    return { kConflict, { { "Results", nullptr }, { "Errors", errors } }, 0 };
  }
  auto results = nlohmann::json::array();
  if (!writes.empty()) {
    ++m_index;
  }
  for (const auto& [key, value] : writes) {
    const KeyEntry& entry = WriteEntry(key, value, m_index);
    results.push_back({ { "KV", EntryJson(key, entry, false) } });
  }
  return { 200, { { "Results", results }, { "Errors", nullptr } }, 0 };
}

StateResult
PlatformState::CreateSession(const nlohmann::json& aBody)
{
  const std::scoped_lock lock(m_mutex);
  absl::Duration ttl;
  constexpr absl::Duration kMaxTtl = absl::Hours(24);
  if (!absl::ParseDuration(aBody.value("TTL", std::string()), &ttl) ||
      ttl < m_minTtl || ttl > kMaxTtl) {
    return MakeError(kBadRequest, "invalid session TTL");
  }
  if (aBody.value("Behavior", std::string("release")) != "release") {
    return MakeError(kBadRequest, "behavior is not supported");
  }
  ++m_sessionCount;
  constexpr std::uint64_t kOddMultiplier = 0x9E3779B97F4A7C15U;
  const std::uint64_t mixed = m_sessionCount * kOddMultiplier;
  const std::string id =
    absl::StrCat(absl::Hex(mixed >> 32U, absl::kZeroPad8),
                 "-0000-4000-8000-",
                 absl::Hex(m_sessionCount, absl::kZeroPad12));
  m_sessions[id] = { ttl, MonotonicNow() + ttl };
  return { 200, { { "ID", id } }, 0 };
}

StateResult
PlatformState::RenewSession(const std::string& aSession)
{
  const std::scoped_lock lock(m_mutex);
  const auto found = m_sessions.find(aSession);
  if (found == m_sessions.end()) {
    return MakeError(kNotFound, "session not found");
  }
  found->second.m_expiry = MonotonicNow() + found->second.m_ttl;
  return { 200, nlohmann::json::array({ { { "ID", aSession } } }), 0 };
}

void
PlatformState::ReleaseSession(const std::string& aSession)
{
  m_sessions.erase(aSession);
  ++m_index;
  for (auto& [key, entry] : m_keys) {
    if (entry.m_session == aSession) {
      entry.m_session.clear();
      entry.m_modifyIndex = m_index;
    }
  }
  m_changed.notify_all();
}

StateResult
PlatformState::DestroySession(const std::string& aSession)
{
  const std::scoped_lock lock(m_mutex);
  ReleaseSession(aSession);
  return { 200, true, 0 };
}

void
PlatformState::ExpireSessions()
{
  const std::scoped_lock lock(m_mutex);
  const absl::Time now = MonotonicNow();
  std::vector<std::string> expired;
  for (const auto& [id, session] : m_sessions) {
    if (session.m_expiry <= now) {
      expired.push_back(id);
    }
  }
  std::ranges::for_each(expired,
                        [this](const auto& aId) { ReleaseSession(aId); });
}

void
PlatformState::SnapshotNodes()
{
  auto nodes = nlohmann::json::array();
  for (const auto& [name, node] : m_nodes) {
    nodes.push_back(node);
  }
  m_nodeHistory.emplace_back(MonotonicNow(), std::move(nodes));
  if (m_nodeHistory.size() > kMaxNodeHistory) {
    m_nodeHistory.pop_front();
  }
}

StateResult
PlatformState::Register(const nlohmann::json& aNode)
{
  const std::scoped_lock lock(m_mutex);
  const auto name = aNode.at("Node").get<std::string>();
  m_nodes[name] = {
    { "Node", name },
    { "Address", aNode.value("Address", std::string()) },
    { "Datacenter", aNode.value("Datacenter", std::string("dc1")) },
    { "Meta", aNode.value("NodeMeta", nlohmann::json::object()) }
  };
  SnapshotNodes();
  return { 200, true, 0 };
}

StateResult
PlatformState::Deregister(const nlohmann::json& aNode)
{
  const std::scoped_lock lock(m_mutex);
  m_nodes.erase(aNode.at("Node").get<std::string>());
  SnapshotNodes();
  return { 200, true, 0 };
}

StateResult
PlatformState::ListNodes(absl::Duration aLag)
{
  const std::scoped_lock lock(m_mutex);
  const absl::Time asOf = MonotonicNow() - aLag;
  const auto newer = std::ranges::find_if(
    m_nodeHistory, [&](const auto& aEntry) { return aEntry.first > asOf; });
  const auto version =
    newer == m_nodeHistory.begin() ? newer : std::prev(newer);
  return { 200, version->second, m_index };
}

std::string
PlatformState::SetLeaving(const std::string& aVm, bool aIsLeaving)
{
  const std::scoped_lock lock(m_mutex);
  const auto found = m_nodes.find(aVm);
  if (found == m_nodes.end()) {
    return {};
  }
  auto& meta = found->second["Meta"];
  meta["leaving"] = aIsLeaving ? "true" : "false";
  SnapshotNodes();
  const auto address = meta.value("address", std::string());
  return !address.empty()
           ? address
           : absl::StrCat(found->second.value("Address", std::string()),
                          ":",
                          meta.value("port", std::string()));
}

bool
PlatformState::AddRebootToken(const std::string& aToken)
{
  const std::scoped_lock lock(m_mutex);
  return m_rebootTokens.insert(aToken).second;
}

void
PlatformState::SetWatchesCut(bool aIsCut)
{
  const std::scoped_lock lock(m_mutex);
  m_watchCutCount += aIsCut && !m_areWatchesCut ? 1 : 0;
  m_areWatchesCut = aIsCut;
  m_changed.notify_all();
}

int
PlatformState::PendingWatches() const
{
  const std::scoped_lock lock(m_mutex);
  return m_pendingWatches;
}

}
