#pragma once

#include "core/enum_names.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace bramleystall {

/** Outcome of an order to a worker. */
enum class OrderOutcome
{
  Accepted,
  /** The worker has seen a higher fencing token. */
  StaleFencingToken,
  /** This or a later attempt has already ended or been stopped on the worker.
   */
  StaleAttempt,
  /** The lease of the order has expired. */
  LeaseExpired,
  NoRoom,
  /** The policy of the queue does not, or no longer, allow this worker. */
  TicketRejected,
  /** The worker is unhealthy or busy and has done nothing. */
  Busy,
  /** Another incarnation of the worker responded; nothing was done. */
  WrongIncarnation,
  /** The worker does not accept the order's content. */
  Invalid,
  /** No connection, so the worker received nothing. */
  NotSent,
  /** No response; the worker may carry out the order now or later. */
  Unknown,
};

inline constexpr EnumNames<OrderOutcome, 11> kOrderOutcomeNames = { {
  { OrderOutcome::Accepted, "accepted" },
  { OrderOutcome::StaleFencingToken, "stale_fence" },
  { OrderOutcome::StaleAttempt, "stale_attempt" },
  { OrderOutcome::LeaseExpired, "lease_expired" },
  { OrderOutcome::NoRoom, "no_room" },
  { OrderOutcome::TicketRejected, "ticket_rejected" },
  { OrderOutcome::Busy, "busy" },
  { OrderOutcome::WrongIncarnation, "wrong_incarnation" },
  { OrderOutcome::Invalid, "invalid" },
  { OrderOutcome::NotSent, "not_sent" },
  { OrderOutcome::Unknown, "unknown" },
} };

struct WorkerAddress
{
  std::string m_workerId;
  /** "IP:PORT" */
  std::string m_address;
};

struct StartOrder
{
  std::string m_task;
  std::int64_t m_attempt = 0;
  std::string m_payload;
  /** Expiry of the worker's lease in ms of the worker's clock. */
  std::int64_t m_leaseExpiryMs = 0;
  std::int64_t m_fencingToken = 0;
  /** Checkpoint to resume from; empty for a start from the beginning. */
  std::string m_checkpoint;
  /** Permission of the advice service; empty where none is needed. */
  std::string m_ticket;
};

struct StopOrder
{
  std::string m_task;
  std::int64_t m_attempt = 0;
  std::int64_t m_fencingToken = 0;
};

struct PaceOrder
{
  std::string m_task;
  std::int64_t m_attempt = 0;
  std::int64_t m_fencingToken = 0;
  /** Share of its speed that the task may use, 0 to 100. */
  int m_percent = 100;
};

struct OrderResult
{
  OrderOutcome m_outcome = OrderOutcome::Unknown;
  /** The worker's clock when it responded, in ms; 0 without a response. */
  std::int64_t m_workerClockMs = 0;
  std::string m_error;
};

/** Renews the lease of all tasks on a worker and polls its state. */
struct LeaseOrder
{
  std::int64_t m_fencingToken = 0;
  /** Ends of tasks up to this number are stored; the worker may drop them. */
  std::int64_t m_lastRecordedEnd = 0;
  /** New lease expiry in ms of the worker's clock; 0 keeps the current one. */
  std::int64_t m_leaseExpiryMs = 0;
  /** How long the worker holds its response to wait for the end of a task. */
  absl::Duration m_wait;
};

/** A task that a worker runs. */
struct RunningTask
{
  std::string m_task;
  std::int64_t m_attempt = 0;
  /** Newest checkpoint; empty for none. */
  std::string m_checkpoint;
  /** Progress; for a long-running task 100 once it does its work. */
  int m_percent = 0;
  /** Tail latency in ms of a serving task, otherwise processor utilisation. */
  double m_load = 0;
};

enum class TaskEndKind
{
  Done,
  Failed,
  Stopped,
  LeaseExpired,
  /** Another member of the gang ended. */
  GangBroken,
  /** The other members of the gang did not start in time. */
  GangIncomplete,
};

inline constexpr EnumNames<TaskEndKind, 6> kTaskEndKindNames = { {
  { TaskEndKind::Done, "done" },
  { TaskEndKind::Failed, "failed" },
  { TaskEndKind::Stopped, "stopped" },
  { TaskEndKind::LeaseExpired, "lease_expired" },
  { TaskEndKind::GangBroken, "gang_broken" },
  { TaskEndKind::GangIncomplete, "gang_incomplete" },
} };

/** End of a task. The worker lists it until LeaseOrder::m_lastRecordedEnd
 * covers its number. */
struct TaskEnd
{
  /** Number of the end in this incarnation of the worker, from 1. */
  std::int64_t m_number = 0;
  std::string m_task;
  std::int64_t m_attempt = 0;
  TaskEndKind m_kind = TaskEndKind::Stopped;
  std::string m_checkpoint;
};

struct LeaseOrderResult
{
  OrderOutcome m_outcome = OrderOutcome::Unknown;
  std::int64_t m_workerClockMs = 0;
  /** Start time of this incarnation of the worker in ms since the Unix epoch.
   */
  std::int64_t m_startTimeMs = 0;
  std::vector<RunningTask> m_running;
  /** The oldest ends that are not recorded yet. */
  std::vector<TaskEnd> m_ends;
  /** False if there may be later ends, which the worker lists once those in
   * m_ends are recorded. A task in neither list may then have ended. */
  bool m_hasAllEnds = true;
  std::string m_error;
};

/** Permission of the advice service to run a step on a worker. */
struct AdviceTicket
{
  std::string m_workerId;
  std::string m_ticket;
};

struct AdviceResult
{
  bool m_hasResponse = false;
  std::vector<AdviceTicket> m_tickets;
  absl::Duration m_validFor;
};

/** Sends orders to workers. Each callback runs once, asynchronously, on the
 * event loop. */
class WorkerGateway
{
public:
  using OrderCallback = std::function<void(OrderResult)>;
  using LeaseCallback = std::function<void(LeaseOrderResult)>;
  using AdviceCallback = std::function<void(AdviceResult)>;

  virtual ~WorkerGateway() = default;

  virtual void Start(const WorkerAddress& aWorker,
                     const StartOrder& aOrder,
                     OrderCallback aCallback) = 0;
  virtual void Stop(const WorkerAddress& aWorker,
                    const StopOrder& aOrder,
                    OrderCallback aCallback) = 0;
  virtual void Pace(const WorkerAddress& aWorker,
                    const PaceOrder& aOrder,
                    OrderCallback aCallback) = 0;
  virtual void RenewLease(const WorkerAddress& aWorker,
                          const LeaseOrder& aOrder,
                          LeaseCallback aCallback) = 0;

  /** Asks the advice service which of the workers may run a step. */
  virtual void Advise(const std::string& aStep,
                      const std::vector<std::string>& aWorkers,
                      AdviceCallback aCallback) = 0;
};

}
