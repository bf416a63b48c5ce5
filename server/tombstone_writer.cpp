#include "server/tombstone_writer.h"

#include "core/metrics.h"
#include "net/event_loop.h"

#include <algorithm>
#include <utility>

namespace bramleystall {

namespace {

/** Tombstones of one daemon, a second and at once. A tombstone lasts for up to
 * 240 s (the retention time of 120 s and two sweeps), and takes 150 bytes in
 * the memory of the shard's owner: 20,000 of 8 daemons take 3 MB. */
constexpr double kPerSecond = 10;
constexpr double kBurst = 100;
/** The part of one tenant, or of all callers without one, so that none can keep
 * out the others. */
constexpr double kTenantPerSecond = kPerSecond / 2;
constexpr double kTenantBurst = kBurst / 2;
/** Transaction entries of a tombstone: its condition and itself. */
constexpr std::size_t kEntriesPerTombstone = 2;

}

TombstoneWriter::TombstoneWriter(EventLoop& aLoop,
                                 KeyValueStore& aStore,
                                 Metrics& aMetrics)
  : m_loop(aLoop)
  , m_store(aStore)
  , m_metrics(aMetrics)
  , m_limit(kPerSecond, kBurst)
{
}

TombstoneWriter::~TombstoneWriter()
{
  *m_alive = false;
}

bool
TombstoneWriter::Write(const std::string& aTenant,
                       Tombstone aTombstone,
                       Callback aCallback)
{
  if (!TakeFromLimits(aTenant)) {
    return false;
  }
  m_pending.push_back({ std::move(aTombstone), std::move(aCallback) });
  Flush();
  return true;
}

bool
TombstoneWriter::TakeFromLimits(const std::string& aTenant)
{
  const absl::Time now = m_loop.Now();
  std::erase_if(m_tenantLimits, [now](const auto& aLimit) {
    return aLimit.second.IsUnused(now);
  });
  RateLimit& tenantLimit =
    m_tenantLimits
      .try_emplace(aTenant, RateLimit(kTenantPerSecond, kTenantBurst))
      .first->second;
  if (!m_limit.IsOpen(now) || !tenantLimit.IsOpen(now)) {
    return false;
  }
  m_limit.Take(now);
  tenantLimit.Take(now);
  return true;
}

void
TombstoneWriter::Flush()
{
  if (m_isCommitOpen || m_pending.empty()) {
    return;
  }
  StoreTransaction transaction;
  std::vector<Pending> batch;
  while (!m_pending.empty() && (batch.size() + 1) * kEntriesPerTombstone <=
                                 StoreTransaction::kMaxEntries) {
    const Tombstone& next = m_pending.front().m_tombstone;
    const bool isKeyInBatch =
      std::ranges::any_of(batch, [&next](const Pending& aOther) {
        return aOther.m_tombstone.m_key == next.m_key;
      });
    if (isKeyInBatch) {
      break;
    }
    transaction.m_conditions.push_back({ next.m_key, next.m_replacedRevision });
    transaction.m_puts.push_back({ next.m_key, next.m_value, 0 });
    batch.push_back(std::move(m_pending.front()));
    m_pending.pop_front();
  }
  m_isCommitOpen = true;
  m_store.Commit(transaction,
                 [this, batch = std::move(batch), alive = m_alive](
                   const CommitResult& aResult) mutable {
                   if (*alive) {
                     OnCommitted(std::move(batch), aResult);
                   }
                 });
}

void
TombstoneWriter::OnCommitted(std::vector<Pending> aBatch,
                             const CommitResult& aResult)
{
  m_isCommitOpen = false;
  const auto hasConflict = [&aResult](const Pending& aPending) {
    return aResult.CurrentRevision(aPending.m_tombstone.m_key) !=
           aPending.m_tombstone.m_replacedRevision;
  };
  // The tombstones without a conflict are stored without the others.
  const bool isPartlyValid = aResult.m_status == CommitStatus::Conflict &&
                             std::ranges::any_of(aBatch, hasConflict);
  for (Pending& pending : aBatch) {
    if (isPartlyValid && !hasConflict(pending)) {
      m_pending.push_back(std::move(pending));
      continue;
    }
    if (aResult.m_status == CommitStatus::Applied) {
      m_metrics.Count("bramleystall_tombstones_stored_total");
    }
    pending.m_callback(aResult.m_status);
  }
  Flush();
}

}
