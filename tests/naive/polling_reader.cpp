#include "tests/naive/polling_reader.h"

#include "core/clock.h"
#include "core/configuration_codec.h"

#include <absl/time/clock.h>

#include <algorithm>
#include <utility>

namespace bramleystall {

namespace {

/** Longest time until the thread notices a stop request while it sleeps. */
constexpr absl::Duration kStopCheckInterval = absl::Milliseconds(50);

void
SleepUnlessStopped(const std::stop_token& aStop, absl::Duration aTime)
{
  const absl::Time end = absl::Now() + aTime;
  while (!aStop.stop_requested() && absl::Now() < end) {
    absl::SleepFor(std::min(kStopCheckInterval, end - absl::Now()));
  }
}

}

PollingReader::PollingReader(PlatformStore& aStore,
                             std::string aKey,
                             absl::Duration aInterval,
                             absl::Duration aInitialDelay)
  : m_store(aStore)
  , m_thread([this, key = std::move(aKey), aInterval, aInitialDelay](
               const std::stop_token& aStop) {
    Run(aStop, key, aInterval, aInitialDelay);
  })
{
}

void
PollingReader::Run(const std::stop_token& aStop,
                   const std::string& aKey,
                   absl::Duration aInterval,
                   absl::Duration aInitialDelay)
{
  SleepUnlessStopped(aStop, aInitialDelay);
  while (!aStop.stop_requested()) {
    if (const auto value = m_store.Get(aKey)) {
      const std::uint64_t version =
        ParseConfiguration(value->m_value).m_version;
      const std::lock_guard lock(m_mutex);
      m_seenAtMillis.emplace(version, ToMillis(absl::Now()));
    }
    SleepUnlessStopped(aStop, aInterval);
  }
}

double
PollingReader::LongestDelaySeconds(
  const std::vector<Configuration>& aAccepted) const
{
  const std::lock_guard lock(m_mutex);
  double longest = 0;
  for (const Configuration& configuration : aAccepted) {
    const auto seen = m_seenAtMillis.lower_bound(configuration.m_version);
    const std::int64_t when =
      seen == m_seenAtMillis.end() ? ToMillis(absl::Now()) : seen->second;
    longest = std::max(
      longest,
      static_cast<double>(when - configuration.m_acceptedMillis) / 1000);
  }
  return longest;
}

}
