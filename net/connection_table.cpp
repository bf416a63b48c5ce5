#include "net/connection_table.h"

#include "core/clock.h"
#include "core/log.h"
#include "core/metrics.h"

#include <absl/strings/str_cat.h>
#include <sys/socket.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace bramleystall {

namespace {

/** Structures of the HTTP library and of the listener for each connection:
 * about 1 KB and 0.5 KB, rounded up for the allocator. */
constexpr std::size_t kConnectionOverheadBytes = 4096;
/** Smallest buffer of a body; a small request needs one. */
constexpr std::size_t kMinBodyBytes = 1024;
/** A body above the limit is read and discarded so that the client receives
 * the 413. Beyond this multiple of the limit the connection is closed. */
constexpr std::size_t kMaxDiscardedFactor = 4;
/** Evicted connections that may be open beside the admitted ones; not more than
 * the admitted ones. The library closes an evicted connection within its next
 * turn, so more appear only when a crowd arrives faster than it accepts. */
constexpr std::size_t kMaxClosing = 64;
constexpr absl::Duration kTickInterval = absl::Seconds(1);
/** Retry-After of a refusal; for this time a refusal makes a process unready.
 */
constexpr absl::Duration kRefusalTime = absl::Seconds(1);

constexpr const char* kRefusalsMetric = "bramleystall_listener_refusals_total";
constexpr const char* kDropsMetric = "bramleystall_listener_drops_total";

std::size_t
MaxOpen(const RequestBudgetLimits& aLimits)
{
  return aLimits.m_connections + std::min(aLimits.m_connections, kMaxClosing);
}

/** Size of a receive buffer; the kernel's default lets each grow to 6 MB. */
constexpr int kReceiveBufferBytes = 16384;
/** Memory of a receive buffer, which the kernel doubles for its own structures.
 * While a body is read, it may be full; otherwise it is read at once. */
constexpr std::size_t kUnreadBytes = 2 * kReceiveBufferBytes;

}

void
LimitReceiveBuffers(int aListeningSocket)
{
  if (setsockopt(aListeningSocket,
                 SOL_SOCKET,
                 SO_RCVBUF,
                 &kReceiveBufferBytes,
                 sizeof kReceiveBufferBytes) != 0) {
    LogWarning(LogPart::Net,
               "cannot limit the receive buffers of connections.");
  }
}

class ConnectionTable::Connection
{
public:
  RequestBudget::Id m_id = 0;
  int m_socket = -1;
  bool m_isDropped = false;
  bool m_isTooLarge = false;
  std::size_t m_headerBytes = 0;
  std::size_t m_declaredLength = 0;
  /** Bytes of the body that were read, discarded ones included. */
  std::size_t m_readBytes = 0;
  std::string m_body;
};

ConnectionTable::ConnectionTable(ConnectionTableSettings aSettings,
                                 Metrics& aMetrics)
  : m_settings(std::move(aSettings))
  , m_metrics(aMetrics)
  , m_budget(m_settings.m_limits)
  , m_maxOpen(MaxOpen(m_settings.m_limits))
{
}

ConnectionTable::~ConnectionTable() = default;

void
ConnectionTable::SetLimits(RequestBudgetLimits aLimits)
{
  const std::lock_guard lock(m_mutex);
  m_budget.SetLimits(aLimits);
  m_maxOpen = MaxOpen(aLimits);
}

std::size_t
ConnectionTable::BaseBytes() const
{
  return m_settings.m_bufferBytes + kConnectionOverheadBytes;
}

bool
ConnectionTable::MayAccept()
{
  const std::lock_guard lock(m_mutex);
  if (m_open < m_maxOpen) {
    return true;
  }
  const absl::Time now = MonotonicNow();
  m_lastRefusal = now;
  CountDrop(ListenerDrop::NoRoom);
  FlushLog(now);
  return false;
}

ConnectionTable::Connection*
ConnectionTable::Open(int aSocket)
{
  auto connection = std::make_unique<Connection>();
  connection->m_socket = aSocket;
  const std::lock_guard lock(m_mutex);
  const absl::Time now = MonotonicNow();
  connection->m_id = m_nextId++;
  ++m_open;
  const BudgetDecision decision =
    m_budget.Open(connection->m_id, BaseBytes(), now);
  EvictAll(decision);
  if (decision.m_isAdmitted) {
    m_connections.emplace(connection->m_id, connection.get());
  } else {
    m_lastRefusal = now;
    DropLocked(*connection, ListenerDrop::NoRoom);
  }
  FlushLog(now);
  // Deleted by Close.
  return connection.release();
}

