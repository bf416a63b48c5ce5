#include "scheduler/progress_writer.h"

#include "core/log.h"
#include "net/event_loop.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace bramleystall {

namespace {

/** Documents that are put within this time share a transaction. */
constexpr absl::Duration kBatchDelay = absl::Milliseconds(15);
/** A document is usually stored within this time. */
constexpr absl::Duration kUsualDelay = absl::Milliseconds(300);
constexpr absl::Duration kRetryDelay = absl::Milliseconds(150);
constexpr int kMaxOpenCommits = 3;

}

ProgressWriter::ProgressWriter(EventLoop& aLoop,
                               KeyValueStore& aStore,
                               std::string aOwnerKey,
                               std::int64_t aFencingToken)
  : m_loop(aLoop)
  , m_store(aStore)
  , m_ownerKey(std::move(aOwnerKey))
  , m_fencingToken(aFencingToken)
{
}

ProgressWriter::~ProgressWriter()
{
  *m_alive = false;
}

void
ProgressWriter::SetRevision(const std::string& aKey, std::int64_t aRevision)
{
  m_revisions[aKey] = aRevision;
}

void
ProgressWriter::Put(const std::string& aKey, std::string aValue)
{
  Queue(aKey).m_value = std::move(aValue);
}

void
ProgressWriter::Replace(const std::string& aKey, Replacement aReplacement)
{
  Queue(aKey).m_replacement = std::move(aReplacement);
}

ProgressWriter::Document&
ProgressWriter::Queue(const std::string& aKey)
{
  Document& document = m_pending[aKey];
  if (document.m_generation == 0) {
    document.m_generation = m_generation;
    document.m_queuedAt = m_loop.Now();
  }
  Schedule(kBatchDelay);
  return document;
}

void
ProgressWriter::AfterStored(StoredHook aHook)
{
  if (m_pending.empty() && m_writing.empty()) {
    aHook();
    return;
  }
  m_barriers.push_back({ m_generation, std::move(aHook) });
  ++m_generation;
}

void
ProgressWriter::Schedule(absl::Duration aDelay)
{
  const absl::Time at = m_loop.Now() + aDelay;
  if (at >= m_flushAt) {
    return;
  }
  m_loop.Cancel(m_timer);
  m_flushAt = at;
  m_timer = m_loop.After(aDelay, [this, alive = m_alive] {
    if (*alive) {
      m_flushAt = absl::InfiniteFuture();
      Flush();
    }
  });
}

bool
ProgressWriter::IsBehind() const
{
  const absl::Time limit = m_loop.Now() - kUsualDelay;
  for (const auto* documents : { &m_pending, &m_writing }) {
    for (const auto& [key, document] : *documents) {
      if (document.m_queuedAt < limit) {
        return true;
      }
    }
  }
  return false;
}

bool
ProgressWriter::AddTo(StoreTransaction& aTransaction,
                      const std::string& aKey,
                      const Document& aDocument)
{
  const std::size_t used = aTransaction.m_conditions.size() +
                           aTransaction.m_puts.size() +
                           aTransaction.m_removals.size();
  if (!aDocument.m_replacement) {
    if (used + 2 > StoreTransaction::kMaxEntries) {
      return false;
    }
    aTransaction.m_conditions.push_back({ aKey, m_revisions[aKey] });
    aTransaction.m_puts.push_back({ aKey, aDocument.m_value, 0 });
    return true;
  }
  // A write of the document that got no response may still be applied, so its
  // revision is unknown; the owner's condition alone guards the removal.
  const Replacement& replacement = *aDocument.m_replacement;
  if (used + 2 + replacement.m_removals.size() >
      StoreTransaction::kMaxEntries) {
    return false;
  }
  if (replacement.m_put) {
    aTransaction.m_puts.push_back(*replacement.m_put);
  }
  aTransaction.m_removals.push_back(aKey);
  aTransaction.m_removals.insert(aTransaction.m_removals.end(),
                                 replacement.m_removals.begin(),
                                 replacement.m_removals.end());
  return true;
}

void
ProgressWriter::Flush()
{
  while (m_openCommits < kMaxOpenCommits) {
    StoreTransaction transaction;
    std::vector<std::string> batch;
    transaction.m_conditions.push_back({ m_ownerKey, m_fencingToken });
    for (auto it = m_pending.begin(); it != m_pending.end();) {
      if (m_writing.contains(it->first)) {
        ++it;
        continue;
      }
      if (!AddTo(transaction, it->first, it->second)) {
        break;
      }
      batch.push_back(it->first);
      m_writing.insert(*it);
      it = m_pending.erase(it);
    }
    if (batch.empty()) {
      return;
    }
    ++m_openCommits;
    m_store.Commit(transaction,
                   [this, batch = std::move(batch), alive = m_alive](
                     const CommitResult& aResult) {
                     if (*alive) {
                       OnCommitted(batch, aResult);
                     }
                   });
  }
}

void
ProgressWriter::OnCommitted(const std::vector<std::string>& aKeys,
                            const CommitResult& aResult)
{
  --m_openCommits;
  const bool isApplied = aResult.m_status == CommitStatus::Applied;
  // A document has another revision when an earlier write without a response
  // was applied after all, or when it was not read at the takeover.
  bool hasNewRevision = false;
  for (const StoreItem& item : aResult.m_current) {
    if (item.m_key != m_ownerKey) {
      std::int64_t& revision = m_revisions[item.m_key];
      hasNewRevision |= revision != item.m_revision;
      revision = item.m_revision;
    }
  }
  for (const std::string& key : aKeys) {
    auto node = m_writing.extract(key);
    if (isApplied) {
      if (node.mapped().m_replacement) {
        m_revisions.erase(key);
      } else {
        m_revisions[key] = aResult.m_revision;
      }
      continue;
    }
    Document& newer = m_pending[key];
    if (newer.m_generation == 0) {
      newer = std::move(node.mapped());
    } else {
      if (node.mapped().m_replacement) {
        newer.m_replacement = std::move(node.mapped().m_replacement);
      }
      newer.m_generation =
        std::min(newer.m_generation, node.mapped().m_generation);
      newer.m_queuedAt = std::min(newer.m_queuedAt, node.mapped().m_queuedAt);
    }
  }
  if (isApplied) {
    RunBarriers();
  } else {
    LogWarning(
      LogPart::Store,
      absl::StrCat("documents not stored, will retry; outcome=",
                   std::string(NameOf(kCommitStatusNames, aResult.m_status)),
                   " documents=",
                   aKeys.size(),
                   " error=",
                   aResult.m_error));
  }
  if (!m_pending.empty()) {
    Schedule(isApplied || hasNewRevision ? absl::ZeroDuration() : kRetryDelay);
  }
}

std::uint64_t
ProgressWriter::OldestOpenGeneration() const
{
  std::uint64_t oldest = std::numeric_limits<std::uint64_t>::max();
  for (const auto* documents : { &m_pending, &m_writing }) {
    for (const auto& [key, document] : *documents) {
      oldest = std::min(oldest, document.m_generation);
    }
  }
  return oldest;
}

void
ProgressWriter::RunBarriers()
{
  const std::uint64_t oldest = OldestOpenGeneration();
  std::vector<StoredHook> ready;
  std::erase_if(m_barriers, [&](Barrier& aBarrier) {
    if (aBarrier.m_generation >= oldest) {
      return false;
    }
    ready.push_back(std::move(aBarrier.m_hook));
    return true;
  });
  for (const StoredHook& hook : ready) {
    hook();
  }
}

}
