#pragma once

#include "core/state_chart.h"
#include "scheduler/job_keys.h"
#include "store/key_value_store.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace bramleystall {

class EventLoop;

/** The right of one owner to schedule a shard. */
struct OwnershipGrant
{
  /** Fencing token: the owner key's revision, higher with each owner. */
  std::int64_t m_fencingToken = 0;
  /** Number of the owner's term, from 1. */
  std::int64_t m_term = 0;
  /**
   * Monotonic time from which no previous owner sends orders: counted from the
   * confirmation of the own key, since a previous owner may have had its key,
   * and renewed it, until the own one was written. An owner that gives its key
   * up has stopped sending orders before.
   */
  absl::Time m_previousOwnersExpireAt;
  /** The same for the owners before each term that this daemon has seen. */
  std::map<std::int64_t, absl::Time> m_ownersBeforeExpireAt;
};

/**
 * Leader election with a lease of the store: at most one daemon holds the
 * owner key of a shard. The states are those of charts/owner_term.json.
 */
class Ownership
{
public:
  using GrantHook = std::function<void(const OwnershipGrant&)>;
  using LossHook = std::function<void(const std::string& aReason)>;
  /** Delay of this daemon's candidacy in favour of better candidates. */
  using PriorityDelayHook = std::function<absl::Duration()>;
  /** A better candidate asks for the ownership; see Release. */
  using OfferHook = std::function<void()>;

  Ownership(EventLoop& aLoop,
            KeyValueStore& aStore,
            const keys::ShardKeys& aKeys,
            StateChart aChart,
            std::string aDaemon,
            PriorityDelayHook aPriorityDelay,
            GrantHook aOnGrant,
            LossHook aOnLoss,
            OfferHook aOnOffer);
  ~Ownership();
  Ownership(const Ownership&) = delete;
  Ownership& operator=(const Ownership&) = delete;

  /**
   * True while this daemon may send orders. This outlasts the store lease, so
   * that work goes on through a short outage of the store. The next owner
   * waits until OwnershipGrant::m_previousOwnersExpireAt before it starts tasks
   * that an unreachable worker may still run.
   */
  bool MayOrder() const;
  /** Monotonic time from which MayOrder is false unless the lease is renewed.
   */
  absl::Time OrdersEndAt() const;

  /** True while this daemon is the owner or is acquiring the ownership. */
  bool IsOwnerOrAcquiring() const
  {
    return m_isAcquiring || IsInState("confirming") || IsInState("owner");
  }

  /** A key under keys::kOwnershipPrefix has changed. */
  void OnItem(const StoreItem& aItem);
  /** Sets whether the keys under that prefix are known and current. */
  void OnSynchronized(bool aIsSynchronized);

  /**
   * True while the store lease is certainly valid and the owner key was read
   * within the lease's time. The store may take the key away before that.
   */
  bool HoldsLease() const;

  /** Gives up the ownership on the next run of the event loop, because a worker
   * has accepted the fencing token of a later owner. */
  void StepDown();

  /** Gives up the ownership for good. */
  void Resign();

  /**
   * Gives up the ownership in favour of another daemon, and takes part in the
   * next elections only after a while. Does nothing unless this daemon is the
   * owner.
   */
  void Release();

private:
  /** A renewal: two calls that are sent together. */
  struct Renewal
  {
    absl::Time m_sentAt;
    /** Identifies the term; see m_token. */
    std::string m_token;
    int m_openCalls = 2;
    /** All responses so far show that this daemon is still the owner. */
    bool m_isConfirmed = true;
  };

  void ApplyEvent(const char* aEvent);
  bool IsInState(const char* aState) const { return m_state == aState; }
  /** Ends the lease of the owner key, so that others need not wait for it. */
  void GiveUpKey(const std::string& aReason);
  void OnOwnerItem(const StoreItem& aItem);
  void OnOfferItem(const StoreItem& aItem);
  /** Schedules a look at whether this daemon should replace the owner. */
  void WatchOwner();
  void ConsiderOffer(std::int64_t aTerm);
  /** Whether this daemon could own the shard much better than its owner. */
  bool IsBetterThanOwner() const;
  void ConsiderCandidacy();
  absl::Duration CandidateDelay() const;
  void Acquire();
  void StepDownNow();
  void WriteOwner(const LeaseResult& aLease);
  void ScheduleRenewal(absl::Duration aDelay);
  void Renew();
  void OnLeaseRenewed(Renewal& aRenewal, const LeaseResult& aResult);
  void OnOwnerKeyRead(Renewal& aRenewal, const ReadResult& aResult);
  bool IsCurrent(const Renewal& aRenewal) const;
  void OnRenewalAnswered(Renewal& aRenewal, bool aIsConfirmed);
  void Lose(const char* aEvent, const std::string& aReason);
  void Schedule(absl::Duration aDelay, void (Ownership::*aStep)());

  EventLoop& m_loop;
  KeyValueStore& m_store;
  int m_shard;
  std::string m_ownerKey;
  std::string m_termKey;
  std::string m_offerKey;
  StateChart m_chart;
  std::string m_state;
  std::string m_daemon;
  PriorityDelayHook m_priorityDelay;
  GrantHook m_onGrant;
  LossHook m_onLoss;
  OfferHook m_onOffer;
  bool m_isResigned = false;
  bool m_isSynchronized = false;
  /** A request for a lease is in flight. */
  bool m_isAcquiring = false;
  absl::Time m_candidateSince;
  /** Identifies this acquisition among those of all processes. */
  std::string m_token;
  std::int64_t m_lease = 0;
  /**
   * Time at which the last confirmed renewal was sent, before that the request
   * for the lease. Never later than the store's removal of the owner key, so
   * that the next owner knows when orders end.
   */
  absl::Time m_renewedAt = absl::InfinitePast();
  /** Revision of the owner key that this candidate replaces; 0 for none. */
  std::int64_t m_expectedOwnerRevision = 0;
  /** Owner and term as the store holds them. */
  std::string m_ownerDaemon;
  std::string m_ownerToken;
  std::int64_t m_ownerRevision = 0;
  std::int64_t m_ownerTerm = 0;
  /** Priority delay of the owner when it acquired the shard. */
  absl::Duration m_ownerDelay;
  /** Revision of the last offer, and the term of the owner that it is for. */
  std::int64_t m_offerRevision = 0;
  std::int64_t m_offerTerm = 0;
  /** No candidacy before this time, after a release. */
  absl::Time m_candidateFrom = absl::InfinitePast();
  std::int64_t m_term = 0;
  std::int64_t m_termRevision = 0;
  /** Monotonic time from which no owner before a term sends orders: counted
   * from when this daemon has first seen the term or a later one. */
  std::map<std::int64_t, absl::Time> m_ownersBeforeExpireAt;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
