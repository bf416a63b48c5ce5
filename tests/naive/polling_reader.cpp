#include "tests/naive/polling_reader.h"

#include "core/clock.h"
#include "core/configuration_codec.h"

#include <absl/time/clock.h>

#include <algorithm>
#include <utility>

namespace bramleystall {

namespace {

constexpr absl::Duration kStopCheck = absl::Milliseconds(50);

void
SleepUnlessStopped(const std::stop_token& aStop, absl::Duration aTime)
{
  const absl::Time end = absl::Now() + aTime;
  while (!aStop.stop_requested() && absl::Now() < end) {
    absl::SleepFor(std::min(kStopCheck, end - absl::Now()));
  }
}

}

PollingReader::PollingReader(PlatformStore& aStore,
                             std::string aKey,
                             absl::Duration aInterval,
                             absl::Duration aFirstWait)
  : m_store(aStore)
  , m_thread([this, key = std::move(aKey), aInterval, aFirstWait](
               const std::stop_token& aStop) {
    Run(aStop, key, aInterval, aFirstWait);
  })
{
}

void
PollingReader::Run(const std::stop_token& aStop,
                   const std::string& aKey,
                   absl::Duration aInterval,
                   absl::Duration aFirstWait)
{
  SleepUnlessStopped(aStop, aFirstWait);
  while (!aStop.stop_requested()) {
    if (const auto value = m_store.Get(aKey)) {
      const std::uint64_t version =
        ParseConfiguration(value->m_value).m_version;
      const std::lock_guard lock(m_mutex);
      m_seen.emplace(version, ToMillis(absl::Now()));
    }
    SleepUnlessStopped(aStop, aInterval);
  }
}

double
PollingReader::LongestDelay(const std::vector<Configuration>& aAccepted) const
{
  const std::lock_guard lock(m_mutex);
  double longest = 0;
  for (const Configuration& configuration : aAccepted) {
    const auto seen = m_seen.lower_bound(configuration.m_version);
    const std::int64_t when =
      seen == m_seen.end() ? ToMillis(absl::Now()) : seen->second;
    longest = std::max(
      longest,
      static_cast<double>(when - configuration.m_acceptedMillis) / 1000);
  }
  return longest;
}

}
