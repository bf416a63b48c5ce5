#pragma once

#include "consul/http_client.h"
#include "tests/fakes/child_process.h"
#include "tests/fakes/client_crowd.h"
#include "tests/fakes/crowd_scenarios.h"
#include "tests/fakes/process_usage.h"

#include <absl/cleanup/cleanup.h>
#include <absl/time/clock.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <functional>
#include <iostream>
#include <thread>
#include <utility>

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
/** As many descriptors as the smallest VM has. */
inline constexpr CrowdBounds kManyConnectionsBounds{ 64, 4'100 };
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

/** What a daemon did while it met a crowd. */
struct CrowdOutcome
{
  /** Connections that the crowd has open at the end. */
  std::size_t m_open = 0;
  std::size_t m_idleMemory = 0;
  std::size_t m_peakMemory = 0;
  /** Largest number of received bytes that were seen unread. */
  std::size_t m_unreadBytes = 0;
  /** Largest number of descriptors that was seen. */
  std::size_t m_descriptors = 0;
  bool m_isServed = false;
};

/** Notes what a daemon uses now. */
inline void
Sample(const ChildProcess& aProcess,
       std::uint16_t aPort,
       CrowdOutcome& aOutcome)
{
  aOutcome.m_peakMemory = PeakMemoryBytes(aProcess.Pid());
  aOutcome.m_unreadBytes = std::max(aOutcome.m_unreadBytes, UnreadBytes(aPort));
  aOutcome.m_descriptors =
    std::max(aOutcome.m_descriptors, OpenDescriptors(aProcess.Pid()));
}

/** Checks that the process lives, that it stayed within its bounds, and that
 * the ordinary request succeeded. */
inline void
CheckOutcome(ChildProcess& aProcess,
             const CrowdBounds& aBounds,
             const CrowdScenario& aScenario,
             std::uint16_t aPort,
             const CrowdOutcome& aOutcome)
{
  std::cout << "crowd \"" << aScenario.m_name << "\" at port " << aPort
            << ": connections=" << aScenario.m_connections
            << " open=" << aOutcome.m_open
            << " idle_kb=" << aOutcome.m_idleMemory / 1024
            << " peak_kb=" << aOutcome.m_peakMemory / 1024
            << " unread_kb=" << aOutcome.m_unreadBytes / 1024
            << " descriptors=" << aOutcome.m_descriptors
            << " served=" << aOutcome.m_isServed << std::endl;
  INFO("crowd \"" << aScenario.m_name << "\" at port " << aPort);
  CHECK_FALSE(aProcess.Wait(absl::ZeroDuration()).has_value());
  // Received bytes count as memory of the process on the users' machines.
  CHECK(aOutcome.m_peakMemory + aOutcome.m_unreadBytes <
        static_cast<std::size_t>(aBounds.m_memoryMb) << 20U);
  CHECK(aOutcome.m_descriptors <
        static_cast<std::size_t>(aBounds.m_maxDescriptors));
  CHECK(aOutcome.m_isServed);
}

/** Lets a crowd meet a daemon, and sends an ordinary request while the crowd's
 * connections are open. */
inline CrowdOutcome
CheckCrowd(ChildProcess& aProcess,
           const CrowdBounds& aBounds,
           const CrowdScenario& aScenario,
           std::uint16_t aPort,
           const std::function<bool()>& aOrdinaryRequest)
{
  CrowdOutcome outcome{ .m_idleMemory = PeakMemoryBytes(aProcess.Pid()) };
  const auto sample = [&] { Sample(aProcess, aPort, outcome); };
  ClientCrowd crowd(aPort, aScenario.m_request);
  crowd.Run(aScenario.m_connections, sample);
  outcome.m_isServed = aOrdinaryRequest();
  sample();
  outcome.m_open = crowd.OpenCount();
  CheckOutcome(aProcess, aBounds, aScenario, aPort, outcome);
  return outcome;
}

/** Like CheckCrowd, with a crowd that opens a new connection in place of each
 * one that was closed or has got a response, also during the ordinary request.
 */
inline void
CheckReturningCrowd(ChildProcess& aProcess,
                    const CrowdBounds& aBounds,
                    const CrowdScenario& aScenario,
                    std::uint16_t aPort,
                    const std::function<bool()>& aOrdinaryRequest)
{
  constexpr std::size_t kBytesBeforeRequest = std::size_t{ 64 } << 20U;
  constexpr absl::Duration kMaxWait = absl::Seconds(10);
  CrowdOutcome outcome{ .m_idleMemory = PeakMemoryBytes(aProcess.Pid()) };
  const auto sample = [&] { Sample(aProcess, aPort, outcome); };
  ClientCrowd crowd(aPort, aScenario.m_request);
  std::atomic<bool> isStopped = false;
  std::atomic<std::size_t> sentBytes = 0;
  std::thread sender(
    [&] { crowd.RunReturning(aScenario.m_connections, isStopped, sentBytes); });
  // Sample throws if the process has ended.
  absl::Cleanup stop = [&] {
    isStopped = true;
    sender.join();
  };
  const absl::Time end = absl::Now() + kMaxWait;
  while (sentBytes < kBytesBeforeRequest && absl::Now() < end) {
    sample();
    absl::SleepFor(absl::Milliseconds(20));
  }
  outcome.m_isServed = aOrdinaryRequest();
  std::move(stop).Invoke();
  sample();
  outcome.m_open = crowd.OpenCount();
  CheckOutcome(aProcess, aBounds, aScenario, aPort, outcome);
}

}
