#include "cluster/fenced_writer.h"

#include "core/clock.h"
#include "core/error.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>

namespace bramleystall {

namespace {

/** Whether a document contains the token as a whole JSON string. */
bool
ContainsToken(const std::string& aValue, const std::string& aToken)
{
  return aValue.find(absl::StrCat("\"", aToken, "\"")) != std::string::npos;
}

void
CheckTokens(const FencedWrite& aWrite)
{
  const bool isComplete =
    !aWrite.m_token.empty() && !aWrite.m_writes.empty() &&
    std::ranges::all_of(aWrite.m_writes, [&](const StoreWrite& aEntry) {
      return ContainsToken(aEntry.m_value, aWrite.m_token);
    });
  if (!isComplete) {
    throw Error(ErrorCode::InvalidInput,
                "store: a fenced write lacks its writer token");
  }
}

}

FencedWriter::FencedWriter(PlatformStore& aStore,
                           FencedWriterSettings aSettings,
                           Metrics* aMetrics)
  : m_store(aStore)
  , m_settings(std::move(aSettings))
  , m_metrics(aMetrics)
{
  if (!m_settings.m_now) {
    m_settings.m_now = MonotonicNow;
  }
  if (!m_settings.m_sleep) {
    m_settings.m_sleep = absl::SleepFor;
  }
}

void
FencedWriter::Count(const std::string& aName,
                    const std::string& aLabel,
                    const std::string& aValue)
{
  if (m_metrics != nullptr) {
    m_metrics->Count(aName, { { aLabel, aValue } });
  }
}

WriteOutcome
FencedWriter::CountOutcome(WriteOutcome aOutcome)
{
  Count("bramleystall_fenced_writes_total",
        "outcome",
        std::string(NameOf(kWriteOutcomeNames, aOutcome)));
  return aOutcome;
}

WriteOutcome
FencedWriter::Apply(const FencedWrite& aWrite)
{
  CheckTokens(aWrite);
  const WriteOutcome outcome =
    m_store.Write(aWrite.m_writes, aWrite.m_condition);
  if (outcome != WriteOutcome::Unknown) {
    return CountOutcome(outcome);
  }
  return CountOutcome(ResolveOutcome(aWrite));
}

WriteOutcome
FencedWriter::ResolveOutcome(const FencedWrite& aWrite)
{
  const absl::Time end = m_settings.m_now() + m_settings.m_giveUpAfter;
  RetryDelays retryDelays(
    m_settings.m_firstRetryDelay, m_settings.m_maxRetryDelay, RandomSeed());
  while (true) {
    try {
      if (const auto outcome = DetermineOutcome(aWrite, false)) {
        return *outcome;
      }
      Count(
        "bramleystall_fenced_write_retries_total", "reason", "response_lost");
      if (const auto outcome = RetryWrite(aWrite)) {
        return *outcome;
      }
    } catch (const Error&) {
      // Neither a failed read nor a failed retry says anything about the
      // earlier attempt, so its outcome stays unknown.
      Count("bramleystall_fenced_write_retries_total",
            "reason",
            "store_unavailable");
    }
    const bool isStopped = m_settings.m_shouldStop && m_settings.m_shouldStop();
    if (isStopped || m_settings.m_now() >= end) {
      return WriteOutcome::Unknown;
    }
    m_settings.m_sleep(retryDelays.Next());
  }
}

std::optional<WriteOutcome>
FencedWriter::RetryWrite(const FencedWrite& aWrite)
{
  switch (m_store.Write(aWrite.m_writes, aWrite.m_condition)) {
    case WriteOutcome::Applied:
      return WriteOutcome::Applied;
    case WriteOutcome::Conflict:
      // The conflict may be with the earlier attempt itself.
      return DetermineOutcome(aWrite, true);
    case WriteOutcome::Unknown:
      break;
  }
  return std::nullopt;
}

std::optional<WriteOutcome>
FencedWriter::DetermineOutcome(const FencedWrite& aWrite, bool aIsRefused)
{
  const Verdict verdict = ReadBack(aWrite);
  Count("bramleystall_fenced_write_read_backs_total",
        "verdict",
        std::string(NameOf(kVerdictNames, verdict)));
  switch (verdict) {
    case Verdict::Applied:
      return WriteOutcome::Applied;
    case Verdict::Impossible:
      return WriteOutcome::Conflict;
    case Verdict::Undecidable:
      return WriteOutcome::Unknown;
    case Verdict::Pending:
      break;
  }
  // All documents have their expected revisions, so the store refused the write
  // because of the lock. A session never regains a lock, so earlier attempts
  // cannot take effect either.
  if (aIsRefused && aWrite.m_condition) {
    return WriteOutcome::Conflict;
  }
  return std::nullopt;
}

FencedWriter::Verdict
FencedWriter::ReadBack(const FencedWrite& aWrite)
{
  std::vector<const StoreWrite*> unchanged;
  bool isReplaced = false;
  for (const auto& write : aWrite.m_writes) {
    const auto value = m_store.Get(write.m_key);
    if (value && ContainsToken(value->m_value, aWrite.m_token)) {
      return Verdict::Applied;
    }
    if ((value ? value->m_revision : 0) == write.m_expectedRevision) {
      unchanged.push_back(&write);
      continue;
    }
    isReplaced = true;
    // A newer history without the token proves that the set was not applied,
    // and its compare-and-swap can no longer succeed.
    if (write.m_key == aWrite.m_historyKey) {
      return Verdict::Impossible;
    }
  }
  if (!isReplaced) {
    return Verdict::Pending;
  }
  // The set is atomic: a document that is unchanged after another one was seen
  // replaced proves that the set was not applied. The first read of the
  // unchanged one may precede the replacement, so it is read again.
  for (const StoreWrite* write : unchanged) {
    const auto value = m_store.Get(write->m_key);
    if (value && ContainsToken(value->m_value, aWrite.m_token)) {
      return Verdict::Applied;
    }
    if ((value ? value->m_revision : 0) == write->m_expectedRevision) {
      return Verdict::Impossible;
    }
    if (write->m_key == aWrite.m_historyKey) {
      return Verdict::Impossible;
    }
  }
  return Verdict::Undecidable;
}

}
