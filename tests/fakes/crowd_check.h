#pragma once

#include "consul/http_client.h"
#include "tests/fakes/child_process.h"
#include "tests/fakes/client_crowd.h"
#include "tests/fakes/crowd_scenarios.h"
#include "tests/fakes/process_usage.h"

#include <absl/time/clock.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <iostream>

namespace bramleystall {

/** Limits in the settings of a tested daemon. */
struct CrowdBounds
{
  int m_memoryMb;
  int m_maxDescriptors;
};

/** An idle daemon needs under half of this memory; the descriptors allow more
 * connections than a crowd of bodies has. */
inline constexpr CrowdBounds kMemoryBounds{ 64, 1'000 };
/** Fewer descriptors than a crowd of idle connections has. */
inline constexpr CrowdBounds kDescriptorBounds{ 64, 300 };

/** Status of the first response other than 503; 0 if the attempts of an
 * ordinary caller (a first one and 4 retries, 3 s each) brought none. */
inline int
StatusWithRetries(ClientRequest aRequest)
{
  constexpr int kAttempts = 5;
  aRequest.m_timeout = absl::Seconds(3);
  aRequest.m_usesFreshConnection = true;
  int status = 0;
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    try {
      status = HttpClient().Send(aRequest).m_status;
    } catch (const HttpError&) {
      continue;
    }
    if (status != 503) {
      break;
    }
    absl::SleepFor(absl::Milliseconds(200));
  }
  return status;
}

/** Lets a crowd meet a daemon. Checks that the process lives, that it stayed
 * within its bounds, and that an ordinary request then succeeds while the
 * crowd's connections are open. */
inline void
CheckCrowd(ChildProcess& aProcess,
           const CrowdBounds& aBounds,
           const CrowdScenario& aScenario,
           std::uint16_t aPort,
           const std::function<bool()>& aOrdinaryRequest)
{
  const std::size_t idleMemory = PeakMemoryBytes(aProcess.Pid());
  std::size_t descriptors = 0;
  const auto sample = [&] {
    descriptors = std::max(descriptors, OpenDescriptors(aProcess.Pid()));
  };
  ClientCrowd crowd(aPort, aScenario.m_request);
  crowd.Run(aScenario.m_connections, sample);
  const bool isServed = aOrdinaryRequest();
  sample();
  const std::size_t memory = PeakMemoryBytes(aProcess.Pid());
  std::cout << "crowd \"" << aScenario.m_name << "\" at port " << aPort
            << ": connections=" << aScenario.m_connections
            << " open=" << crowd.OpenCount() << " idle_kb=" << idleMemory / 1024
            << " peak_kb=" << memory / 1024 << " descriptors=" << descriptors
            << " served=" << isServed << std::endl;
  INFO("crowd \"" << aScenario.m_name << "\" at port " << aPort);
  CHECK_FALSE(aProcess.Wait(absl::ZeroDuration()).has_value());
  CHECK(memory < static_cast<std::size_t>(aBounds.m_memoryMb) << 20U);
  CHECK(descriptors < static_cast<std::size_t>(aBounds.m_maxDescriptors));
  CHECK(isServed);
}

}
