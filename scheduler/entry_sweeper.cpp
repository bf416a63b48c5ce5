#include "scheduler/entry_sweeper.h"

#include "core/log.h"
#include "jobs/job_entry.h"
#include "net/event_loop.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace bramleystall {

namespace {

/** Time between two sweeps, and before the first one of an owner. */
constexpr absl::Duration kSweepInterval = absl::Seconds(60);
/** Transaction entries of a removal: its condition and itself. */
constexpr std::size_t kEntriesPerRemoval = 2;

}

EntrySweeper::EntrySweeper(EventLoop& aLoop,
                           KeyValueStore& aStore,
                           std::string aPrefix,
                           std::string aOwnerKey,
                           std::int64_t aFencingToken,
                           absl::Duration aRetention)
  : m_loop(aLoop)
  , m_store(aStore)
  , m_prefix(std::move(aPrefix))
  , m_ownerKey(std::move(aOwnerKey))
  , m_fencingToken(aFencingToken)
  , m_retention(aRetention)
{
  ScheduleSweep();
}

EntrySweeper::~EntrySweeper()
{
  *m_alive = false;
}

void
EntrySweeper::ScheduleSweep()
{
  m_loop.After(kSweepInterval, [this, alive = m_alive] {
    if (*alive) {
      ++m_sweep;
      ReadPage("");
    }
  });
}

void
EntrySweeper::ReadPage(const std::string& aAfter)
{
  m_store.List(
    m_prefix, aAfter, [this, alive = m_alive](const ReadResult& aResult) {
      if (*alive) {
        OnPage(aResult);
      }
    });
}

void
EntrySweeper::OnPage(const ReadResult& aResult)
{
  if (aResult.m_status != ReadStatus::Ok) {
    ScheduleSweep();
    return;
  }
  for (const StoreItem& item : aResult.m_items) {
    const auto entry = DecodeJobEntry(item.m_value);
    if (!entry || !(entry->m_finalState || entry->IsTombstone())) {
      continue;
    }
    ExpiringEntry& expiring = m_expiring[item.m_key];
    if (expiring.m_revision != item.m_revision) {
      expiring.m_revision = item.m_revision;
      expiring.m_since = m_loop.Now();
    }
    expiring.m_lastSweep = m_sweep;
  }
  if (aResult.m_hasMore && !aResult.m_items.empty()) {
    ReadPage(aResult.m_items.back().m_key);
    return;
  }
  std::erase_if(m_expiring, [this](const auto& aEntry) {
    return aEntry.second.m_lastSweep != m_sweep;
  });
  RemoveExpired();
  ScheduleSweep();
}

void
EntrySweeper::RemoveExpired()
{
  const StoreCondition ownership{ m_ownerKey, m_fencingToken };
  StoreTransaction removal{ .m_conditions = { ownership } };
  const auto commit = [&] {
    m_store.Commit(removal, [](const CommitResult& aResult) {
      if (aResult.m_status != CommitStatus::Applied) {
        LogInfo(LogPart::Jobs,
                absl::StrCat("entries without a job not removed, will retry at "
                             "the next sweep; error=",
                             aResult.m_error));
      }
    });
    removal = { .m_conditions = { ownership } };
  };
  for (const auto& [key, entry] : m_expiring) {
    if (m_loop.Now() < entry.m_since + m_retention) {
      continue;
    }
    // The condition keeps a job that has replaced the tombstone meanwhile.
    removal.m_conditions.push_back({ key, entry.m_revision });
    removal.m_removals.push_back(key);
    if (removal.m_conditions.size() + removal.m_removals.size() +
          kEntriesPerRemoval >
        StoreTransaction::kMaxEntries) {
      commit();
    }
  }
  if (!removal.m_removals.empty()) {
    commit();
  }
}

}
