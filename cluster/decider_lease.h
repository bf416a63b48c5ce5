#pragma once

#include "cluster/retry_delays.h"
#include "consul/platform_store.h"
#include "core/enum_names.h"
#include "core/metrics.h"
#include "core/state_chart.h"

#include <absl/time/time.h>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <stop_token>
#include <string>
#include <thread>

namespace bramleystall {

/** States of `charts/decider_term.json`. */
enum class DeciderState
{
  /** Another daemon holds the lease, or none does yet. */
  Follower,
  /** The last read found the lock free; this daemon tries to acquire it. */
  Candidate,
  /** This daemon may have acquired the lock; the value is read back. */
  Confirming,
  Holder,
  /** The deadline passed without a renewal; no decision is allowed. */
  Lapsed,
};

inline constexpr EnumNames<DeciderState, 5> kDeciderStateNames = { {
  { DeciderState::Follower, "follower" },
  { DeciderState::Candidate, "candidate" },
  { DeciderState::Confirming, "confirming" },
  { DeciderState::Holder, "holder" },
  { DeciderState::Lapsed, "lapsed" },
} };

struct DeciderLeaseSettings
{
  /** Name of this daemon, unique in the fleet. */
  std::string m_daemon;
  std::string m_key = "bramleystall/decider";
  /** The store's API allows no session shorter than 10 s. */
  absl::Duration m_ttl = absl::Seconds(10);
  /** The holder stops deciding this long before the session may expire. */
  absl::Duration m_safetyMargin = absl::Seconds(2);
  absl::Duration m_renewInterval = absl::Seconds(2);
  /** Longest wait of a follower for a change of the lease. */
  absl::Duration m_watchTimeout = absl::Seconds(30);
  /** Upper bound of the random delay before a follower tries a free lock. */
  absl::Duration m_takeoverJitter = absl::Milliseconds(500);
  absl::Duration m_firstRetryDelay = absl::Milliseconds(200);
  absl::Duration m_maxRetryDelay = absl::Seconds(3);
  std::uint64_t m_seed = RandomSeed();
  /** Monotonic clock, which tests replace. */
  std::function<absl::Time()> m_now;
};

/**
 * Lease of the decider: a lock in the store that a session holds. The term is
 * the number of times that the lock has passed to a new session, so it grows by
 * one with each holder. The value of the key holds the daemon and the term.
 *
 * The steps run in one thread, that of Start or a caller of Step; the other
 * members are thread-safe.
 * Counters: `bramleystall_decider_transitions_total{event}` and
 * `bramleystall_decider_lease_errors_total{state}`; gauge
 * `bramleystall_decider_term`.
 */
class DeciderLease
{
public:
  /** The store and the metrics must outlive it; null means no metrics. */
  DeciderLease(PlatformStore& aStore,
               StateChart aChart,
               DeciderLeaseSettings aSettings,
               Metrics* aMetrics);
  ~DeciderLease();
  DeciderLease(const DeciderLease&) = delete;
  DeciderLease& operator=(const DeciderLease&) = delete;

  /** Runs the steps in a thread of its own until Stop. */
  void Start();
  /**
   * Stops the thread and releases the lease. A follower first waits for the end
   * of its watch, which PlatformStore::StopWatches ends early.
   */
  void Stop();

  /**
   * Runs one step of the current state, with store calls that may block.
   * Returns the delay before the next step.
   */
  absl::Duration Step();

  /** Releases the lease, so that the next holder need not wait for its expiry.
   */
  void Release();

  /** Whether this daemon holds the lease and its deadline has not passed. */
  bool MayDecide() const;

  /**
   * Lock condition for the decider's writes, or nothing when it may not decide.
   * The store checks the condition, so a write that is delayed beyond the lease
   * is rejected.
   */
  std::optional<LockCondition> Condition() const;

  /** Term of this daemon; 0 when it does not hold the lease. */
  std::uint64_t Term() const;

  DeciderState State() const;

  /** Daemon that held the lease at the last read; empty when none did. */
  std::string LastSeenHolder() const;

private:
  absl::Duration StepState();
  absl::Duration StepFollower();
  absl::Duration StepCandidate();
  absl::Duration StepConfirming();
  absl::Duration StepHolder();

  void Run(const std::stop_token& aStop);
  void Fire(const std::string& aEvent);
  void EnsureSession();
  /** Destroys the session; if that fails, the session expires. */
  void DropSession();
  void BecomeFollower(const std::string& aEvent);
  void SetDeadline(absl::Time aRenewalSent);
  void RecordLockState(const std::optional<StoreValue>& aValue);
  /** Rewrites the value when another attempt left an outdated term in it. */
  void RepairValue(const StoreValue& aValue);
  std::string MakeValue(std::uint64_t aTerm) const;
  bool IsPastDeadline() const;
  absl::Duration HandleFailure(const std::string& aMessage);

  PlatformStore& m_store;
  StateChart m_chart;
  DeciderLeaseSettings m_settings;
  Metrics* m_metrics;
  RetryDelays m_retryDelays;

  mutable std::mutex m_mutex;
  std::condition_variable_any m_wake;
  DeciderState m_state;
  std::string m_session;
  absl::Time m_sessionCreated;
  absl::Time m_deadline = absl::InfinitePast();
  std::uint64_t m_term = 0;
  std::string m_holder;
  /** Whether the key has been read since the start. */
  bool m_hasRead = false;
  /** Revision of the last read, from which the next watch continues. */
  std::uint64_t m_revision = 0;
  std::uint64_t m_lockCount = 0;
  /** Whether the last step failed; only the first of a series is logged. */
  bool m_isFailing = false;
  std::jthread m_thread;
};

}
