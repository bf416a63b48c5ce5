#include "scheduler/ownership.h"

#include "core/error.h"
#include "core/log.h"
#include "core/uuid7.h"
#include "net/event_loop.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace bramleystall {

namespace {

using nlohmann::json;

/** A successor follows a dead owner after this time. */
constexpr absl::Duration kLeaseTtl = absl::Milliseconds(2500);
/**
 * Orders go on this long after the last renewal, through an outage of the
 * store. Each second of it delays a successor that cannot reach a worker.
 */
constexpr absl::Duration kAuthority = absl::Milliseconds(6500);
constexpr absl::Duration kRenewInterval = absl::Milliseconds(600);
constexpr absl::Duration kRetryInterval = absl::Milliseconds(200);
/** Candidates of one instant differ by up to this delay. */
constexpr int kMaxCandidateDelayMs = 60;

}

Ownership::Ownership(EventLoop& aLoop,
                     KeyValueStore& aStore,
                     const keys::ShardKeys& aKeys,
                     StateChart aChart,
                     std::string aDaemon,
                     HandicapHook aHandicap,
                     GrantHook aOnGrant,
                     LossHook aOnLoss)
  : m_loop(aLoop)
  , m_store(aStore)
  , m_ownerKey(aKeys.Owner())
  , m_termKey(aKeys.Term())
  , m_chart(std::move(aChart))
  , m_state(m_chart.Initial())
  , m_daemon(std::move(aDaemon))
  , m_handicap(std::move(aHandicap))
  , m_onGrant(std::move(aOnGrant))
  , m_onLoss(std::move(aOnLoss))
{
}

Ownership::~Ownership()
{
  *m_alive = false;
}

bool
Ownership::MayOrder() const
{
  return Is("owner") && m_loop.ReadClock() < m_renewedAt + kAuthority;
}

bool
Ownership::HoldsLease() const
{
  return Is("owner") && m_loop.ReadClock() < m_renewedAt + kLeaseTtl;
}

void
Ownership::Resign()
{
  m_isResigned = true;
  if (Is("owner")) {
    m_store.EndLease(m_lease);
    Lose("resigned", "the daemon stops");
  }
}

void
Ownership::StepDown()
{
  if (Is("owner")) {
    Schedule(absl::ZeroDuration(), &Ownership::Abdicate);
  }
}

void
Ownership::Abdicate()
{
  if (Is("owner")) {
    Lose("superseded", "a worker has orders of a later owner");
  }
}

void
Ownership::Move(const char* aEvent)
{
  const auto next = m_chart.Next(m_state, aEvent);
  if (!next) {
    throw Error(ErrorCode::Internal,
                absl::StrCat("owner_term: no ", aEvent, " in ", m_state));
  }
  m_state = *next;
}

void
Ownership::OnSynchronized(bool aIsSynchronized)
{
  m_isSynchronized = aIsSynchronized;
  Consider();
}

void
Ownership::OnItem(const StoreItem& aItem)
{
  if (aItem.m_key != m_termKey && aItem.m_key != m_ownerKey) {
    return;
  }
  const json value = json::parse(aItem.m_value, nullptr, false);
  if (aItem.m_key == m_termKey) {
    m_termRevision = aItem.m_isRemoved ? 0 : aItem.m_revision;
    m_term = value.is_object() ? value.value("term", std::int64_t{ 0 }) : 0;
    return;
  }
  m_ownerRevision = aItem.m_isRemoved ? 0 : aItem.m_revision;
  m_ownerDaemon = value.is_object() ? value.value("daemon", "") : "";
  m_ownerToken = value.is_object() ? value.value("token", "") : "";
  m_ownerTerm = value.is_object() ? value.value("term", std::int64_t{ 0 }) : 0;
  const bool isOurs = !m_token.empty() && m_ownerToken == m_token;
  if (Is("confirming") && isOurs) {
    Move("key_confirmed");
    LogInfo(LogPart::Owner,
            absl::StrCat(
              "became owner; term=", m_ownerTerm, " fence=", m_ownerRevision));
    Schedule(kRenewInterval, &Ownership::Renew);
    const absl::Time writtenAt = m_renewedAt;
    // A key that ended by itself was renewed at least a lease's time before.
    m_onGrant({ .m_fencingToken = m_ownerRevision,
                .m_term = m_ownerTerm,
                .m_earlierHoldersEnd =
                  m_isTakeover ? m_loop.Now() + kAuthority
                               : writtenAt + kAuthority - kLeaseTtl });
    return;
  }
  if (Is("confirming") && m_ownerRevision != 0) {
    Move("key_taken");
  } else if (Is("owner") && !isOurs) {
    Lose("key_taken", "another daemon became owner");
  }
  Consider();
}

