#pragma once

#include "consul/platform_store.h"
#include "core/configuration.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace bramleystall {

/** Naive reader of the configuration, which polls the store at an interval. */
class PollingReader
{
public:
  PollingReader(PlatformStore& aStore,
                std::string aKey,
                absl::Duration aInterval,
                absl::Duration aInitialDelay);

  /**
   * Longest time in seconds from the acceptance of a version to the poll that
   * returned it or a newer one. For a version that no poll has returned, the
   * time until now counts.
   */
  double LongestDelaySeconds(const std::vector<Configuration>& aAccepted) const;

private:
  void Run(const std::stop_token& aStop,
           const std::string& aKey,
           absl::Duration aInterval,
           absl::Duration aInitialDelay);

  PlatformStore& m_store;
  mutable std::mutex m_mutex;
  /** Unix milliseconds of the first poll that returned a version, by version.
   */
  std::map<std::uint64_t, std::int64_t> m_seenAtMillis;
  std::jthread m_thread;
};

}
