#pragma once

#include "admission/rate_limit.h"
#include "store/key_value_store.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bramleystall {

class EventLoop;
class Metrics;

/** A tombstone to store; see JobEntry. */
struct Tombstone
{
  std::string m_key;
  std::string m_value;
  /** Revision of the entry that it replaces; 0 for none. */
  std::int64_t m_replacedRevision = 0;
};

/**
 * Stores tombstones. Those that wait at the same time share a transaction. Any
 * caller can cause a write and an entry that lasts for minutes, so their rate
 * is limited, for each tenant and in total.
 */
class TombstoneWriter
{
public:
  /** Gets the outcome of one tombstone: with Conflict, the entry has another
   * revision than the replaced one. */
  using Callback = std::function<void(CommitStatus aStatus)>;

  TombstoneWriter(EventLoop& aLoop, KeyValueStore& aStore, Metrics& aMetrics);
  ~TombstoneWriter();
  TombstoneWriter(const TombstoneWriter&) = delete;
  TombstoneWriter& operator=(const TombstoneWriter&) = delete;

  /** Stores a tombstone for a request of the tenant. Returns false, and does
   * nothing, if that would exceed a limit. */
  bool Write(const std::string& aTenant,
             Tombstone aTombstone,
             Callback aCallback);

private:
  struct Pending
  {
    Tombstone m_tombstone;
    Callback m_callback;
  };

  bool TakeFromLimits(const std::string& aTenant);
  void Flush();
  void OnCommitted(std::vector<Pending> aBatch, const CommitResult& aResult);

  EventLoop& m_loop;
  KeyValueStore& m_store;
  Metrics& m_metrics;
  RateLimit m_limit;
  /** By tenant; only those that are in use. */
  std::map<std::string, RateLimit> m_tenantLimits;
  std::deque<Pending> m_pending;
  bool m_isCommitOpen = false;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
