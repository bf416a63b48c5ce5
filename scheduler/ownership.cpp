#include "scheduler/ownership.h"

#include "core/error.h"
#include "core/json_fields.h"
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

/** Another daemon replaces a failed owner after this time. */
constexpr absl::Duration kLeaseTtl = absl::Milliseconds(2500);
/**
 * The owner sends orders for this long after its last renewal, to work through
 * an outage of the store. Each second of it delays a next owner that cannot
 * reach a worker.
 */
constexpr absl::Duration kAuthorityTime = absl::Milliseconds(6500);
constexpr absl::Duration kRenewInterval = absl::Milliseconds(600);
constexpr absl::Duration kRetryDelay = absl::Milliseconds(200);
/** An owner is offered a replacement this long after it was elected, so that
 * the shard does not change its owner too often. */
constexpr absl::Duration kOfferDelay = absl::Milliseconds(2000);
/** Least difference of the priority delays for an offer: a handover costs about
 * half a second without orders. */
constexpr absl::Duration kOfferMargin = absl::Milliseconds(150);
/** An owner that has released its shard leaves it to others for this time. */
constexpr absl::Duration kReleasePause = absl::Seconds(3);
/** Range of the delay that separates simultaneous candidates. */
constexpr int kMaxCandidateJitterMs = 60;
/** Terms whose first sight is kept. */
constexpr std::size_t kMaxKnownTerms = 16;

}

Ownership::Ownership(EventLoop& aLoop,
                     KeyValueStore& aStore,
                     const keys::ShardKeys& aKeys,
                     StateChart aChart,
                     std::string aDaemon,
                     PriorityDelayHook aPriorityDelay,
                     GrantHook aOnGrant,
                     LossHook aOnLoss,
                     OfferHook aOnOffer)
  : m_loop(aLoop)
  , m_store(aStore)
  , m_shard(aKeys.Shard())
  , m_ownerKey(aKeys.Owner())
  , m_termKey(aKeys.Term())
  , m_offerKey(aKeys.Offer())
  , m_chart(std::move(aChart))
  , m_state(m_chart.Initial())
  , m_daemon(std::move(aDaemon))
  , m_priorityDelay(std::move(aPriorityDelay))
  , m_onGrant(std::move(aOnGrant))
  , m_onLoss(std::move(aOnLoss))
  , m_onOffer(std::move(aOnOffer))
{
}

Ownership::~Ownership()
{
  *m_alive = false;
}

bool
Ownership::MayOrder() const
{
  return IsInState("owner") && m_loop.ReadClock() < OrdersEndAt();
}

absl::Time
Ownership::OrdersEndAt() const
{
  return m_renewedAt + kAuthorityTime;
}

bool
Ownership::HoldsLease() const
{
  return IsInState("owner") && m_loop.ReadClock() < m_renewedAt + kLeaseTtl;
}

void
Ownership::Resign()
{
  m_isResigned = true;
  if (IsInState("owner")) {
    GiveUpKey("the daemon is stopping");
  }
}

void
Ownership::Release()
{
  if (!IsInState("owner")) {
    return;
  }
  m_candidateFrom = m_loop.Now() + kReleasePause;
  GiveUpKey("a daemon with more resources takes over");
}

void
Ownership::GiveUpKey(const std::string& aReason)
{
  m_store.RevokeLease(m_lease);
  Lose("resigned", aReason);
}

void
Ownership::StepDown()
{
  if (IsInState("owner")) {
    Schedule(absl::ZeroDuration(), &Ownership::StepDownNow);
  }
}

void
Ownership::StepDownNow()
{
  if (IsInState("owner")) {
    Lose("superseded", "a worker has accepted a later fencing token");
  }
}

void
Ownership::ApplyEvent(const char* aEvent)
{
  const auto next = m_chart.Next(m_state, aEvent);
  if (!next) {
    throw Error(
      ErrorCode::Internal,
      absl::StrCat(
        "owner_term: no transition on ", aEvent, " in state ", m_state));
  }
  m_state = *next;
}

