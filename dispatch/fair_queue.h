#pragma once

#include "core/service_spec.h"
#include "dispatch/refusal_reason.h"

#include <absl/time/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <numeric>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace bramleystall {

/** A request that waits in a FairQueue or was taken from it. */
struct QueuedRequest
{
  /** Unique within the daemon and increasing in the order of arrival; it
   * determines the position in the queue of the service. */
  std::uint64_t m_id = 0;
  std::string m_service;
  absl::Time m_arrival;
  absl::Time m_deadline;
  /** Estimated slot time in seconds that Take charged to the service. */
  double m_chargedSeconds = 0;
};

/**
 * Queues of the services that share one pool. Requests are started in this
 * order:
 *
 * 1. Teams below their slot quota come first; among them, the team that uses
 *    the smallest fraction of its quota. A slot counts against the quota of a
 *    request if a request of the same team with the same or a higher urgency
 *    holds it, so that less urgent work in lent slots does not use up the quota
 *    of more urgent work. Within a team, services are ordered strictly by
 *    urgency, and services of equal urgency by weighted fair shares.
 * 2. Slots that no team below its quota needs are lent to any service by
 *    weighted fair shares, regardless of urgency, so that a flood of urgent
 *    work does not take all lent slots.
 *
 * Fair shares: the service with the fewest requests in flight relative to its
 * weight is next; if equal, the one with the lowest virtual time. The virtual
 * time grows by the slot time of a service's requests divided by its weight. A
 * service that becomes active starts at the queue's virtual time, so it gains
 * nothing from having been idle. Requests in flight are compared first because
 * they reflect a flood at once; with virtual time alone, bursts of services
 * below their share waited behind the flood.
 *
 * Takes the time as an argument and has no clock. A decision takes time linear
 * in the number of services and logarithmic in the number of queued requests.
 */
class FairQueue
{
public:
  /**
   * Sets the services of the pool and the teams' quotas (share of the slots, 0
   * to 1). A team without a quota only gets lent slots. Returns the queued
   * requests of removed services in the order of arrival.
   */
  std::vector<QueuedRequest> Configure(
    const std::vector<ServiceSpec>& aServices,
    const std::map<std::string, double>& aTeamQuotas);

  /** Sets the number of slots that the quotas are shares of. */
  void SetSlots(int aSlots) { m_slots = aSlots; }

  /** Queues a request, or returns the reason why it is refused. */
  std::optional<RefusalReason> Enqueue(const std::string& aService,
                                       std::uint64_t aId,
                                       absl::Time aNow,
                                       absl::Time aDeadline);

  /** Removes and returns the request to start next; nothing if the queues are
   * empty. It counts as in flight until Finish, FinishWithoutSample or
   * UndoTake.
   */
  std::optional<QueuedRequest> Take();

  /** Puts a request that did not start back at its position. */
  void UndoTake(QueuedRequest aRequest);

  /** Puts a request back at its position after a finished attempt, even if the
   * queue is full. Returns false if the service was removed. */
  bool Requeue(QueuedRequest aRequest);

  /** Ends the attempt of a request that Take returned. aRunTime is the time for
   * which it held its slot; it updates the mean and the virtual time. */
  void Finish(const QueuedRequest& aRequest, absl::Duration aRunTime);

  /** Like Finish, for an attempt whose run time is not a valid sample. */
  void FinishWithoutSample(const QueuedRequest& aRequest);

  /** Removes a queued request. Returns false if it is not queued. */
  bool Cancel(std::uint64_t aId);

  /** Removes and returns the queued requests of one service. */
  std::vector<QueuedRequest> RemoveAll(const std::string& aService);

  /** Removes and returns the requests whose deadline has passed. */
  std::vector<QueuedRequest> RemoveExpired(absl::Time aNow);

  /** Expected time until a request that arrives now starts. */
  absl::Duration ExpectedWait(const std::string& aService) const;

  /** Mean slot time of the service's requests: initially the declared run time,
   * then an exponentially weighted mean of the observed run times. */
  absl::Duration MeanRunTime(const std::string& aService) const;

  int Queued() const { return static_cast<int>(m_serviceOf.size()); }
  int Queued(const std::string& aService) const;
  int InFlight(const std::string& aService) const;
  int TeamInFlight(const std::string& aTeam) const;

private:
  struct ServiceQueue
  {
    std::string m_team;
    Urgency m_urgency = Urgency::Normal;
    double m_weight = 1;
    int m_queueLimit = 0;
    /** Exponentially weighted mean of the slot time, in seconds. */
    double m_meanRunTimeSeconds = 1;
    double m_virtualTime = 0;
    int m_inFlight = 0;
    /** Exponentially weighted mean of the requests in flight, updated while
     * requests are queued. */
    double m_meanBackloggedInFlight = 0;
    std::map<std::uint64_t, QueuedRequest> m_waiting;
  };
  using Queues = std::map<std::string, ServiceQueue>;
  struct Team
  {
    double m_quota = 0;
    std::array<int, kUrgencyNames.size()> m_inFlight{};

    int& InFlight(Urgency aUrgency)
    {
      return m_inFlight.at(static_cast<std::size_t>(aUrgency));
    }
    /** Number of requests in flight with this or a higher urgency. */
    int InFlightAtOrAbove(Urgency aUrgency) const
    {
      const auto last = static_cast<std::ptrdiff_t>(aUrgency) + 1;
      return std::accumulate(m_inFlight.begin(), m_inFlight.begin() + last, 0);
    }
  };

  void Insert(ServiceQueue& aQueue, QueuedRequest aRequest);
  QueuedRequest Remove(ServiceQueue& aQueue, std::uint64_t aId);
  ServiceQueue* SelectQueue();
  const std::string* LeastUsedTeamBelowQuota() const;
  bool PrecedesByUrgency(const ServiceQueue& aLeft,
                         const ServiceQueue& aRight) const;
  static bool PrecedesByShare(const ServiceQueue& aLeft,
                              const ServiceQueue& aRight);
  double GuaranteedSlots(const ServiceQueue& aQueue) const;
  void AdvanceVirtualTime();
  void RemoveFromInFlight(const QueuedRequest& aRequest);

  Queues m_queues;
  std::map<std::string, Team> m_teams;
  std::unordered_map<std::uint64_t, std::string> m_serviceOf;
  std::set<std::pair<absl::Time, std::uint64_t>> m_deadlines;
  double m_virtualTime = 0;
  int m_slots = 0;
  int m_inFlight = 0;
};

}
