#include "dispatch/fair_queue.h"

#include <algorithm>
#include <limits>

namespace bramleystall {

namespace {

// Weight of a new sample of the run time; the mean adapts to a change within
// about ten requests.
constexpr double kRunTimeSampleWeight = 0.2;
// Weight of a new sample of the requests in flight. Low, since the slots of a
// backlogged service change slowly and single starts are noise.
constexpr double kInFlightSampleWeight = 0.05;
// Lower limit of a run time sample, which keeps the shares defined for services
// whose requests take almost no time.
constexpr double kMinRunTimeSeconds = 1e-4;

}

std::vector<QueuedRequest>
FairQueue::Configure(const std::vector<ServiceSpec>& aServices,
                     const std::map<std::string, double>& aTeamQuotas)
{
  Queues previous = std::move(m_queues);
  m_queues.clear();
  for (const ServiceSpec& spec : aServices) {
    const auto old = previous.find(spec.m_name);
    ServiceQueue queue;
    if (old == previous.end()) {
      queue.m_meanRunTimeSeconds = std::max(
        kMinRunTimeSeconds, absl::ToDoubleSeconds(spec.m_declared.m_runTime));
      queue.m_virtualTime = m_virtualTime;
    } else {
      queue = std::move(old->second);
      previous.erase(old);
    }
    queue.m_team = spec.m_team;
    queue.m_urgency = spec.m_urgency;
    queue.m_weight = spec.m_weight;
    queue.m_queueLimit = spec.m_queueLimit;
    m_queues.emplace(spec.m_name, std::move(queue));
  }
  m_teams.clear();
  for (const auto& [name, queue] : m_queues) {
    const auto quota = aTeamQuotas.find(queue.m_team);
    Team& team = m_teams[queue.m_team];
    team.m_quota = quota == aTeamQuotas.end() ? 0 : quota->second;
    team.InFlight(queue.m_urgency) += queue.m_inFlight;
  }
  std::vector<QueuedRequest> removed;
  for (auto& [name, queue] : previous) {
    m_inFlight -= queue.m_inFlight;
    for (auto& [id, request] : queue.m_waiting) {
      m_serviceOf.erase(request.m_id);
      m_deadlines.erase({ request.m_deadline, request.m_id });
      removed.push_back(std::move(request));
    }
  }
  std::ranges::sort(removed, {}, &QueuedRequest::m_arrival);
  return removed;
}

std::optional<RefusalReason>
FairQueue::Enqueue(const std::string& aService,
                   std::uint64_t aId,
                   absl::Time aNow,
                   absl::Time aDeadline)
{
  const auto found = m_queues.find(aService);
  if (found == m_queues.end()) {
    return RefusalReason::UnknownService;
  }
  ServiceQueue& queue = found->second;
  if (aDeadline <= aNow) {
    return RefusalReason::DeadlinePassed;
  }
  if (static_cast<int>(queue.m_waiting.size()) >= queue.m_queueLimit) {
    return RefusalReason::QueueFull;
  }
  if (aNow + ExpectedWait(aService) + MeanRunTime(aService) > aDeadline &&
      !queue.m_waiting.empty()) {
    return RefusalReason::WaitExceedsDeadline;
  }
  Insert(queue, { aId, aService, aNow, aDeadline });
  return std::nullopt;
}

void
FairQueue::Insert(ServiceQueue& aQueue, QueuedRequest aRequest)
{
  if (aQueue.m_waiting.empty()) {
    aQueue.m_virtualTime = std::max(aQueue.m_virtualTime, m_virtualTime);
    aQueue.m_meanBackloggedInFlight = aQueue.m_inFlight;
  }
  m_serviceOf[aRequest.m_id] = aRequest.m_service;
  m_deadlines.emplace(aRequest.m_deadline, aRequest.m_id);
  const std::uint64_t id = aRequest.m_id;
  aQueue.m_waiting.emplace(id, std::move(aRequest));
}

QueuedRequest
FairQueue::Remove(ServiceQueue& aQueue, std::uint64_t aId)
{
  auto node = aQueue.m_waiting.extract(aId);
  QueuedRequest request = std::move(node.mapped());
  m_serviceOf.erase(request.m_id);
  m_deadlines.erase({ request.m_deadline, request.m_id });
  return request;
}

std::optional<QueuedRequest>
FairQueue::Take()
{
  ServiceQueue* const queue = SelectQueue();
  if (!queue) {
    return std::nullopt;
  }
  AdvanceVirtualTime();
  QueuedRequest request = Remove(*queue, queue->m_waiting.begin()->first);
  request.m_chargedSeconds = queue->m_meanRunTimeSeconds;
  queue->m_virtualTime += request.m_chargedSeconds / queue->m_weight;
  ++queue->m_inFlight;
  ++m_teams[queue->m_team].InFlight(queue->m_urgency);
  ++m_inFlight;
  if (!queue->m_waiting.empty()) {
    queue->m_meanBackloggedInFlight +=
      kInFlightSampleWeight *
      (queue->m_inFlight - queue->m_meanBackloggedInFlight);
  }
  return request;
}

FairQueue::ServiceQueue*
FairQueue::SelectQueue()
{
  const std::string* const team = LeastUsedTeamBelowQuota();
  ServiceQueue* best = nullptr;
  for (auto& [name, queue] : m_queues) {
    if (queue.m_waiting.empty() || (team && queue.m_team != *team)) {
      continue;
    }
    const bool precedes = !best || (team ? PrecedesByUrgency(queue, *best)
                                         : PrecedesByShare(queue, *best));
    if (precedes) {
      best = &queue;
    }
  }
  return best;
}

const std::string*
FairQueue::LeastUsedTeamBelowQuota() const
{
  const std::string* best = nullptr;
  double bestUse = std::numeric_limits<double>::infinity();
  for (const auto& [service, queue] : m_queues) {
    if (queue.m_waiting.empty()) {
      continue;
    }
    const Team& team = m_teams.at(queue.m_team);
    // Less urgent work that holds lent slots must not use up the quota of more
    // urgent work of the same team.
    const int inFlight = team.InFlightAtOrAbove(queue.m_urgency);
    if (inFlight >= team.m_quota * m_slots) {
      continue;
    }
    const double use = inFlight / team.m_quota;
    if (use < bestUse) {
      bestUse = use;
      best = &queue.m_team;
    }
  }
  return best;
}

bool
FairQueue::PrecedesByUrgency(const ServiceQueue& aLeft,
                             const ServiceQueue& aRight) const
{
  if (aLeft.m_urgency != aRight.m_urgency) {
    return aLeft.m_urgency < aRight.m_urgency;
  }
  return PrecedesByShare(aLeft, aRight);
}

bool
FairQueue::PrecedesByShare(const ServiceQueue& aLeft,
                           const ServiceQueue& aRight)
{
  const auto rank = [](const ServiceQueue& aQueue) {
    return std::pair(aQueue.m_inFlight / aQueue.m_weight, aQueue.m_virtualTime);
  };
  return rank(aLeft) < rank(aRight);
}

void
FairQueue::AdvanceVirtualTime()
{
  double lowest = std::numeric_limits<double>::infinity();
  for (const auto& [name, queue] : m_queues) {
    if (!queue.m_waiting.empty()) {
      lowest = std::min(lowest, queue.m_virtualTime);
    }
  }
  m_virtualTime = std::max(m_virtualTime, lowest);
}

void
FairQueue::UndoTake(QueuedRequest aRequest)
{
  const auto found = m_queues.find(aRequest.m_service);
  if (found == m_queues.end()) {
    return;
  }
  ServiceQueue& queue = found->second;
  RemoveFromInFlight(aRequest);
  queue.m_virtualTime -= aRequest.m_chargedSeconds / queue.m_weight;
  Insert(queue, std::move(aRequest));
}

bool
FairQueue::Requeue(QueuedRequest aRequest)
{
  const auto found = m_queues.find(aRequest.m_service);
  if (found == m_queues.end()) {
    return false;
  }
  Insert(found->second, std::move(aRequest));
  return true;
}

void
FairQueue::RemoveFromInFlight(const QueuedRequest& aRequest)
{
  const auto found = m_queues.find(aRequest.m_service);
  if (found == m_queues.end() || found->second.m_inFlight == 0) {
    return;
  }
  --found->second.m_inFlight;
  --m_teams[found->second.m_team].InFlight(found->second.m_urgency);
  --m_inFlight;
}

void
FairQueue::Finish(const QueuedRequest& aRequest, absl::Duration aRunTime)
{
  RemoveFromInFlight(aRequest);
  const auto found = m_queues.find(aRequest.m_service);
  if (found == m_queues.end()) {
    return;
  }
  ServiceQueue& queue = found->second;
  const double seconds =
    std::max(kMinRunTimeSeconds, absl::ToDoubleSeconds(aRunTime));
  // Replaces the estimate that Take charged with the observed slot time.
  queue.m_virtualTime += (seconds - aRequest.m_chargedSeconds) / queue.m_weight;
  queue.m_meanRunTimeSeconds +=
    kRunTimeSampleWeight * (seconds - queue.m_meanRunTimeSeconds);
}

void
FairQueue::FinishWithoutSample(const QueuedRequest& aRequest)
{
  RemoveFromInFlight(aRequest);
}

bool
FairQueue::Cancel(std::uint64_t aId)
{
  const auto found = m_serviceOf.find(aId);
  if (found == m_serviceOf.end()) {
    return false;
  }
  Remove(m_queues.at(found->second), aId);
  return true;
}

std::vector<QueuedRequest>
FairQueue::RemoveAll(const std::string& aService)
{
  std::vector<QueuedRequest> taken;
  const auto found = m_queues.find(aService);
  if (found == m_queues.end()) {
    return taken;
  }
  ServiceQueue& queue = found->second;
  while (!queue.m_waiting.empty()) {
    taken.push_back(Remove(queue, queue.m_waiting.begin()->first));
  }
  return taken;
}

std::vector<QueuedRequest>
FairQueue::RemoveExpired(absl::Time aNow)
{
  std::vector<QueuedRequest> expired;
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= aNow) {
    const std::uint64_t id = m_deadlines.begin()->second;
    expired.push_back(Remove(m_queues.at(m_serviceOf.at(id)), id));
  }
  return expired;
}

