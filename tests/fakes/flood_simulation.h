#pragma once

#include "core/service_spec.h"
#include "dispatch/fair_queue.h"
#include "dispatch/target_set.h"

#include <absl/time/time.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace bramleystall {

/** Kind of requests in a flood simulation: one service and its demand. */
struct FloodKind
{
  ServiceSpec m_service;
  /** Mean demand as a share of the slots. */
  double m_meanShare = 0;
  absl::Duration m_meanRunTime;
};

/** Pool of one data centre and the demand for it. */
struct FloodScenario
{
  std::vector<FloodKind> m_kinds;
  std::map<std::string, double> m_teamQuotas;
  int m_targets = 0;
  int m_slotsPerTarget = 8;
  /**
   * In each cycle, the demand of the flooding kind is a multiple of its mean
   * during the flood, which starts after the lead time.
   */
  int m_cycles = 10;
  absl::Duration m_cycle = absl::Seconds(80);
  absl::Duration m_leadTime = absl::Seconds(20);
  absl::Duration m_flood = absl::Seconds(20);
  double m_floodFactor = 5;
  /**
   * Demand outside a flood as a multiple of the mean, which includes the
   * floods. docs/design.md, 1.6 names a twentieth between peaks; a larger
   * factor is a harder test.
   */
  double m_baseFactor = 0.75;
};

/** Requests of one kind that were started, refused or expired. */
struct FloodKindResult
{
  std::string m_service;
  /** Requests started during the floods. */
  int m_started = 0;
  int m_refused = 0;
  int m_expired = 0;
  /** Seconds from arrival to start of requests that arrived during a flood. */
  std::vector<double> m_startDelays;

  /** The 99th percentile of the start delays in seconds. */
  double DelayP99() const
  {
    if (m_startDelays.empty()) {
      return 0;
    }
    std::vector<double> delays = m_startDelays;
    const auto rank =
      static_cast<std::size_t>(std::ceil(0.99 * delays.size())) - 1;
    std::ranges::nth_element(delays, delays.begin() + rank);
    return delays[rank];
  }
};

struct FloodResult
{
  std::vector<FloodKindResult> m_kinds;
  /** Fraction of the slot time that was in use while requests were queued. */
  double m_busyShare = 1;
};

/**
 * Runs the requests of a scenario against a queue (FairQueue or FifoQueue) and
 * a TargetSet in simulated time. Arrivals and run times depend only on the
 * seed, so that simulations with different queues, or without the flood, get
 * the same requests of the other kinds.
 */
template<typename Queue>
class FloodSimulation
{
public:
  /** aFloodingKind is the index of the flooding kind, or -1 for no flood. */
  FloodSimulation(const FloodScenario& aScenario,
                  int aFloodingKind,
                  std::uint64_t aSeed)
    : m_scenario(aScenario)
    , m_floodingKind(aFloodingKind)
    , m_seed(aSeed)
    , m_targets(aSeed)
  {
  }

  FloodResult Run()
  {
    SetUp();
    while (!m_events.empty()) {
      const Event event = m_events.top();
      m_events.pop();
      CountBusyTime(event.m_time);
      m_now = event.m_time;
      if (event.m_isEnd) {
        FinishRequest(event.m_request);
      } else {
        Arrive(event.m_request);
      }
      StartRequests();
    }
    if (m_waitingSlotTime > 0) {
      m_result.m_busyShare = m_busySlotTime / m_waitingSlotTime;
    }
    return m_result;
  }

private:
  struct Request
  {
    int m_kind = 0;
    absl::Time m_arrival;
    absl::Duration m_runTime;
    std::string m_vm;
    QueuedRequest m_queuedRequest;
  };
  struct Event
  {
    absl::Time m_time;
    bool m_isEnd = false;
    std::size_t m_request = 0;

    bool operator<(const Event& aOther) const
    {
      return std::pair(m_time, m_request) >
             std::pair(aOther.m_time, aOther.m_request);
    }
  };

  int Slots() const
  {
    return m_scenario.m_targets * m_scenario.m_slotsPerTarget;
  }

  bool IsInFlood(absl::Time aTime) const
  {
    const absl::Duration inCycle =
      (aTime - absl::UnixEpoch()) % m_scenario.m_cycle;
    return inCycle >= m_scenario.m_leadTime &&
           inCycle < m_scenario.m_leadTime + m_scenario.m_flood;
  }

