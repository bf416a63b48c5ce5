#include "cluster/decider_lease.h"

#include "core/clock.h"
#include "core/error.h"
#include "core/log.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace bramleystall {

DeciderLease::DeciderLease(PlatformStore& aStore,
                           StateChart aChart,
                           DeciderLeaseSettings aSettings,
                           Metrics* aMetrics)
  : m_store(aStore)
  , m_chart(std::move(aChart))
  , m_settings(std::move(aSettings))
  , m_metrics(aMetrics)
  , m_retryDelays(m_settings.m_firstRetryDelay,
                  m_settings.m_maxRetryDelay,
                  m_settings.m_seed)
  , m_state(ValueOf(kDeciderStateNames, m_chart.Initial())
              .value_or(DeciderState::Follower))
{
  if (!m_settings.m_now) {
    m_settings.m_now = MonotonicNow;
  }
}

DeciderLease::~DeciderLease()
{
  Stop();
}

void
DeciderLease::Start()
{
  m_thread = std::jthread([this](const std::stop_token& aStop) { Run(aStop); });
}

void
DeciderLease::Stop()
{
  if (!m_thread.joinable()) {
    return;
  }
  m_thread.request_stop();
  m_thread.join();
  Release();
}

void
DeciderLease::Run(const std::stop_token& aStop)
{
  while (!aStop.stop_requested()) {
    const absl::Duration delay = Step();
    std::unique_lock lock(m_mutex);
    m_wake.wait_for(
      lock, aStop, absl::ToChronoNanoseconds(delay), [] { return false; });
  }
}

void
DeciderLease::Fire(const std::string& aEvent)
{
  if (m_metrics != nullptr) {
    m_metrics->Count("bramleystall_decider_transitions_total",
                     { { "event", aEvent } });
  }
  const std::scoped_lock lock(m_mutex);
  const std::string before(NameOf(kDeciderStateNames, m_state));
  const auto after = m_chart.Next(before, aEvent);
  const auto state = after ? ValueOf(kDeciderStateNames, *after) : std::nullopt;
  if (!state) {
    throw Error(
      ErrorCode::Internal,
      absl::StrCat(
        "decider term: event ", aEvent, " is not allowed in state ", before));
  }
  if (m_state != *state) {
    LogInfo(LogPart::Planner,
            absl::StrCat("decider lease: ", before, " to ", *after));
  }
  m_state = *state;
}

absl::Duration
DeciderLease::HandleFailure(const std::string& aMessage)
{
  const std::string state(NameOf(kDeciderStateNames, State()));
  if (m_metrics != nullptr) {
    m_metrics->Count("bramleystall_decider_lease_errors_total",
                     { { "state", state } });
  }
  if (!std::exchange(m_isFailing, true)) {
    LogWarning(LogPart::Planner,
               absl::StrCat("decider lease in state ", state, ": ", aMessage));
  }
  return m_retryDelays.Next();
}

absl::Duration
DeciderLease::StepState()
{
  switch (State()) {
    case DeciderState::Follower:
      return StepFollower();
    case DeciderState::Candidate:
      return StepCandidate();
    case DeciderState::Confirming:
      return StepConfirming();
    case DeciderState::Holder:
    case DeciderState::Lapsed:
      return StepHolder();
  }
  return m_settings.m_renewInterval;
}

absl::Duration
DeciderLease::Step()
{
  try {
    const absl::Duration delay = StepState();
    m_isFailing = false;
    return delay;
  } catch (const Error& error) {
    if (State() == DeciderState::Holder && IsPastDeadline()) {
      Fire("deadline_passed");
    }
    return HandleFailure(error.what());
  }
}

void
DeciderLease::RecordLockState(const std::optional<StoreValue>& aValue)
{
  std::string holder;
  if (aValue && !aValue->m_session.empty()) {
    const auto value = nlohmann::json::parse(aValue->m_value, nullptr, false);
    holder = value.is_object() && value.contains("daemon") &&
                 value["daemon"].is_string()
               ? value["daemon"].get<std::string>()
               : std::string("unknown");
  }
  const std::scoped_lock lock(m_mutex);
  m_holder = holder;
  m_revision = aValue ? aValue->m_revision : 0;
  m_lockCount = aValue ? aValue->m_lockCount : 0;
}

absl::Duration
DeciderLease::StepFollower()
{
  // A watch of a key that does not exist yet would wait for the whole time-out.
  const auto value =
    m_hasRead ? m_store.WaitForChange(
                  m_settings.m_key, m_revision, m_settings.m_watchTimeout)
              : m_store.Get(m_settings.m_key);
  m_hasRead = true;
  RecordLockState(value);
  m_retryDelays.Reset();
  if (value && !value->m_session.empty()) {
    return absl::ZeroDuration();
  }
  Fire("lock_free");
  // All followers see the free lock at the same time; the jitter keeps most of
  // them from creating a session that they do not need.
  RetryDelays jitter(m_settings.m_takeoverJitter,
                     m_settings.m_takeoverJitter,
                     m_settings.m_seed ^ m_revision);
  return jitter.Next();
}

void
DeciderLease::EnsureSession()
{
  // A session past half of its TTL could expire before the lock is confirmed.
  const bool isFresh =
    !m_session.empty() &&
    m_settings.m_now() - m_sessionCreated < m_settings.m_ttl / 2;
  if (isFresh) {
    return;
  }
  DropSession();
  const absl::Time sent = m_settings.m_now();
  const std::string session =
    m_store.CreateSession(m_settings.m_daemon, m_settings.m_ttl);
  const std::scoped_lock lock(m_mutex);
  m_session = session;
  m_sessionCreated = sent;
  m_deadline = sent + m_settings.m_ttl - m_settings.m_safetyMargin;
}

