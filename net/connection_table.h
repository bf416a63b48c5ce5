#pragma once

#include "admission/request_budget.h"
#include "core/enum_names.h"
#include "core/log_limiter.h"
#include "core/process_limits.h"

#include <absl/time/time.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace bramleystall {

class Metrics;

/** Connections of the readiness port and of the admin port each: probes and
 * operators use a few at a time. */
inline constexpr std::size_t kMaxOperatorConnections = 64;

/** Bounds the data that the kernel keeps unread for each connection that is
 * accepted from a listening socket. */
void
LimitReceiveBuffers(int aListeningSocket);

/** Why a request was refused, with a response. */
enum class ListenerRefusal
{
  /** The budget has no room, and nothing can be evicted. */
  NoRoom,
  /** The declared length is over the limit. */
  LengthOverLimit,
};

inline constexpr EnumNames<ListenerRefusal, 2> kListenerRefusalNames = { {
  { ListenerRefusal::NoRoom, "no_room" },
  { ListenerRefusal::LengthOverLimit, "length_over_limit" },
} };

/** Why a connection was closed without a response. */
enum class ListenerDrop
{
  /** Others needed its room in the budget. */
  Evicted,
  /** The connection was opened while nothing could be evicted. */
  NoRoom,
  /** The request was incomplete for too long, its response not read, or the
   * connection idle. */
  Overdue,
  /** A body without a declared length is far over the limit. */
  BodyOverLimit,
};

inline constexpr EnumNames<ListenerDrop, 4> kListenerDropNames = { {
  { ListenerDrop::Evicted, "evicted" },
  { ListenerDrop::NoRoom, "no_room" },
  { ListenerDrop::Overdue, "overdue" },
  { ListenerDrop::BodyOverLimit, "body_over_limit" },
} };

/** What to do with a request after a part of it was read. */
enum class Admission
{
  Admitted,
  /** Respond with 503. */
  Refused,
  /** Close the connection. */
  Closed,
};

/** Limits of one listener. */
struct ConnectionTableSettings
{
  /** Name of the listener in metrics and logs. */
  std::string m_listener;
  RequestBudgetLimits m_limits;
  /** Buffer of the HTTP library for each connection. */
  std::size_t m_bufferBytes = 0;
  /** Time from a request's first byte within which it has to be complete, and
   * from the start of its response within which that has to be read. */
  absl::Duration m_readTimeout = ProcessLimits().m_requestReadTimeout;
  /** Time after which the HTTP library closes an idle connection. */
  absl::Duration m_idleTimeout;
};

/**
 * The connections of one listener and the bodies of their requests. Reports to
 * a RequestBudget what each connection holds and carries out its decisions:
 * frees the body of an evicted request and shuts its socket down; the HTTP
 * library then closes the connection. All members are thread-safe.
 */
class ConnectionTable
{
public:
  /** A connection; owned by the table, and valid until Close. */
  class Connection;

  ConnectionTable(ConnectionTableSettings aSettings, Metrics& aMetrics);
  ~ConnectionTable();
  ConnectionTable(const ConnectionTable&) = delete;
  ConnectionTable& operator=(const ConnectionTable&) = delete;

  void SetLimits(RequestBudgetLimits aLimits);

  /** Whether a further connection may be accepted. Evicted connections keep
   * their descriptors until the HTTP library closes them; if too many do, a
   * new one has to be closed at once. */
  bool MayAccept();

  /** A connection was accepted. If the budget has no room for it, its socket is
   * shut down. */
  Connection* Open(int aSocket);

  /** The socket of the connection is about to be closed. */
  void Close(Connection* aConnection);

  /** The first line of a request was read. */
  void BeginRequest(Connection& aConnection);

  /**
   * The headers of a request were read.
   * @param aHeaderBytes memory of the listener's copy of them
   * @param aDeclaredLength of the body; 0 if there is none
   */
  Admission AdmitRequest(Connection& aConnection,
                         std::size_t aHeaderBytes,
                         std::uint64_t aDeclaredLength);

  /**
   * Adds a part of the body. A body over aLimit is not kept, but read up to a
   * multiple of it, so that its client receives the 413.
   */
  Admission Append(Connection& aConnection,
                   const char* aData,
                   std::size_t aSize,
                   std::size_t aLimit);

  /** Whether the connection was evicted or is overdue, so that its socket is
   * shut down. */
  bool IsDropped(const Connection& aConnection) const;

  /** Whether the body read so far is over its limit. */
  bool IsTooLarge(const Connection& aConnection) const;

  /** The request is complete and is not evicted from now on. Returns its body,
   * or nothing if it was evicted before. */
  std::optional<std::string> Complete(Connection& aConnection);

  /** The response of a complete request, which takes aBytes, is about to be
   * sent. */
  Admission BeginResponse(Connection& aConnection, std::size_t aBytes);

  /** The response was sent, or the request ended without one. */
  void FinishRequest(Connection& aConnection);

  void CountRefusal(ListenerRefusal aReason);

  /** Closes overdue connections, and updates gauges and log. To be called about
   * every second; more frequent calls do nothing. */
  void Tick();

  /** Whether the budget refused a request within the last second. */
  bool IsRefusing() const;

private:
  std::size_t BaseBytes() const;
  /** Counts a connection with its own bytes and aBodyBytes. */
  Admission Resize(Connection& aConnection, std::size_t aBodyBytes);
  void Evict(RequestBudget::Id aId, ListenerDrop aReason);
  void EvictAll(const BudgetDecision& aDecision);
  void DropLocked(Connection& aConnection, ListenerDrop aReason);
  void CountDrop(ListenerDrop aReason);
  void FlushLog(absl::Time aNow);

  const ConnectionTableSettings m_settings;
  Metrics& m_metrics;
  /** Also guards the members of the connections. */
  mutable std::mutex m_mutex;
  RequestBudget m_budget;
  std::size_t m_maxOpen;
  RequestBudget::Id m_nextId = 1;
  /** Connections that are not closed yet, evicted ones included. */
  std::size_t m_open = 0;
  /** Connections that the budget counts. */
  std::unordered_map<RequestBudget::Id, Connection*> m_connections;
  LogLimiter m_logLimiter;
  absl::Time m_lastRefusal = absl::InfinitePast();
  std::atomic<std::int64_t> m_nextTickMillis{ 0 };
};

}
