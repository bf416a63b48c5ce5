#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bramleystall {

/** Most that the connections of a process may hold together. */
struct RequestBudgetLimits
{
  std::size_t m_bytes = 0;
  std::size_t m_connections = 0;

  /** Limits of the callers' connections of a process that may have aMemoryMb
   * MiB and aMaxDescriptors descriptors. */
  static RequestBudgetLimits ForProcess(std::int64_t aMemoryMb,
                                        std::int64_t aMaxDescriptors);
};

/** Result of a request for bytes or for a connection. */
struct BudgetDecision
{
  bool m_isAdmitted = false;
  /** Connections to close, in the order of their eviction. The budget no
   * longer counts them. */
  std::vector<std::uint64_t> m_evicted;
};

/**
 * Decides which connections a process serves within its memory and its
 * descriptors. What would exceed the limits evicts incomplete requests,
 * responses that are not read, and idle connections, in descending order of
 * bytes held times age. Requests that wait for their response are never
 * evicted.
 *
 * A connection is named by the caller's id for it. A call for an unknown id
 * (one that was evicted) admits nothing and changes nothing. All times are of
 * one monotonic clock. Not thread-safe.
 */
class RequestBudget
{
public:
  using Id = std::uint64_t;

  explicit RequestBudget(RequestBudgetLimits aLimits)
    : m_limits(aLimits)
  {
  }

  /** Later decisions use the new limits. */
  void SetLimits(RequestBudgetLimits aLimits) { m_limits = aLimits; }

  /** A connection was opened that holds aBytes from now on; they include the
   * buffer of the HTTP library. A connection that is not admitted is not
   * counted. */
  BudgetDecision Open(Id aId, std::size_t aBytes, absl::Time aNow);

  /** The first line of a request was read. */
  void BeginRequest(Id aId, absl::Time aNow);

  /** Whether a request whose connection will need aBytes more could have them
   * now, after evictions of others. Evicts nothing. */
  bool HasRoomFor(Id aId, std::size_t aBytes) const;

  /** The request of a connection is about to hold aBytes, the connection's own
   * included. May evict the connection itself, which is then not admitted; nor
   * is a request that waits for its response. */
  BudgetDecision Resize(Id aId, std::size_t aBytes, absl::Time aNow);

  /** The request is complete and waits for its response. */
  void Complete(Id aId);

  /** The response of a request that waited is about to be sent; the connection
   * holds aBytes until it is. May evict the connection itself, which is then
   * not admitted. */
  BudgetDecision BeginResponse(Id aId, std::size_t aBytes, absl::Time aNow);

  /** The response was sent; the connection is idle and holds aBytes, or what
   * it held before if that is less. */
  void FinishRequest(Id aId, std::size_t aBytes, absl::Time aNow);

  /** The connection was closed. */
  void Close(Id aId);

  /** Removes and returns the connections whose request is incomplete aReadLimit
   * after its start, whose response is not sent completely by that time, or
   * that are idle for longer than aIdleLimit. */
  std::vector<Id> EvictOverdue(absl::Duration aReadLimit,
                               absl::Duration aIdleLimit,
                               absl::Time aNow);

  std::size_t Bytes() const { return m_bytes; }
  std::size_t Connections() const { return m_connections.size(); }

private:
  enum class Phase
  {
    /** The first request of a connection, or a later one whose first line was
     * read. */
    Reading,
    /** Between a response and the next request. */
    Idle,
    /** The request is complete and has no response yet. */
    Waiting,
    /** The response is being sent. */
    Sending,
  };
  struct Connection
  {
    std::size_t m_bytes = 0;
    /** Start of the request, or of the response that is being sent; of an idle
     * connection, its last response. */
    absl::Time m_since;
    Phase m_phase = Phase::Reading;
  };

  /** Evicts until aBytes more and aConnections more fit. Does nothing and
   * returns false if they cannot. */
  bool MakeRoom(std::size_t aBytes,
                std::size_t aConnections,
                absl::Time aNow,
                std::vector<Id>& aEvicted);
  std::optional<Id> NextToEvict(absl::Time aNow) const;
  void Remove(Id aId);

  RequestBudgetLimits m_limits;
  std::size_t m_bytes = 0;
  /** Bytes and number of the connections that wait for a response. */
  std::size_t m_waitingBytes = 0;
  std::size_t m_waitingConnections = 0;
  std::map<Id, Connection> m_connections;
};

}
