#include "scheduler/shard_status_reader.h"

#include "core/log.h"
#include "net/event_loop.h"
#include "scheduler/job_keys.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <utility>

namespace bramleystall {

namespace {

/** An owner that has published nothing for this time, three times the interval
 * at which owners publish, counts as silent. */
constexpr absl::Duration kSilenceTimeout = absl::Milliseconds(2400);

}

ShardStatusReader::ShardStatusReader(EventLoop& aLoop, KeyValueStore& aStore)
  : m_loop(aLoop)
  , m_store(aStore)
{
}

ShardStatusReader::~ShardStatusReader()
{
  *m_alive = false;
}

void
ShardStatusReader::Refresh(absl::Duration aMaxAge, ReadHook aHook)
{
  if (m_loop.Now() < m_readAt + aMaxAge) {
    aHook(true);
    return;
  }
  m_hooks.push_back(std::move(aHook));
  if (m_isReading) {
    return;
  }
  m_isReading = true;
  // There is one key per shard, so a single page holds all of them.
  m_store.List(keys::kShardStatusPrefix,
               "",
               [this, alive = m_alive](const ReadResult& aResult) {
                 if (*alive) {
                   OnRead(aResult);
                 }
               });
}

void
ShardStatusReader::OnRead(const ReadResult& aResult)
{
  m_isReading = false;
  const bool isRead = aResult.m_status == ReadStatus::Ok;
  if (isRead) {
    m_readAt = m_loop.Now();
    for (const StoreItem& item : aResult.m_items) {
      int shard = 0;
      auto status = DecodeShardStatus(item.m_value);
      if (!status ||
          !absl::SimpleAtoi(
            item.m_key.substr(std::string(keys::kShardStatusPrefix).size()),
            &shard)) {
        LogError(
          LogPart::Server,
          absl::StrCat("cannot parse the status of a shard; key=", item.m_key));
        continue;
      }
      Known& known = m_known[shard];
      if (known.m_revision != item.m_revision) {
        known = { std::move(*status), item.m_revision, m_loop.Now() };
      }
    }
    UpdateViews();
  }
  const std::vector<ReadHook> hooks = std::exchange(m_hooks, {});
  for (const ReadHook& hook : hooks) {
    hook(isRead);
  }
}

void
ShardStatusReader::UpdateViews()
{
  for (const auto& [shard, known] : m_known) {
    m_views[shard] = { .m_capacity = known.m_status.m_capacity,
                       .m_load = known.m_status.m_load,
                       .m_memory = known.m_status.m_memory,
                       .m_memoryLimit = known.m_status.m_memoryLimit,
                       .m_isSilent =
                         m_readAt >= known.m_changedAt + kSilenceTimeout };
  }
}

std::int64_t
ShardStatusReader::PendingIn(const std::string& aQueue) const
{
  std::int64_t count = 0;
  for (const auto& [shard, known] : m_known) {
    const auto found = known.m_status.m_pending.find(aQueue);
    count += found == known.m_status.m_pending.end() ? 0 : found->second;
  }
  return count;
}

}
