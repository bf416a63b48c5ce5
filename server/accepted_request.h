#pragma once

#include "dispatch/fair_queue.h"
#include "dispatch/request_attempt.h"
#include "dispatch/unknown_reason.h"

#include <absl/time/time.h>

#include <memory>
#include <string>
#include <vector>

namespace bramleystall {

struct Configuration;
class CallerExchange;

/** State of an accepted request until its response. */
struct AcceptedRequest
{
  std::shared_ptr<CallerExchange> m_exchange;
  /** Keeps m_service alive. */
  std::shared_ptr<const Configuration> m_configuration;
  const ServiceSpec* m_service = nullptr;
  std::string m_requestId;
  bool m_isIdempotent = false;
  bool m_hasHungUp = false;
  absl::Time m_arrival;
  absl::Time m_deadline;
  RequestAttempt m_attempt;
  /** Pool whose queue the request is in, or was in before its attempt. */
  std::string m_pool;
  /** Entry taken from the queue; valid while the request holds a slot. */
  QueuedRequest m_queuedRequest;
  /** VM whose slot the request holds; empty while it is queued. */
  std::string m_vm;
  std::string m_address;
  absl::Time m_slotReservedAt;
  /** VMs at which an attempt failed. */
  std::vector<std::string> m_failedVms;
  int m_attempts = 0;
  UnknownReason m_lastFailure = UnknownReason::ConnectionClosed;
};

}