void
Ownership::OnSynchronized(bool aIsSynchronized)
{
  m_isSynchronized = aIsSynchronized;
  ConsiderCandidacy();
  WatchOwner();
}

void
Ownership::OnItem(const StoreItem& aItem)
{
  if (aItem.m_key == m_termKey) {
    const json value = json::parse(aItem.m_value, nullptr, false);
    m_termRevision = aItem.m_isRemoved ? 0 : aItem.m_revision;
    m_term = IntegerField(value, "term");
    if (!m_ownersBeforeExpireAt.empty() &&
        m_term < m_ownersBeforeExpireAt.rbegin()->first) {
      // The key was lost or overwritten, so the terms are counted anew.
      m_ownersBeforeExpireAt.clear();
    }
    m_ownersBeforeExpireAt.try_emplace(m_term,
                                       m_loop.ReadClock() + kAuthorityTime);
    if (m_ownersBeforeExpireAt.size() > kMaxKnownTerms) {
      m_ownersBeforeExpireAt.erase(m_ownersBeforeExpireAt.begin());
    }
  } else if (aItem.m_key == m_offerKey) {
    OnOfferItem(aItem);
  } else if (aItem.m_key == m_ownerKey) {
    OnOwnerItem(aItem);
  }
}

void
Ownership::OnOfferItem(const StoreItem& aItem)
{
  const json value = json::parse(aItem.m_value, nullptr, false);
  m_offerRevision = aItem.m_isRemoved ? 0 : aItem.m_revision;
  m_offerTerm = IntegerField(value, "term");
  const absl::Duration delay =
    absl::Milliseconds(IntegerField(value, "delay_ms"));
  if (!IsInState("owner") || m_offerTerm != m_ownerTerm ||
      delay + kOfferMargin > m_ownerDelay) {
    return;
  }
  LogInfo(LogPart::Owner,
          absl::StrCat("handing over to a daemon with more resources; shard=",
                       m_shard,
                       " term=",
                       m_ownerTerm,
                       " daemon=",
                       StringField(value, "daemon")));
  m_onOffer();
}

void
Ownership::OnOwnerItem(const StoreItem& aItem)
{
  const json value = json::parse(aItem.m_value, nullptr, false);
  m_ownerRevision = aItem.m_isRemoved ? 0 : aItem.m_revision;
  m_ownerDaemon = StringField(value, "daemon");
  m_ownerToken = StringField(value, "token");
  m_ownerTerm = IntegerField(value, "term");
  m_ownerDelay = absl::Milliseconds(IntegerField(value, "delay_ms"));
  const bool isOurs = !m_token.empty() && m_ownerToken == m_token;
  if (IsInState("confirming") && isOurs) {
    ApplyEvent("key_confirmed");
    const absl::Time previousOwnersExpireAt =
      m_loop.ReadClock() + kAuthorityTime;
    LogInfo(LogPart::Owner,
            absl::StrCat("became owner; shard=",
                         m_shard,
                         " term=",
                         m_ownerTerm,
                         " fence=",
                         m_ownerRevision,
                         " previous_owners_expire_in_ms=",
                         absl::ToInt64Milliseconds(previousOwnersExpireAt -
                                                   m_loop.Now())));
    ScheduleRenewal(kRenewInterval);
    m_onGrant({ .m_fencingToken = m_ownerRevision,
                .m_term = m_ownerTerm,
                .m_previousOwnersExpireAt = previousOwnersExpireAt,
                .m_ownersBeforeExpireAt = m_ownersBeforeExpireAt });
    return;
  }
  if (IsInState("confirming") && m_ownerRevision != 0) {
    ApplyEvent("key_taken");
  } else if (IsInState("owner") && !isOurs) {
    Lose("key_taken",
         m_ownerRevision == 0 ? "the store no longer has the key"
                              : "another daemon became owner");
  }
  ConsiderCandidacy();
  WatchOwner();
}

bool
Ownership::IsBetterThanOwner() const
{
  return !m_isResigned && m_isSynchronized && IsInState("follower") &&
         m_ownerRevision != 0 && m_ownerDaemon != m_daemon &&
         m_priorityDelay() + kOfferMargin <= m_ownerDelay;
}

