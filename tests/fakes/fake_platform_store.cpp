#include "tests/fakes/fake_platform_store.h"

#include "core/error.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <chrono>

namespace bramleystall {

namespace {

[[noreturn]] void
ThrowUnavailable()
{
  throw Error(ErrorCode::Unavailable, "fake store: the store is unavailable");
}

}

void
FakePlatformStore::RecordCall(const std::string& aName)
{
  std::function<void(const std::string&)> hook;
  {
    const std::scoped_lock lock(m_mutex);
    ++m_callCounts[aName];
    hook = m_callHook;
  }
  if (hook) {
    hook(aName);
  }
}

std::optional<StoreValue>
FakePlatformStore::Find(const std::string& aKey) const
{
  const auto found = m_values.find(aKey);
  if (found == m_values.end()) {
    return std::nullopt;
  }
  return found->second;
}

bool
FakePlatformStore::HoldsLock(const LockCondition& aCondition) const
{
  const auto value = Find(aCondition.m_key);
  return value && !value->m_session.empty() &&
         value->m_session == aCondition.m_session;
}

void
FakePlatformStore::Set(const std::string& aKey, const std::string& aValue)
{
  StoreValue& value = m_values[aKey];
  value.m_value = aValue;
  value.m_revision = ++m_lastRevision;
  m_changed.notify_all();
}

std::optional<StoreValue>
FakePlatformStore::Get(const std::string& aKey)
{
  RecordCall("get");
  const std::scoped_lock lock(m_mutex);
  if (m_isDown) {
    ThrowUnavailable();
  }
  return Find(aKey);
}

std::optional<StoreValue>
FakePlatformStore::WaitForChange(const std::string& aKey,
                                 std::uint64_t aRevision,
                                 absl::Duration aTimeout)
{
  RecordCall("wait");
  std::unique_lock lock(m_mutex);
  m_changed.wait_for(lock, absl::ToChronoNanoseconds(aTimeout), [&] {
    const auto value = Find(aKey);
    return m_isDown || m_isStopped ||
           (value ? value->m_revision : 0) != aRevision;
  });
  if (m_isDown || m_isStopped) {
    ThrowUnavailable();
  }
  return Find(aKey);
}

bool
FakePlatformStore::ConsumeLostRequest()
{
  if (m_lostRequests == 0) {
    return false;
  }
  --m_lostRequests;
  return true;
}

WriteOutcome
FakePlatformStore::ReportedOutcome(WriteOutcome aOutcome)
{
  if (m_lostResponses == 0) {
    return aOutcome;
  }
  --m_lostResponses;
  return WriteOutcome::Unknown;
}

WriteOutcome
FakePlatformStore::Write(const std::vector<StoreWrite>& aWrites,
                         const std::optional<LockCondition>& aCondition)
{
  RecordCall("write");
  const std::scoped_lock lock(m_mutex);
  if (m_isDown) {
    ThrowUnavailable();
  }
  if (ConsumeLostRequest()) {
    return WriteOutcome::Unknown;
  }
  const bool isAllowed =
    (!aCondition || HoldsLock(*aCondition)) &&
    std::ranges::all_of(aWrites, [this](const StoreWrite& aWrite) {
      const auto value = Find(aWrite.m_key);
      return (value ? value->m_revision : 0) == aWrite.m_expectedRevision;
    });
  if (!isAllowed) {
    return ReportedOutcome(WriteOutcome::Conflict);
  }
  for (const auto& write : aWrites) {
    Set(write.m_key, write.m_value);
  }
  return ReportedOutcome(WriteOutcome::Applied);
}

std::string
FakePlatformStore::CreateSession(const std::string& aName, absl::Duration)
{
  RecordCall("create_session");
  const std::scoped_lock lock(m_mutex);
  if (m_isDown) {
    ThrowUnavailable();
  }
  const bool isLost = ConsumeLostRequest();
  std::string session = absl::StrCat(aName, "-", ++m_lastSession);
  if (!isLost) {
    m_sessions.insert(session);
  }
  if (isLost ||
      ReportedOutcome(WriteOutcome::Applied) == WriteOutcome::Unknown) {
    throw Error(ErrorCode::Unavailable, "fake store: the response is lost");
  }
  return session;
}

bool
FakePlatformStore::RenewSession(const std::string& aSession)
{
  RecordCall("renew_session");
  const std::scoped_lock lock(m_mutex);
  if (m_isDown) {
    ThrowUnavailable();
  }
  return m_sessions.contains(aSession);
}

void
FakePlatformStore::EndSession(const std::string& aSession)
{
  m_sessions.erase(aSession);
  for (auto& [key, value] : m_values) {
    if (value.m_session == aSession) {
      value.m_session.clear();
      value.m_revision = ++m_lastRevision;
    }
  }
  m_changed.notify_all();
}

void
FakePlatformStore::DestroySession(const std::string& aSession)
{
  RecordCall("destroy_session");
  const std::scoped_lock lock(m_mutex);
  if (m_isDown) {
    ThrowUnavailable();
  }
  EndSession(aSession);
}

WriteOutcome
FakePlatformStore::AcquireLock(const std::string& aKey,
                               const std::string& aValue,
                               const std::string& aSession)
{
  RecordCall("acquire");
  const std::scoped_lock lock(m_mutex);
  if (m_isDown) {
    ThrowUnavailable();
  }
  if (ConsumeLostRequest()) {
    return WriteOutcome::Unknown;
  }
  const auto value = Find(aKey);
  const std::string holder = value ? value->m_session : std::string();
  if (!m_sessions.contains(aSession) ||
      (!holder.empty() && holder != aSession)) {
    return ReportedOutcome(WriteOutcome::Conflict);
  }
  Set(aKey, aValue);
  StoreValue& locked = m_values[aKey];
  locked.m_session = aSession;
  if (holder != aSession) {
    ++locked.m_lockCount;
  }
  return ReportedOutcome(WriteOutcome::Applied);
}

void
FakePlatformStore::SetDown(bool aIsDown)
{
  const std::scoped_lock lock(m_mutex);
  m_isDown = aIsDown;
  m_changed.notify_all();
}

void
FakePlatformStore::LoseWriteResponses(int aCount)
{
  const std::scoped_lock lock(m_mutex);
  m_lostResponses = aCount;
}

void
FakePlatformStore::LoseWriteRequests(int aCount)
{
  const std::scoped_lock lock(m_mutex);
  m_lostRequests = aCount;
}

void
FakePlatformStore::ExpireSession(const std::string& aSession)
{
  const std::scoped_lock lock(m_mutex);
  EndSession(aSession);
}

void
FakePlatformStore::Put(const std::string& aKey, const std::string& aValue)
{
  const std::scoped_lock lock(m_mutex);
  Set(aKey, aValue);
}

void
FakePlatformStore::SetCallHook(std::function<void(const std::string&)> aHook)
{
  const std::scoped_lock lock(m_mutex);
  m_callHook = std::move(aHook);
}

int
FakePlatformStore::CallCount(const std::string& aName) const
{
  const std::scoped_lock lock(m_mutex);
  const auto found = m_callCounts.find(aName);
  return found == m_callCounts.end() ? 0 : found->second;
}

void
FakePlatformStore::StopWatches()
{
  const std::scoped_lock lock(m_mutex);
  m_isStopped = true;
  m_changed.notify_all();
}

std::string
FakePlatformStore::Dump() const
{
  const std::scoped_lock lock(m_mutex);
  std::string text = absl::StrCat(m_lastRevision, ";", m_lastSession, ";");
  for (const auto& [key, value] : m_values) {
    absl::StrAppend(&text,
                    key,
                    "=",
                    value.m_revision,
                    ",",
                    value.m_lockCount,
                    ",",
                    value.m_session,
                    ",",
                    value.m_value,
                    ";");
  }
  for (const auto& session : m_sessions) {
    absl::StrAppend(&text, session, ";");
  }
  return text;
}

}
