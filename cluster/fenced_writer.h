#pragma once

#include "cluster/retry_delays.h"
#include "consul/platform_store.h"
#include "core/enum_names.h"
#include "core/metrics.h"

#include <absl/time/time.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace bramleystall {

/** A set of document writes that take effect together. */
struct FencedWrite
{
  /** Each value must contain the token as a JSON string. */
  std::vector<StoreWrite> m_writes;
  /**
   * Lock that the writer must hold; nothing for an operator's publish. The
   * session must have been seen to hold the lock: a refusal proves the loss of
   * the lock only if the session held it before.
   */
  std::optional<LockCondition> m_condition;
  /** Unique token of this set of writes. */
  std::string m_token;
  /**
   * Key among the writes whose document keeps the tokens of earlier writes,
   * such as a history; empty when none does. It decides the outcome when other
   * writers have already replaced all documents.
   */
  std::string m_historyKey;
};

/** Retry settings for a write whose outcome is not known yet. */
struct FencedWriterSettings
{
  absl::Duration m_giveUpAfter = absl::Seconds(8);
  absl::Duration m_firstRetryDelay = absl::Milliseconds(50);
  absl::Duration m_maxRetryDelay = absl::Seconds(1);
  /** Clock and sleep function, which tests replace. */
  std::function<absl::Time()> m_now;
  std::function<void(absl::Duration)> m_sleep;
  /** Ends the retries early; the outcome stays unknown. */
  std::function<bool()> m_shouldStop;
};

/**
 * Applies a set of writes and finds out whether it took effect when the store's
 * response is lost. It retries the same compare-and-swap with the same token,
 * so the set takes effect at most once.
 *
 * Counters: `bramleystall_fenced_writes_total{outcome}`,
 * `bramleystall_fenced_write_retries_total{reason}` and
 * `bramleystall_fenced_write_read_backs_total{verdict}`.
 */
class FencedWriter
{
public:
  /** The store and the metrics must outlive it; null means no metrics. */
  FencedWriter(PlatformStore& aStore,
               FencedWriterSettings aSettings,
               Metrics* aMetrics);

  /**
   * Returns Applied only when the set took effect, Conflict only when it never
   * will, and Unknown otherwise. Throws Error (InvalidInput) when a value lacks
   * the token or the store rejects the write, and Error (Unavailable) when
   * nothing reached the store.
   */
  WriteOutcome Apply(const FencedWrite& aWrite);

private:
  /** What the documents show about an earlier attempt. */
  enum class Verdict
  {
    Applied,
    /** It can no longer take effect. */
    Impossible,
    /** It has not taken effect yet, but may still do so. */
    Pending,
    /** The documents have been replaced and do not show by whom first. */
    Undecidable,
  };
  static constexpr EnumNames<Verdict, 4> kVerdictNames = { {
    { Verdict::Applied, "applied" },
    { Verdict::Impossible, "impossible" },
    { Verdict::Pending, "pending" },
    { Verdict::Undecidable, "undecidable" },
  } };

  WriteOutcome ResolveOutcome(const FencedWrite& aWrite);
  /** Retries once; nothing when the outcome is still unknown. */
  std::optional<WriteOutcome> RetryWrite(const FencedWrite& aWrite);
  std::optional<WriteOutcome> DetermineOutcome(const FencedWrite& aWrite,
                                               bool aIsRefused);
  Verdict ReadBack(const FencedWrite& aWrite);
  WriteOutcome CountOutcome(WriteOutcome aOutcome);
  void Count(const std::string& aName,
             const std::string& aLabel,
             const std::string& aValue);

  PlatformStore& m_store;
  FencedWriterSettings m_settings;
  Metrics* m_metrics;
};

}