void
Ownership::WatchOwner()
{
  if (!IsBetterThanOwner()) {
    return;
  }
  m_loop.After(kOfferDelay + CandidateDelay(),
               [this, term = m_ownerTerm, alive = m_alive] {
                 if (*alive) {
                   ConsiderOffer(term);
                 }
               });
}

void
Ownership::ConsiderOffer(std::int64_t aTerm)
{
  if (!IsBetterThanOwner() || m_ownerTerm != aTerm || m_offerTerm == aTerm) {
    return;
  }
  const json offer = { { "daemon", m_daemon },
                       { "term", aTerm },
                       { "delay_ms",
                         absl::ToInt64Milliseconds(m_priorityDelay()) } };
  StoreTransaction transaction;
  transaction.m_conditions = { { m_ownerKey, m_ownerRevision },
                               { m_offerKey, m_offerRevision } };
  transaction.m_puts = { { m_offerKey, offer.dump(), 0 } };
  m_store.Commit(transaction, [](const CommitResult& aResult) {
    // With Conflict, another daemon was first or the owner has changed.
    if (aResult.m_status != CommitStatus::Applied &&
        aResult.m_status != CommitStatus::Conflict) {
      LogInfo(LogPart::Owner,
              absl::StrCat("offer to take over a shard not stored; error=",
                           aResult.m_error));
    }
  });
}

void
Ownership::ConsiderCandidacy()
{
  if (m_isResigned || !m_isSynchronized || !IsInState("follower")) {
    return;
  }
  if (m_loop.Now() < m_candidateFrom) {
    Schedule(m_candidateFrom - m_loop.Now(), &Ownership::ConsiderCandidacy);
    return;
  }
  // A key that this daemon wrote earlier, possibly before a restart, has no
  // owner any more.
  const bool isOwnEarlierKey = m_ownerDaemon == m_daemon;
  if (m_ownerRevision != 0 && !isOwnEarlierKey) {
    return;
  }
  ApplyEvent("owner_absent");
  m_expectedOwnerRevision = m_ownerRevision;
  m_candidateSince = m_loop.Now();
  Schedule(CandidateDelay(), &Ownership::Acquire);
}

absl::Duration
Ownership::CandidateDelay() const
{
  const auto seed = static_cast<std::int64_t>(
    std::hash<std::string>{}(absl::StrCat(m_daemon, m_ownerKey)) +
    static_cast<std::size_t>(m_termRevision));
  return m_priorityDelay() +
         absl::Milliseconds((seed & 0xffff) % kMaxCandidateJitterMs);
}

