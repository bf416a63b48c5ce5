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
  /** Unique within the daemon and growing with the arrival; it is also the
   * place in the queue of the service. */
  std::uint64_t m_id = 0;
  std::string m_service;
  absl::Time m_arrival;
  absl::Time m_deadline;
  /** Slot time that the queue charged for it when it was taken, in seconds. */
  double m_chargedSeconds = 0;
};

/**
 * Queues of the services that share one pool. Order of service:
 *
 * 1. Teams below their quota of the slots, the least used first. Slots count
 *    against the quota of a request when a request of the same team with the
 *    same or a higher urgency holds them, so less urgent work in lent slots
 *    does not use up the quota of more urgent work. Inside the team strictly by
 *    urgency; services of equal urgency by weighted fair shares.
 * 2. Slots that no team below its quota asks for are lent to any service by
 *    weighted fair shares, regardless of urgency, so that a flood of urgent
 *    work does not take all lent slots.
 *
 * Fair shares: the service with the fewest requests in flight for its weight is
 * next; when equal, the one with the lowest virtual time. The virtual time
 * grows by the slot time of a service's requests divided by its weight; a
 * service that becomes active starts at the queue's virtual time, so it gains
 * nothing from idle time. Requests in flight come first because they follow a
 * flood at once, while virtual time alone let bursts of services below their
 * share wait behind it.
 *
 * Takes the time as an argument and has no clock. Cost of a decision: linear in
 * the number of services, logarithmic in the number of queued requests.
 */
class FairQueue
{
public:
  /**
   * Sets the services of the pool and the teams' quotas (share of the slots, 0
   * to 1). A team without a quota only gets lent slots. Returns the queued
   * requests of services that are gone, in the order of arrival.
   */
  std::vector<QueuedRequest> Configure(
    const std::vector<ServiceSpec>& aServices,
    const std::map<std::string, double>& aTeamQuotas);

  /** Sets the number of slots that the quotas refer to. */
  void SetSlots(int aSlots) { m_slots = aSlots; }

  /** Queues a request, or returns why it is refused. */
  std::optional<RefusalReason> Enqueue(const std::string& aService,
                                       std::uint64_t aId,
                                       absl::Time aNow,
                                       absl::Time aDeadline);

  /** Takes the request to start next; nothing when the queues are empty. It
   * counts as in flight until Finish or UndoTake. */
  std::optional<QueuedRequest> Take();

  /** Undoes Take for a request that did not start. */
  void UndoTake(QueuedRequest aRequest);

  /** Puts a request back at its place after a finished attempt. Ignores the
   * limit. False when the service is gone. */
  bool Requeue(QueuedRequest aRequest);

  /** Ends a request that Take returned, after the given time in its slot. */
  void Finish(const QueuedRequest& aRequest, absl::Duration aRunTime);

  /** Ends a request that Take returned without a sample of its run time. */
  void FinishWithoutSample(const QueuedRequest& aRequest);

  /** Removes a queued request; false when it is not queued. */
  bool Cancel(std::uint64_t aId);

  /** Removes and returns the queued requests of one service. */
  std::vector<QueuedRequest> RemoveAll(const std::string& aService);

  /** Removes and returns the requests whose deadline has passed. */
  std::vector<QueuedRequest> RemoveExpired(absl::Time aNow);

  /** Expected time until a request that arrives now starts. */
  absl::Duration ExpectedWait(const std::string& aService) const;

  /** Mean slot time of the service's requests: the declared run time at first,
   * then an exponentially weighted mean of the observed ones. */
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
    /** Mean of the requests in flight while others wait. */
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
    /** Requests in flight with this or a higher urgency. */
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