void
Ownership::Consider()
{
  if (m_isResigned || !m_isSynchronized || !Is("follower")) {
    return;
  }
  // A key of an earlier process of this daemon has no holder any more.
  const bool isOwnLeftover = m_ownerDaemon == m_daemon;
  if (m_ownerRevision != 0 && !isOwnLeftover) {
    return;
  }
  Move("owner_absent");
  m_isTakeover = m_ownerRevision != 0;
  m_expectedOwner = m_ownerRevision;
  m_candidateSince = m_loop.Now();
  Schedule(CandidateDelay(), &Ownership::Acquire);
}

absl::Duration
Ownership::CandidateDelay() const
{
  const auto seed = static_cast<std::int64_t>(
    std::hash<std::string>{}(absl::StrCat(m_daemon, m_ownerKey)) +
    static_cast<std::size_t>(m_termRevision));
  return m_handicap() +
         absl::Milliseconds((seed & 0xffff) % kMaxCandidateDelayMs);
}

void
Ownership::Acquire()
{
  const absl::Time sentAt = m_loop.Now();
  if (m_ownerRevision != m_expectedOwner) {
    // Another candidate was first.
    Move("grant_failed");
    Consider();
    return;
  }
  // The handicap grows when the daemon becomes the owner of another shard.
  const absl::Time turn = m_candidateSince + CandidateDelay();
  if (m_loop.Now() < turn) {
    Schedule(turn - m_loop.Now(), &Ownership::Acquire);
    return;
  }
  m_isAcquiring = true;
  m_store.GrantLease(
    kLeaseTtl, [this, sentAt, alive = m_alive](const LeaseResult& aLease) {
      if (!*alive) {
        return;
      }
      m_isAcquiring = false;
      if (aLease.m_status != LeaseStatus::Held) {
        Move("grant_failed");
        Schedule(kRetryInterval, &Ownership::Consider);
        return;
      }
      m_renewedAt = sentAt;
      WriteOwner(aLease);
    });
}

void
Ownership::WriteOwner(const LeaseResult& aLease)
{
  m_lease = aLease.m_lease;
  std::mt19937_64 random(std::random_device{}());
  m_token = Uuid7::Make(absl::Now(), random).ToString();
  Move("key_written");
  const std::int64_t term = m_term + 1;
  StoreTransaction transaction;
  transaction.m_conditions = { { m_ownerKey, m_expectedOwner },
                               { m_termKey, m_termRevision } };
  const json owner = { { "daemon", m_daemon },
                       { "token", m_token },
                       { "term", term } };
  transaction.m_puts = { { m_ownerKey, owner.dump(), m_lease },
                         { m_termKey, json{ { "term", term } }.dump(), 0 } };
  m_store.Commit(transaction,
                 [this, alive = m_alive](const CommitResult& aResult) {
                   // A write that was or may be applied shows in the mirror.
                   if (!*alive || !Is("confirming") ||
                       aResult.m_status == CommitStatus::Applied) {
                     return;
                   }
                   if (aResult.m_status == CommitStatus::Unknown) {
                     m_store.EndLease(m_lease);
                   }
                   Move("write_failed");
                   m_token.clear();
                   Schedule(kRetryInterval, &Ownership::Consider);
                 });
}

void
Ownership::Renew()
{
  if (!Is("owner")) {
    return;
  }
  if (!MayOrder()) {
    Lose("authority_passed", "the lease was not renewed in time");
    return;
  }
  const absl::Time sentAt = m_loop.Now();
  m_store.KeepLease(
    m_lease, [this, sentAt, alive = m_alive](const LeaseResult& aResult) {
      if (*alive) {
        OnRenewed(sentAt, aResult);
      }
    });
}

void
Ownership::OnRenewed(absl::Time aSentAt, const LeaseResult& aResult)
{
  if (!Is("owner")) {
    return;
  }
  switch (aResult.m_status) {
    case LeaseStatus::Held:
      Move("renewed");
      m_renewedAt = aSentAt;
      Schedule(kRenewInterval, &Ownership::Renew);
      break;
    case LeaseStatus::Gone:
      Lose("lease_gone", "the store ended the lease");
      break;
    case LeaseStatus::Unavailable:
      Schedule(kRetryInterval, &Ownership::Renew);
      break;
  }
}

void
Ownership::Lose(const char* aEvent, const std::string& aReason)
{
  Move(aEvent);
  LogWarning(LogPart::Owner, absl::StrCat("lost ownership; reason=", aReason));
  m_token.clear();
  m_onLoss(aReason);
  Schedule(kRetryInterval, &Ownership::Consider);
}

void
Ownership::Schedule(absl::Duration aDelay, void (Ownership::*aStep)())
{
  m_loop.After(aDelay, [this, aStep, alive = m_alive] {
    if (*alive) {
      (this->*aStep)();
    }
  });
}

}