  void SetUp()
  {
    std::vector<ServiceSpec> services;
    for (const FloodKind& kind : m_scenario.m_kinds) {
      services.push_back(kind.m_service);
      m_result.m_kinds.push_back({ kind.m_service.m_name });
    }
    m_queue.Configure(services, m_scenario.m_teamQuotas);
    m_queue.SetSlots(Slots());
    std::vector<TargetInfo> targets;
    for (int i = 0; i < m_scenario.m_targets; ++i) {
      const std::string vm = "vm" + std::to_string(i);
      targets.push_back({ vm, vm, "pool", "rack" });
      m_targets.SetAllowance(vm, m_scenario.m_slotsPerTarget);
    }
    m_targets.SetTargets(targets);
    for (int kind = 0; kind < static_cast<int>(services.size()); ++kind) {
      AddArrivals(kind, m_scenario.m_baseFactor, false);
      if (kind == m_floodingKind) {
        AddArrivals(
          kind, m_scenario.m_floodFactor - m_scenario.m_baseFactor, true);
      }
    }
    for (std::size_t i = 0; i < m_requests.size(); ++i) {
      m_events.push({ m_requests[i].m_arrival, false, i });
    }
  }

  /** Adds Poisson arrivals with exponentially distributed run times. */
  void AddArrivals(int aKind, double aFactor, bool aOnlyInFlood)
  {
    const FloodKind& kind = m_scenario.m_kinds[aKind];
    std::seed_seq seeds{ m_seed,
                         static_cast<std::uint64_t>(aKind),
                         static_cast<std::uint64_t>(aOnlyInFlood) };
    std::mt19937_64 random(seeds);
    const double runTime = absl::ToDoubleSeconds(kind.m_meanRunTime);
    const double rate = kind.m_meanShare * Slots() / runTime * aFactor;
    std::exponential_distribution<double> gap(rate);
    std::exponential_distribution<double> length(1 / runTime);
    const absl::Time end =
      absl::UnixEpoch() + m_scenario.m_cycle * m_scenario.m_cycles;
    absl::Time time = absl::UnixEpoch();
    while ((time += absl::Seconds(gap(random))) < end) {
      const absl::Duration run = absl::Seconds(length(random));
      if (!aOnlyInFlood || IsInFlood(time)) {
        m_requests.push_back({ aKind, time, run, "", {} });
      }
    }
  }

  void Arrive(std::size_t aRequest)
  {
    const Request& request = m_requests[aRequest];
    const ServiceSpec& service = m_scenario.m_kinds[request.m_kind].m_service;
    if (m_queue.Enqueue(
          service.m_name, aRequest, m_now, m_now + service.m_defaultDeadline)) {
      ++m_result.m_kinds[request.m_kind].m_refused;
    }
  }

  void FinishRequest(std::size_t aRequest)
  {
    const Request& request = m_requests[aRequest];
    m_queue.Finish(request.m_queuedRequest, request.m_runTime);
    m_targets.Finish(request.m_vm, TargetOutcome::Success, m_now);
    --m_busy;
  }

  void StartRequests()
  {
    for (const QueuedRequest& expired : m_queue.RemoveExpired(m_now)) {
      ++m_result.m_kinds[m_requests[expired.m_id].m_kind].m_expired;
    }
    while (m_targets.HasFreeSlot("pool")) {
      auto queuedRequest = m_queue.Take();
      if (!queuedRequest) {
        return;
      }
      Request& request = m_requests[queuedRequest->m_id];
      request.m_vm = m_targets.Reserve("pool")->m_vm;
      FloodKindResult& result = m_result.m_kinds[request.m_kind];
      if (IsInFlood(m_now)) {
        ++result.m_started;
      }
      if (IsInFlood(request.m_arrival)) {
        result.m_startDelays.push_back(
          absl::ToDoubleSeconds(m_now - request.m_arrival));
      }
      ++m_busy;
      m_events.push({ m_now + request.m_runTime, true, queuedRequest->m_id });
      request.m_queuedRequest = std::move(*queuedRequest);
    }
  }

  void CountBusyTime(absl::Time aUntil)
  {
    if (m_queue.Queued() == 0) {
      return;
    }
    const double seconds = absl::ToDoubleSeconds(aUntil - m_now);
    m_waitingSlotTime += seconds * Slots();
    m_busySlotTime += seconds * m_busy;
  }

  const FloodScenario& m_scenario;
  const int m_floodingKind;
  const std::uint64_t m_seed;
  Queue m_queue;
  TargetSet m_targets;
  std::vector<Request> m_requests;
  std::priority_queue<Event> m_events;
  absl::Time m_now = absl::UnixEpoch();
  int m_busy = 0;
  double m_busySlotTime = 0;
  double m_waitingSlotTime = 0;
  FloodResult m_result;
};

}