void
ConnectionTable::Close(Connection* aConnection)
{
  const std::unique_ptr<Connection> connection(aConnection);
  const std::lock_guard lock(m_mutex);
  --m_open;
  m_budget.Close(connection->m_id);
  m_connections.erase(connection->m_id);
}

void
ConnectionTable::BeginRequest(Connection& aConnection)
{
  const std::lock_guard lock(m_mutex);
  m_budget.BeginRequest(aConnection.m_id, MonotonicNow());
}

Admission
ConnectionTable::AdmitRequest(Connection& aConnection,
                              std::size_t aHeaderBytes,
                              std::uint64_t aDeclaredLength)
{
  const std::lock_guard lock(m_mutex);
  if (aConnection.m_isDropped) {
    return Admission::Closed;
  }
  const absl::Time now = MonotonicNow();
  const std::size_t unread = aDeclaredLength > 0 ? kUnreadBytes : 0;
  if (!m_budget.HasRoomFor(aConnection.m_id,
                           aHeaderBytes + aDeclaredLength + unread)) {
    m_lastRefusal = now;
    return Admission::Refused;
  }
  aConnection.m_headerBytes = aHeaderBytes;
  aConnection.m_declaredLength = aDeclaredLength;
  return Resize(aConnection, 0);
}

Admission
ConnectionTable::Resize(Connection& aConnection, std::size_t aBodyBytes)
{
  const BudgetDecision decision =
    m_budget.Resize(aConnection.m_id,
                    BaseBytes() + aConnection.m_headerBytes + aBodyBytes,
                    MonotonicNow());
  EvictAll(decision);
  return decision.m_isAdmitted ? Admission::Admitted : Admission::Closed;
}

Admission
ConnectionTable::Append(Connection& aConnection,
                        const char* aData,
                        std::size_t aSize,
                        std::size_t aLimit)
{
  const std::lock_guard lock(m_mutex);
  if (aConnection.m_isDropped) {
    return Admission::Closed;
  }
  aConnection.m_readBytes += aSize;
  if (aConnection.m_readBytes > aLimit) {
    aConnection.m_isTooLarge = true;
    std::string().swap(aConnection.m_body);
    if (aConnection.m_readBytes > aLimit * kMaxDiscardedFactor) {
      Evict(aConnection.m_id, ListenerDrop::BodyOverLimit);
      return Admission::Closed;
    }
    return Resize(aConnection, kUnreadBytes);
  }
  std::string& body = aConnection.m_body;
  const std::size_t needed = body.size() + aSize;
  if (needed > body.capacity()) {
    // A declared length needs no larger buffer than itself.
    const std::size_t most =
      aConnection.m_declaredLength > 0 ? aConnection.m_declaredLength : aLimit;
    const std::size_t capacity = std::max(
      needed, std::min(std::max(2 * body.capacity(), kMinBodyBytes), most));
    if (Resize(aConnection, kUnreadBytes + capacity) != Admission::Admitted) {
      return Admission::Closed;
    }
    body.reserve(capacity);
  }
  body.append(aData, aSize);
  return Admission::Admitted;
}

bool
ConnectionTable::IsDropped(const Connection& aConnection) const
{
  const std::lock_guard lock(m_mutex);
  return aConnection.m_isDropped;
}

bool
ConnectionTable::IsTooLarge(const Connection& aConnection) const
{
  const std::lock_guard lock(m_mutex);
  return aConnection.m_isTooLarge;
}

std::optional<std::string>
ConnectionTable::Complete(Connection& aConnection)
{
  const std::lock_guard lock(m_mutex);
  if (aConnection.m_isDropped) {
    return std::nullopt;
  }
  if (Resize(aConnection, aConnection.m_body.capacity()) !=
      Admission::Admitted) {
    return std::nullopt;
  }
  m_budget.Complete(aConnection.m_id);
  return std::exchange(aConnection.m_body, std::string());
}

