#pragma once

#include "store/key_value_store.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bramleystall {

class EventLoop;

/**
 * Removes the directory entries of a shard that have been final, or tombstones,
 * for longer than the retention time. The time runs from the sweep that first
 * sees an entry with its revision, so that it depends on no wall clock and
 * restarts with each owner.
 */
class EntrySweeper
{
public:
  /** Sweeps the keys with aPrefix on behalf of the owner whose key has the
   * revision aFencingToken. The references outlive the sweeper. */
  EntrySweeper(EventLoop& aLoop,
               KeyValueStore& aStore,
               std::string aPrefix,
               std::string aOwnerKey,
               std::int64_t aFencingToken,
               absl::Duration aRetention);
  ~EntrySweeper();
  EntrySweeper(const EntrySweeper&) = delete;
  EntrySweeper& operator=(const EntrySweeper&) = delete;

private:
  struct ExpiringEntry
  {
    std::int64_t m_revision = 0;
    /** Time of the sweep that first saw this revision. */
    absl::Time m_since;
    /** Number of the last sweep that saw the entry. */
    std::int64_t m_lastSweep = 0;
  };

  void ScheduleSweep();
  void ReadPage(const std::string& aAfter);
  void OnPage(const ReadResult& aResult);
  void RemoveExpired();

  EventLoop& m_loop;
  KeyValueStore& m_store;
  std::string m_prefix;
  std::string m_ownerKey;
  std::int64_t m_fencingToken;
  absl::Duration m_retention;
  /** By key. */
  std::map<std::string, ExpiringEntry> m_expiring;
  std::int64_t m_sweep = 0;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