double
FairQueue::GuaranteedSlots(const ServiceQueue& aQueue) const
{
  // Only services of the team that compete now reduce the share: services of
  // equal urgency with queued requests by their weight, and more urgent
  // services by the slots that they hold.
  double competingWeight = aQueue.m_weight;
  int moreUrgentInFlight = 0;
  for (const auto& [name, other] : m_queues) {
    if (&other == &aQueue || other.m_team != aQueue.m_team) {
      continue;
    }
    if (other.m_urgency < aQueue.m_urgency) {
      moreUrgentInFlight += other.m_inFlight;
    } else if (other.m_urgency == aQueue.m_urgency &&
               !other.m_waiting.empty()) {
      competingWeight += other.m_weight;
    }
  }
  const double quotaSlots = m_teams.at(aQueue.m_team).m_quota * m_slots;
  return std::max(0.0, quotaSlots - moreUrgentInFlight) * aQueue.m_weight /
         competingWeight;
}

absl::Duration
FairQueue::ExpectedWait(const std::string& aService) const
{
  const auto found = m_queues.find(aService);
  // Without slots the wait is unknown. Requests must not be refused for it,
  // since slot tokens are granted only while requests are queued.
  if (found == m_queues.end() || m_slots <= 0) {
    return absl::ZeroDuration();
  }
  const ServiceQueue& queue = found->second;
  if (m_inFlight + Queued() < m_slots) {
    return absl::ZeroDuration();
  }
  const double slots = std::max(
    { 1.0, GuaranteedSlots(queue), static_cast<double>(queue.m_inFlight) });
  const double ahead = static_cast<double>(queue.m_waiting.size());
  return absl::Seconds(ahead * queue.m_meanRunTimeSeconds / slots);
}

absl::Duration
FairQueue::MeanRunTime(const std::string& aService) const
{
  const auto found = m_queues.find(aService);
  return found == m_queues.end()
           ? absl::ZeroDuration()
           : absl::Seconds(found->second.m_meanRunTimeSeconds);
}

int
FairQueue::Queued(const std::string& aService) const
{
  const auto found = m_queues.find(aService);
  return found == m_queues.end()
           ? 0
           : static_cast<int>(found->second.m_waiting.size());
}

int
FairQueue::InFlight(const std::string& aService) const
{
  const auto found = m_queues.find(aService);
  return found == m_queues.end() ? 0 : found->second.m_inFlight;
}

int
FairQueue::TeamInFlight(const std::string& aTeam) const
{
  const auto found = m_teams.find(aTeam);
  return found == m_teams.end()
           ? 0
           : found->second.InFlightAtOrAbove(Urgency::Background);
}

}