Admission
ConnectionTable::BeginResponse(Connection& aConnection, std::size_t aBytes)
{
  const std::lock_guard lock(m_mutex);
  if (aConnection.m_isDropped) {
    return Admission::Closed;
  }
  const BudgetDecision decision = m_budget.BeginResponse(
    aConnection.m_id, BaseBytes() + aBytes, MonotonicNow());
  EvictAll(decision);
  return decision.m_isAdmitted ? Admission::Admitted : Admission::Closed;
}

void
ConnectionTable::FinishRequest(Connection& aConnection)
{
  const std::lock_guard lock(m_mutex);
  std::string().swap(aConnection.m_body);
  aConnection.m_isTooLarge = false;
  aConnection.m_readBytes = 0;
  aConnection.m_headerBytes = 0;
  aConnection.m_declaredLength = 0;
  m_budget.FinishRequest(aConnection.m_id, BaseBytes(), MonotonicNow());
}

void
ConnectionTable::CountRefusal(ListenerRefusal aReason)
{
  const std::string reason(NameOf(kListenerRefusalNames, aReason));
  m_metrics.Count(
    kRefusalsMetric,
    { { "listener", m_settings.m_listener }, { "reason", reason } });
  const std::lock_guard lock(m_mutex);
  m_logLimiter.Add("requests refused; reason=" + reason);
  FlushLog(MonotonicNow());
}

void
ConnectionTable::Evict(RequestBudget::Id aId, ListenerDrop aReason)
{
  m_budget.Close(aId);
  const auto found = m_connections.find(aId);
  if (found != m_connections.end()) {
    DropLocked(*found->second, aReason);
    m_connections.erase(found);
  }
}

void
ConnectionTable::EvictAll(const BudgetDecision& aDecision)
{
  for (const RequestBudget::Id id : aDecision.m_evicted) {
    Evict(id, ListenerDrop::Evicted);
  }
}

void
ConnectionTable::DropLocked(Connection& aConnection, ListenerDrop aReason)
{
  aConnection.m_isDropped = true;
  std::string().swap(aConnection.m_body);
  // Close of the connection waits for the lock, so the descriptor is still that
  // of this connection.
  shutdown(aConnection.m_socket, SHUT_RDWR);
  CountDrop(aReason);
}

void
ConnectionTable::CountDrop(ListenerDrop aReason)
{
  const std::string reason(NameOf(kListenerDropNames, aReason));
  m_metrics.Count(
    kDropsMetric,
    { { "listener", m_settings.m_listener }, { "reason", reason } });
  m_logLimiter.Add("connections closed; reason=" + reason);
}

void
ConnectionTable::Tick()
{
  const absl::Time now = MonotonicNow();
  std::int64_t next = m_nextTickMillis.load();
  if (ToMillis(now) < next || !m_nextTickMillis.compare_exchange_strong(
                                next, ToMillis(now + kTickInterval))) {
    return;
  }
  const std::lock_guard lock(m_mutex);
  // An idle connection has to bring the first line of its next request within
  // the idle timeout and the time of a request; the HTTP library restarts its
  // own idle timeout with each byte.
  const std::vector<RequestBudget::Id> overdue =
    m_budget.EvictOverdue(m_settings.m_readTimeout,
                          m_settings.m_idleTimeout + m_settings.m_readTimeout,
                          now);
  for (const RequestBudget::Id id : overdue) {
    Evict(id, ListenerDrop::Overdue);
  }
  const MetricLabels labels{ { "listener", m_settings.m_listener } };
  m_metrics.SetGauge("bramleystall_listener_bytes",
                     labels,
                     static_cast<double>(m_budget.Bytes()));
  m_metrics.SetGauge("bramleystall_listener_connections",
                     labels,
                     static_cast<double>(m_budget.Connections()));
  FlushLog(now);
}

void
ConnectionTable::FlushLog(absl::Time aNow)
{
  m_logLimiter.Flush(
    aNow, [this](const std::string& aReason, std::uint64_t aCount) {
      LogWarning(
        LogPart::Net,
        absl::StrCat(
          aReason, " listener=", m_settings.m_listener, " count=", aCount));
    });
}

bool
ConnectionTable::IsRefusing() const
{
  const std::lock_guard lock(m_mutex);
  return MonotonicNow() < m_lastRefusal + kRefusalTime;
}

}