void
DeciderLease::DropSession()
{
  std::string session;
  {
    const std::scoped_lock lock(m_mutex);
    session.swap(m_session);
    m_deadline = absl::InfinitePast();
    m_term = 0;
  }
  if (session.empty()) {
    return;
  }
  try {
    m_store.DestroySession(session);
  } catch (const Error& error) {
    // The session is never renewed again, so it expires.
    LogWarning(
      LogPart::Planner,
      absl::StrCat(
        "decider lease: cannot destroy the session, which will expire: ",
        error.what()));
  }
}

void
DeciderLease::BecomeFollower(const std::string& aEvent)
{
  DropSession();
  Fire(aEvent);
}

std::string
DeciderLease::MakeValue(std::uint64_t aTerm) const
{
  const nlohmann::json value = { { "daemon", m_settings.m_daemon },
                                 { "term", aTerm } };
  return value.dump();
}

absl::Duration
DeciderLease::StepCandidate()
{
  const auto current = m_store.Get(m_settings.m_key);
  RecordLockState(current);
  if (current && !current->m_session.empty() &&
      current->m_session != m_session) {
    BecomeFollower("lock_taken");
    return absl::ZeroDuration();
  }
  EnsureSession();
  const WriteOutcome outcome = m_store.AcquireLock(
    m_settings.m_key, MakeValue(m_lockCount + 1), m_session);
  if (outcome == WriteOutcome::Conflict) {
    BecomeFollower("lock_taken");
    return absl::ZeroDuration();
  }
  Fire("lock_written");
  return absl::ZeroDuration();
}

absl::Duration
DeciderLease::StepConfirming()
{
  const auto value = m_store.Get(m_settings.m_key);
  RecordLockState(value);
  if (!value || value->m_session.empty()) {
    // The attempt may still reach the store. It belongs to the same session, so
    // a retry cannot lead to two holders.
    Fire("lock_free");
    return m_retryDelays.Next();
  }
  if (value->m_session != m_session) {
    BecomeFollower("lock_taken");
    return absl::ZeroDuration();
  }
  m_retryDelays.Reset();
  RepairValue(*value);
  {
    const std::scoped_lock lock(m_mutex);
    m_term = value->m_lockCount;
  }
  Fire("confirmed");
  if (m_metrics != nullptr) {
    m_metrics->SetGauge(
      "bramleystall_decider_term", {}, static_cast<double>(value->m_lockCount));
  }
  return absl::ZeroDuration();
}

void
DeciderLease::RepairValue(const StoreValue& aValue)
{
  const std::string expected = MakeValue(aValue.m_lockCount);
  if (aValue.m_value == expected) {
    return;
  }
  // The value is informative only, since the session guards the writes. A
  // failed repair is retried with the next renewal.
  m_store.Write({ { m_settings.m_key, expected, aValue.m_revision } },
                LockCondition{ m_settings.m_key, m_session });
}

void
DeciderLease::SetDeadline(absl::Time aRenewalSent)
{
  const std::scoped_lock lock(m_mutex);
  m_deadline = aRenewalSent + m_settings.m_ttl - m_settings.m_safetyMargin;
}

absl::Duration
DeciderLease::StepHolder()
{
  // The store counts the TTL from the arrival of the renewal, which is not
  // earlier than its sending.
  const absl::Time sent = m_settings.m_now();
  if (!m_store.RenewSession(m_session)) {
    BecomeFollower("session_lost");
    return absl::ZeroDuration();
  }
  // A session outlives its lock when an operator deletes or unlocks the key.
  const auto value = m_store.Get(m_settings.m_key);
  RecordLockState(value);
  if (!value || value->m_session != m_session) {
    BecomeFollower("session_lost");
    return absl::ZeroDuration();
  }
  SetDeadline(sent);
  m_retryDelays.Reset();
  Fire("renewed");
  RepairValue(*value);
  return m_settings.m_renewInterval;
}

void
DeciderLease::Release()
{
  const bool hasSession = State() != DeciderState::Follower;
  DropSession();
  if (hasSession) {
    Fire("released");
  }
}

bool
DeciderLease::IsPastDeadline() const
{
  const std::scoped_lock lock(m_mutex);
  return m_settings.m_now() >= m_deadline;
}

bool
DeciderLease::MayDecide() const
{
  const std::scoped_lock lock(m_mutex);
  return m_state == DeciderState::Holder && m_settings.m_now() < m_deadline;
}

std::optional<LockCondition>
DeciderLease::Condition() const
{
  const std::scoped_lock lock(m_mutex);
  if (m_state != DeciderState::Holder || m_settings.m_now() >= m_deadline) {
    return std::nullopt;
  }
  return LockCondition{ m_settings.m_key, m_session };
}

std::uint64_t
DeciderLease::Term() const
{
  const std::scoped_lock lock(m_mutex);
  return m_term;
}

DeciderState
DeciderLease::State() const
{
  const std::scoped_lock lock(m_mutex);
  return m_state;
}

std::string
DeciderLease::LastSeenHolder() const
{
  const std::scoped_lock lock(m_mutex);
  return m_holder;
}

}
