#pragma once

#include "core/state_chart.h"
#include "scheduler/job_keys.h"
#include "store/key_value_store.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bramleystall {

class EventLoop;

/** The right to schedule, as one holder has it. */
struct OwnershipGrant
{
  /** Revision of the owner key: higher with each holder. */
  std::int64_t m_fencingToken = 0;
  /** Number of the holder, from 1. */
  std::int64_t m_term = 0;
  /**
   * Monotonic time from which no earlier holder gives orders: its lease was
   * renewed before the key ended, or the key was taken over just now.
   */
  absl::Time m_earlierHoldersEnd;
};

/**
 * Leader election by a lease of the store: at most one daemon holds the owner
 * key of a shard. The states are those of charts/owner_term.json.
 */
class Ownership
{
public:
  using GrantHook = std::function<void(const OwnershipGrant&)>;
  using LossHook = std::function<void(const std::string& aReason)>;
  /** Time that the daemon leaves to better candidates. */
  using HandicapHook = std::function<absl::Duration()>;

  Ownership(EventLoop& aLoop,
            KeyValueStore& aStore,
            const keys::ShardKeys& aKeys,
            StateChart aChart,
            std::string aDaemon,
            HandicapHook aHandicap,
            GrantHook aOnGrant,
            LossHook aOnLoss);
  ~Ownership();
  Ownership(const Ownership&) = delete;
  Ownership& operator=(const Ownership&) = delete;

  /**
   * True while this daemon may give orders. This outlasts the store's lease,
   * so that work goes on through a short outage: a successor waits until
   * OwnershipGrant::m_earlierHoldersEnd before it starts what an unreachable
   * worker may still run.
   */
  bool MayOrder() const;

  /** True while this daemon is the owner or is about to become it. */
  bool IsEngaged() const
  {
    return m_isAcquiring || Is("confirming") || Is("owner");
  }

  /** A key under keys::kOwnershipPrefix has changed. */
  void OnItem(const StoreItem& aItem);
  /** Whether all keys under that prefix are known at present. */
  void OnSynchronized(bool aIsSynchronized);

  /** True while the store's own lease is certainly valid. */
  bool HoldsLease() const;

  /** A later owner has been seen; this one gives no more orders. */
  void StepDown();

  /** Gives the ownership up and does not take it again. */
  void Resign();

private:
  void Move(const char* aEvent);
  bool Is(const char* aState) const { return m_state == aState; }
  void Consider();
  absl::Duration CandidateDelay() const;
  void Acquire();
  void Abdicate();
  void WriteOwner(const LeaseResult& aLease);
  void Renew();
  void OnRenewed(absl::Time aSentAt, const LeaseResult& aResult);
  void Lose(const char* aEvent, const std::string& aReason);
  void Schedule(absl::Duration aDelay, void (Ownership::*aStep)());

  EventLoop& m_loop;
  KeyValueStore& m_store;
  std::string m_ownerKey;
  std::string m_termKey;
  StateChart m_chart;
  std::string m_state;
  std::string m_daemon;
  HandicapHook m_handicap;
  GrantHook m_onGrant;
  LossHook m_onLoss;
  bool m_isResigned = false;
  bool m_isSynchronized = false;
  /** A lease has been asked for. */
  bool m_isAcquiring = false;
  absl::Time m_candidateSince;
  /** Distinguishes the acquisitions of this process from all others. */
  std::string m_token;
  std::int64_t m_lease = 0;
  absl::Time m_renewedAt = absl::InfinitePast();
  bool m_isTakeover = false;
  /** Revision of the owner key that this candidate replaces; 0 for none. */
  std::int64_t m_expectedOwner = 0;
  /** What the store holds. */
  std::string m_ownerDaemon;
  std::string m_ownerToken;
  std::int64_t m_ownerRevision = 0;
  std::int64_t m_ownerTerm = 0;
  std::int64_t m_term = 0;
  std::int64_t m_termRevision = 0;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
