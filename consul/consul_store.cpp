#include "consul/consul_store.h"

#include "core/url.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace bramleystall {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr int kStatusTooManyRequests = 429;
constexpr int kFirstServerError = 500;

/** URL path of a key; the slashes of the key are not escaped. */
std::string
KeyPath(const std::string& aKey)
{
  const std::vector<std::string> parts = absl::StrSplit(aKey, '/');
  return absl::StrCat(
    "/v1/kv/",
    absl::StrJoin(parts, "/", [](std::string* aOut, const std::string& aPart) {
      aOut->append(EncodeUrlPart(aPart));
    }));
}

[[noreturn]] void
ThrowStatusError(const std::string& aOperation, const ClientResponse& aResponse)
{
  const bool isTemporary = aResponse.m_status >= kFirstServerError ||
                           aResponse.m_status == kStatusTooManyRequests;
  constexpr std::size_t kMaxDetailLength = 200;
  throw Error(isTemporary ? ErrorCode::Unavailable : ErrorCode::InvalidInput,
              absl::StrCat("store: ",
                           aOperation,
                           ": status ",
                           aResponse.m_status,
                           ": ",
                           aResponse.m_body.substr(0, kMaxDetailLength)));
}

std::uint64_t
ParseIndexHeader(const ClientResponse& aResponse)
{
  const auto found = aResponse.m_headers.find("x-consul-index");
  std::uint64_t index = 0;
  if (found == aResponse.m_headers.end() ||
      !absl::SimpleAtoi(found->second, &index)) {
    return 0;
  }
  return index;
}

StoreValue
ParseEntry(const nlohmann::json& aEntry)
{
  StoreValue value;
  value.m_revision = aEntry.at("ModifyIndex").get<std::uint64_t>();
  value.m_lockCount = aEntry.value("LockIndex", std::uint64_t{ 0 });
  value.m_session = aEntry.value("Session", std::string());
  const auto& encoded = aEntry.at("Value");
  if (!encoded.is_null() &&
      !absl::Base64Unescape(encoded.get<std::string>(), &value.m_value)) {
    throw Error(ErrorCode::Unavailable, "store: value is not valid base64");
  }
  return value;
}

nlohmann::json
MakeTransaction(const std::vector<StoreWrite>& aWrites,
                const std::optional<LockCondition>& aCondition)
{
  auto operations = nlohmann::json::array();
  if (aCondition) {
    operations.push_back({ { "KV",
                             { { "Verb", "check-session" },
                               { "Key", aCondition->m_key },
                               { "Session", aCondition->m_session } } } });
  }
  for (const auto& write : aWrites) {
    operations.push_back({ { "KV",
                             { { "Verb", "cas" },
                               { "Key", write.m_key },
                               { "Value", absl::Base64Escape(write.m_value) },
                               { "Index", write.m_expectedRevision } } } });
  }
  return operations;
}

/** Formats a duration in Go syntax, as the API expects it. */
std::string
FormatGoDuration(absl::Duration aDuration)
{
  const auto millis =
    std::max<std::int64_t>(absl::ToInt64Milliseconds(aDuration), 1);
  constexpr std::int64_t kMillisPerSecond = 1000;
  return millis % kMillisPerSecond == 0
           ? absl::StrCat(millis / kMillisPerSecond, "s")
           : absl::StrCat(millis, "ms");
}

}

ConsulStore::ConsulStore(const ConsulSettings& aSettings, Metrics* aMetrics)
  : m_client(aSettings, aMetrics)
{
}

std::optional<StoreValue>
ConsulStore::ParseKeyResponse(const std::string& aKey,
                              const ClientResponse& aResponse,
                              const std::string& aKind)
{
  if (aResponse.m_status == kStatusNotFound) {
    const std::scoped_lock lock(m_mutex);
    m_absentKeyIndexes[aKey] = ParseIndexHeader(aResponse);
    return std::nullopt;
  }
  if (aResponse.m_status != kStatusOk) {
    m_client.CountError(aKind, absl::StrCat("status_", aResponse.m_status));
    ThrowStatusError(absl::StrCat("read of ", aKey), aResponse);
  }
  try {
    return ParseEntry(nlohmann::json::parse(aResponse.m_body).at(0));
  } catch (const nlohmann::json::exception& error) {
    m_client.CountError(aKind, "malformed");
    throw Error(ErrorCode::Unavailable,
                absl::StrCat("store: malformed response: ", error.what()));
  }
}

std::optional<StoreValue>
ConsulStore::Get(const std::string& aKey)
{
  // In the default mode, a former leader of the store may serve the read, which
  // would then miss a write of this client that it reads back.
  const auto response =
    m_client.Read("read", absl::StrCat(KeyPath(aKey), "?consistent"));
  return ParseKeyResponse(aKey, response, "read");
}

std::uint64_t
ConsulStore::AbsentKeyIndex(const std::string& aKey)
{
  const std::scoped_lock lock(m_mutex);
  const auto found = m_absentKeyIndexes.find(aKey);
  return found == m_absentKeyIndexes.end() ? 0 : found->second;
}

