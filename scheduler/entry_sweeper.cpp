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
      m_found.clear();
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
    if (entry && entry->m_finalState) {
      const auto known = m_finalSince.find(item.m_key);
      m_found[item.m_key] =
        known == m_finalSince.end() ? m_loop.Now() : known->second;
    }
  }
  if (aResult.m_hasMore && !aResult.m_items.empty()) {
    ReadPage(aResult.m_items.back().m_key);
    return;
  }
  m_finalSince = std::move(m_found);
  RemoveExpired();
  ScheduleSweep();
}

void
EntrySweeper::RemoveExpired()
{
  StoreTransaction removal;
  const auto commit = [this, &removal] {
    removal.m_conditions = { { m_ownerKey, m_fencingToken } };
    m_store.Commit(removal, [](const CommitResult& aResult) {
      if (aResult.m_status != CommitStatus::Applied) {
        LogInfo(LogPart::Jobs,
                absl::StrCat("entries of ended jobs not removed, will retry at "
                             "the next sweep; error=",
                             aResult.m_error));
      }
    });
    removal = {};
  };
  for (const auto& [key, since] : m_finalSince) {
    if (m_loop.Now() < since + m_retention) {
      continue;
    }
    removal.m_removals.push_back(key);
    if (removal.m_removals.size() + 1 == StoreTransaction::kMaxEntries) {
      commit();
    }
  }
  if (!removal.m_removals.empty()) {
    commit();
  }
}

}
