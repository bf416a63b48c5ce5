#pragma once

#include "core/service_spec.h"
#include "dispatch/fair_queue.h"

#include <deque>
#include <map>
#include <numeric>
#include <optional>
#include <string>
#include <vector>

namespace bramleystall {

/**
 * Naive counterpart of FairQueue, and the baseline of the flood measurements:
 * one first-in, first-out queue for all services, bounded by the sum of the
 * services' limits. It drops only requests whose deadline has passed. The class
 * is header-only, so that the measure program can include it as well.
 */
class FifoQueue
{
public:
  void Configure(const std::vector<ServiceSpec>& aServices,
                 const std::map<std::string, double>& /*aTeamQuotas*/)
  {
    m_limit = std::accumulate(
      aServices.begin(),
      aServices.end(),
      std::size_t{ 0 },
      [](std::size_t aSum, const ServiceSpec& aService) {
        return aSum + static_cast<std::size_t>(aService.m_queueLimit);
      });
  }

  void SetSlots(int /*aSlots*/) {}

  std::optional<RefusalReason> Enqueue(const std::string& aService,
                                       std::uint64_t aId,
                                       absl::Time aNow,
                                       absl::Time aDeadline)
  {
    if (m_waiting.size() >= m_limit) {
      return RefusalReason::QueueFull;
    }
    m_waiting.push_back({ aId, aService, aNow, aDeadline });
    return std::nullopt;
  }

  std::optional<QueuedRequest> Take()
  {
    if (m_waiting.empty()) {
      return std::nullopt;
    }
    QueuedRequest request = std::move(m_waiting.front());
    m_waiting.pop_front();
    return request;
  }

  void Finish(const QueuedRequest& /*aRequest*/, absl::Duration /*aRunTime*/) {}

  std::vector<QueuedRequest> RemoveExpired(absl::Time aNow)
  {
    std::vector<QueuedRequest> expired;
    std::erase_if(m_waiting, [&](const QueuedRequest& aRequest) {
      if (aRequest.m_deadline > aNow) {
        return false;
      }
      expired.push_back(aRequest);
      return true;
    });
    return expired;
  }

  int Queued() const { return static_cast<int>(m_waiting.size()); }

private:
  std::size_t m_limit = 0;
  std::deque<QueuedRequest> m_waiting;
};

}