void
Ownership::Acquire()
{
  const absl::Time sentAt = m_loop.Now();
  if (m_ownerRevision != m_expectedOwnerRevision) {
    // Another candidate was first.
    ApplyEvent("grant_failed");
    ConsiderCandidacy();
    return;
  }
  // The priority delay grows when the daemon becomes owner of another shard.
  const absl::Time acquireAt = m_candidateSince + CandidateDelay();
  if (m_loop.Now() < acquireAt) {
    Schedule(acquireAt - m_loop.Now(), &Ownership::Acquire);
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
        ApplyEvent("grant_failed");
        Schedule(kRetryDelay, &Ownership::ConsiderCandidacy);
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
  const absl::Duration delay = m_priorityDelay();
  ApplyEvent("key_written");
  const std::int64_t term = m_term + 1;
  StoreTransaction transaction;
  transaction.m_conditions = { { m_ownerKey, m_expectedOwnerRevision },
                               { m_termKey, m_termRevision } };
  const json owner = { { "daemon", m_daemon },
                       { "token", m_token },
                       { "term", term },
                       { "delay_ms", absl::ToInt64Milliseconds(delay) } };
  transaction.m_puts = { { m_ownerKey, owner.dump(), m_lease },
                         { m_termKey, json{ { "term", term } }.dump(), 0 } };
  m_store.Commit(transaction,
                 [this, alive = m_alive](const CommitResult& aResult) {
                   // An applied write is confirmed by the mirror; see OnItem.
                   if (!*alive || !IsInState("confirming") ||
                       aResult.m_status == CommitStatus::Applied) {
                     return;
                   }
                   if (aResult.m_status == CommitStatus::Unknown) {
                     // The write may have been applied. The mirror then shows
                     // the key, which the store removes with the lease.
                     m_store.RevokeLease(m_lease);
                   }
                   ApplyEvent("write_failed");
                   m_token.clear();
                   Schedule(kRetryDelay, &Ownership::ConsiderCandidacy);
                 });
}

void
Ownership::ScheduleRenewal(absl::Duration aDelay)
{
  m_loop.After(aDelay, [this, token = m_token, alive = m_alive] {
    if (*alive && token == m_token) {
      Renew();
    }
  });
}

void
Ownership::Renew()
{
  if (!IsInState("owner")) {
    return;
  }
  if (!MayOrder()) {
    Lose("authority_passed", "the lease was not renewed in time");
    return;
  }
  // The store may take the key away while the lease goes on. A read of the key
  // that is sent now shows that it was not gone before.
  const auto renewal = std::make_shared<Renewal>();
  renewal->m_sentAt = m_loop.Now();
  renewal->m_token = m_token;
  m_store.RenewLease(
    m_lease, [this, renewal, alive = m_alive](const LeaseResult& aResult) {
      if (*alive && IsCurrent(*renewal)) {
        OnLeaseRenewed(*renewal, aResult);
      }
    });
  m_store.Get(m_ownerKey,
              [this, renewal, alive = m_alive](const ReadResult& aResult) {
                if (*alive && IsCurrent(*renewal)) {
                  OnOwnerKeyRead(*renewal, aResult);
                }
              });
}

bool
Ownership::IsCurrent(const Renewal& aRenewal) const
{
  return IsInState("owner") && aRenewal.m_token == m_token;
}

void
Ownership::OnLeaseRenewed(Renewal& aRenewal, const LeaseResult& aResult)
{
  if (aResult.m_status == LeaseStatus::Gone) {
    Lose("lease_gone", "the store no longer has the lease");
    return;
  }
  OnRenewalAnswered(aRenewal, aResult.m_status == LeaseStatus::Held);
}

void
Ownership::OnOwnerKeyRead(Renewal& aRenewal, const ReadResult& aResult)
{
  const bool isRead = aResult.m_status == ReadStatus::Ok;
  if (isRead) {
    const StoreItem item =
      aResult.m_items.empty()
        ? StoreItem{ .m_key = m_ownerKey, .m_isRemoved = true }
        : aResult.m_items.front();
    const json value = json::parse(item.m_value, nullptr, false);
    if (StringField(value, "token") != m_token) {
      OnOwnerItem(item);
      return;
    }
  }
  OnRenewalAnswered(aRenewal, isRead);
}

void
Ownership::OnRenewalAnswered(Renewal& aRenewal, bool aIsConfirmed)
{
  --aRenewal.m_openCalls;
  aRenewal.m_isConfirmed = aRenewal.m_isConfirmed && aIsConfirmed;
  if (aRenewal.m_openCalls > 0) {
    return;
  }
  if (!aRenewal.m_isConfirmed) {
    ScheduleRenewal(kRetryDelay);
    return;
  }
  ApplyEvent("renewed");
  m_renewedAt = aRenewal.m_sentAt;
  ScheduleRenewal(kRenewInterval);
}

void
Ownership::Lose(const char* aEvent, const std::string& aReason)
{
  ApplyEvent(aEvent);
  LogWarning(
    LogPart::Owner,
    absl::StrCat("lost ownership; shard=",
                 m_shard,
                 " reason=",
                 aReason,
                 " renewed_ms_ago=",
                 absl::ToInt64Milliseconds(m_loop.ReadClock() - m_renewedAt)));
  m_token.clear();
  m_onLoss(aReason);
  Schedule(kRetryDelay, &Ownership::ConsiderCandidacy);
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
