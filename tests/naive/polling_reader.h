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

/** Naive spread of a configuration: reads the store at a fixed interval. */
class PollingReader
{
public:
  PollingReader(PlatformStore& aStore,
                std::string aKey,
                absl::Duration aInterval,
                absl::Duration aInitialDelay);

  /** Longest seconds from acceptance to the reading that showed the version or
   * a newer one. Versions that were never seen count until now. */
  double LongestDelaySeconds(const std::vector<Configuration>& aAccepted) const;

private:
  void Run(const std::stop_token& aStop,
           const std::string& aKey,
           absl::Duration aInterval,
           absl::Duration aInitialDelay);

  PlatformStore& m_store;
  mutable std::mutex m_mutex;
  /** Unix milliseconds at which each version was seen. */
  std::map<std::uint64_t, std::int64_t> m_seenAtMillis;
  std::jthread m_thread;
};

}