std::optional<StoreValue>
ConsulStore::WaitForChange(const std::string& aKey,
                           std::uint64_t aRevision,
                           absl::Duration aTimeout)
{
  std::uint64_t index = aRevision;
  if (index == 0) {
    // The API does not block on index 0, so the watch of a key that does not
    // exist uses the index of the last read that did not find it.
    index = AbsentKeyIndex(aKey);
    if (index == 0) {
      auto value = Get(aKey);
      index = AbsentKeyIndex(aKey);
      if (value || index == 0) {
        return value;
      }
    }
  }
  const auto response = m_client.Watch(
    absl::StrCat(
      KeyPath(aKey), "?index=", index, "&wait=", FormatGoDuration(aTimeout)),
    aTimeout);
  return ParseKeyResponse(aKey, response, "watch");
}

std::optional<ClientResponse>
ConsulStore::PutOnce(const std::string& aKind,
                     const std::string& aPath,
                     const std::string& aBody)
{
  try {
    auto response = m_client.Put(aKind, aPath, aBody);
    if (response.m_status < kFirstServerError) {
      return response;
    }
    // A server error, for example after the store lost its leader during a
    // commit, does not tell whether the write took effect.
    m_client.CountError(aKind, absl::StrCat("status_", response.m_status));
  } catch (const HttpError& error) {
    if (!error.MayHaveBeenSent()) {
      throw;
    }
  }
  return std::nullopt;
}

WriteOutcome
ConsulStore::Write(const std::vector<StoreWrite>& aWrites,
                   const std::optional<LockCondition>& aCondition)
{
  const auto response =
    PutOnce("write", "/v1/txn", MakeTransaction(aWrites, aCondition).dump());
  if (!response) {
    return WriteOutcome::Unknown;
  }
  if (response->m_status == kStatusOk) {
    return WriteOutcome::Applied;
  }
  if (response->m_status == kStatusConflict) {
    m_client.CountError("write", "conflict");
    return WriteOutcome::Conflict;
  }
  m_client.CountError("write", absl::StrCat("status_", response->m_status));
  ThrowStatusError("transaction", *response);
}

std::string
ConsulStore::CreateSession(const std::string& aName, absl::Duration aTtl)
{
  // "release" releases the lock when the session expires and keeps the value,
  // which contains the term.
  const nlohmann::json body = { { "Name", aName },
                                { "TTL", FormatGoDuration(aTtl) },
                                { "Behavior", "release" },
                                { "LockDelay", "0s" } };
  const auto response = PutOnce("session", "/v1/session/create", body.dump());
  if (!response) {
    throw Error(ErrorCode::Unavailable,
                "store: the response to a session creation was lost");
  }
  if (response->m_status != kStatusOk) {
    ThrowStatusError("session creation", *response);
  }
  const auto responseBody =
    nlohmann::json::parse(response->m_body, nullptr, false);
  if (!responseBody.is_object() || !responseBody.contains("ID") ||
      !responseBody["ID"].is_string()) {
    throw Error(ErrorCode::Unavailable,
                "store: the response to a session creation has no id");
  }
  return responseBody["ID"].get<std::string>();
}

bool
ConsulStore::RenewSession(const std::string& aSession)
{
  const auto response = PutOnce(
    "session", absl::StrCat("/v1/session/renew/", EncodeUrlPart(aSession)), "");
  if (!response) {
    throw Error(ErrorCode::Unavailable,
                "store: the response to a session renewal was lost");
  }
  if (response->m_status == kStatusNotFound) {
    return false;
  }
  if (response->m_status != kStatusOk) {
    ThrowStatusError("session renewal", *response);
  }
  return true;
}

void
ConsulStore::DestroySession(const std::string& aSession)
{
  const auto response =
    PutOnce("session",
            absl::StrCat("/v1/session/destroy/", EncodeUrlPart(aSession)),
            "");
  if (!response) {
    throw Error(ErrorCode::Unavailable,
                "store: the response to a session removal was lost");
  }
  if (response->m_status != kStatusOk) {
    ThrowStatusError("session removal", *response);
  }
}

WriteOutcome
ConsulStore::AcquireLock(const std::string& aKey,
                         const std::string& aValue,
                         const std::string& aSession)
{
  const auto response =
    PutOnce("lock",
            absl::StrCat(KeyPath(aKey), "?acquire=", EncodeUrlPart(aSession)),
            aValue);
  if (!response) {
    return WriteOutcome::Unknown;
  }
  if (response->m_status != kStatusOk) {
    m_client.CountError("lock", absl::StrCat("status_", response->m_status));
    ThrowStatusError("lock", *response);
  }
  if (response->m_body.starts_with("true")) {
    return WriteOutcome::Applied;
  }
  m_client.CountError("lock", "conflict");
  return WriteOutcome::Conflict;
}

}
