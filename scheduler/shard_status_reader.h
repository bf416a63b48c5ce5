#pragma once

#include "admission/admission_control.h"
#include "scheduler/shard_chooser.h"
#include "scheduler/shard_status.h"
#include "store/key_value_store.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bramleystall {

class EventLoop;

/** Reads the status of all shards from the store when it is asked for. */
class ShardStatusReader
{
public:
  using ReadHook = std::function<void(bool aIsRead)>;

  ShardStatusReader(EventLoop& aLoop, KeyValueStore& aStore);
  ~ShardStatusReader();
  ShardStatusReader(const ShardStatusReader&) = delete;
  ShardStatusReader& operator=(const ShardStatusReader&) = delete;

  /**
   * Calls back once the statuses are at most aMaxAge old, or with false when
   * the store cannot be read. Callers that come together share one read.
   */
  void Refresh(absl::Duration aMaxAge, ReadHook aHook);

  /** Sum of a queue's pending jobs over all shards, as of the last read. */
  std::int64_t PendingIn(const std::string& aQueue) const;

  /** Views of the shards as of the last read, for ChooseShard. */
  const std::map<int, ShardView>& Views() const { return m_views; }

  /** What the owners have published for admission control, as of the last read.
   * Shards whose owner publishes nothing for it are missing. */
  std::map<int, LoadView> LoadViews() const;

private:
  struct Known
  {
    ShardStatus m_status;
    std::int64_t m_revision = 0;
    /** Time of the read that found this revision first. */
    absl::Time m_changedAt;
  };

  void OnRead(const ReadResult& aResult);
  void UpdateViews();

  EventLoop& m_loop;
  KeyValueStore& m_store;
  std::map<int, Known> m_known;
  std::map<int, ShardView> m_views;
  absl::Time m_readAt = absl::InfinitePast();
  bool m_isReading = false;
  std::vector<ReadHook> m_hooks;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
