#include "admission/request_budget.h"

#include <algorithm>

namespace bramleystall {

namespace {

/** The rest of the memory is for the jobs, the store's documents and memory
 * that the allocator does not return. */
constexpr std::int64_t kMemoryFraction = 4;
/** Descriptors that the platform reserves for files. */
constexpr std::int64_t kFileDescriptors = 200;
/** The other half is for connections to the store and to workers, and for
 * connections that are evicted but not closed yet. */
constexpr std::int64_t kDescriptorFraction = 2;
/** A scan of so many connections takes about 20 us. */
constexpr std::int64_t kMaxConnections = 2000;

}

RequestBudgetLimits
RequestBudgetLimits::ForProcess(std::int64_t aMemoryMb,
                                std::int64_t aMaxDescriptors)
{
  constexpr std::int64_t kMiB = std::int64_t{ 1 } << 20;
  return { .m_bytes =
             static_cast<std::size_t>(aMemoryMb * kMiB / kMemoryFraction),
           .m_connections = static_cast<std::size_t>(std::clamp(
             (aMaxDescriptors - kFileDescriptors) / kDescriptorFraction,
             std::int64_t{ 1 },
             kMaxConnections)) };
}

BudgetDecision
RequestBudget::Open(Id aId, std::size_t aBytes, absl::Time aNow)
{
  BudgetDecision decision;
  decision.m_isAdmitted = MakeRoom(aBytes, 1, aNow, decision.m_evicted);
  if (decision.m_isAdmitted) {
    m_connections[aId] = { .m_bytes = aBytes, .m_since = aNow };
    m_bytes += aBytes;
  }
  return decision;
}

void
RequestBudget::BeginRequest(Id aId, absl::Time aNow)
{
  const auto found = m_connections.find(aId);
  if (found == m_connections.end() || found->second.m_phase != Phase::Idle) {
    // The first request counts from the opening of its connection.
    return;
  }
  found->second.m_phase = Phase::Reading;
  found->second.m_since = aNow;
}

bool
RequestBudget::HasRoomFor(Id aId, std::size_t aBytes) const
{
  const auto found = m_connections.find(aId);
  return found != m_connections.end() &&
         m_waitingBytes + found->second.m_bytes + aBytes <= m_limits.m_bytes;
}

BudgetDecision
RequestBudget::Resize(Id aId, std::size_t aBytes, absl::Time aNow)
{
  BudgetDecision decision;
  const auto found = m_connections.find(aId);
  if (found == m_connections.end() || found->second.m_phase == Phase::Waiting) {
    return decision;
  }
  // The request counts with its new size, so that it is evicted itself if it
  // would be the slowest and largest.
  m_bytes = m_bytes - found->second.m_bytes + aBytes;
  found->second.m_bytes = aBytes;
  MakeRoom(0, 0, aNow, decision.m_evicted);
  decision.m_isAdmitted = m_connections.contains(aId);
  if (decision.m_isAdmitted && m_bytes > m_limits.m_bytes) {
    Remove(aId);
    decision.m_evicted.push_back(aId);
    decision.m_isAdmitted = false;
  }
  return decision;
}

void
RequestBudget::Complete(Id aId)
{
  const auto found = m_connections.find(aId);
  if (found == m_connections.end() || found->second.m_phase == Phase::Waiting) {
    return;
  }
  found->second.m_phase = Phase::Waiting;
  m_waitingBytes += found->second.m_bytes;
  ++m_waitingConnections;
}

BudgetDecision
RequestBudget::BeginResponse(Id aId, std::size_t aBytes, absl::Time aNow)
{
  const auto found = m_connections.find(aId);
  if (found != m_connections.end()) {
    const std::size_t bytes = found->second.m_bytes;
    Remove(aId);
    m_connections[aId] = { .m_bytes = bytes,
                           .m_since = aNow,
                           .m_phase = Phase::Sending };
    m_bytes += bytes;
  }
  return Resize(aId, aBytes, aNow);
}

void
RequestBudget::FinishRequest(Id aId, std::size_t aBytes, absl::Time aNow)
{
  const auto found = m_connections.find(aId);
  if (found == m_connections.end()) {
    return;
  }
  const std::size_t bytes = std::min(aBytes, found->second.m_bytes);
  Remove(aId);
  m_connections[aId] = { .m_bytes = bytes,
                         .m_since = aNow,
                         .m_phase = Phase::Idle };
  m_bytes += bytes;
}

void
RequestBudget::Close(Id aId)
{
  Remove(aId);
}

std::vector<RequestBudget::Id>
RequestBudget::EvictOverdue(absl::Duration aReadLimit,
                            absl::Duration aIdleLimit,
                            absl::Time aNow)
{
  std::vector<Id> overdue;
  for (const auto& [id, connection] : m_connections) {
    const absl::Duration age = aNow - connection.m_since;
    const bool isOverdue =
      ((connection.m_phase == Phase::Reading ||
        connection.m_phase == Phase::Sending) &&
       age >= aReadLimit) ||
      (connection.m_phase == Phase::Idle && age >= aIdleLimit);
    if (isOverdue) {
      overdue.push_back(id);
    }
  }
  std::ranges::for_each(overdue, [this](Id aId) { Remove(aId); });
  return overdue;
}

bool
RequestBudget::MakeRoom(std::size_t aBytes,
                        std::size_t aConnections,
                        absl::Time aNow,
                        std::vector<Id>& aEvicted)
{
  const bool isPossible =
    m_waitingBytes + aBytes <= m_limits.m_bytes &&
    m_waitingConnections + aConnections <= m_limits.m_connections;
  if (!isPossible) {
    return false;
  }
  while (m_bytes + aBytes > m_limits.m_bytes ||
         m_connections.size() + aConnections > m_limits.m_connections) {
    const auto next = NextToEvict(aNow);
    if (!next) {
      return false;
    }
    Remove(*next);
    aEvicted.push_back(*next);
  }
  return true;
}

std::optional<RequestBudget::Id>
RequestBudget::NextToEvict(absl::Time aNow) const
{
  std::optional<Id> next;
  double largest = -1;
  for (const auto& [id, connection] : m_connections) {
    if (connection.m_phase == Phase::Waiting) {
      continue;
    }
    const double weight = static_cast<double>(connection.m_bytes) *
                          absl::ToDoubleSeconds(aNow - connection.m_since);
    if (weight > largest) {
      next = id;
      largest = weight;
    }
  }
  return next;
}

void
RequestBudget::Remove(Id aId)
{
  const auto found = m_connections.find(aId);
  if (found == m_connections.end()) {
    return;
  }
  m_bytes -= found->second.m_bytes;
  if (found->second.m_phase == Phase::Waiting) {
    m_waitingBytes -= found->second.m_bytes;
    --m_waitingConnections;
  }
  m_connections.erase(found);
}

}
