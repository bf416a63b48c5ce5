#pragma once

#include "admission/request_budget.h"
#include "core/claim_outcome.h"
#include "dispatch/slot_usage.h"
#include "dispatch/target_info.h"
#include "net/connection_table.h"
#include "server/request_path_status.h"

#include <absl/time/time.h>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bramleystall {

struct Configuration;
class Metrics;

struct RequestPathSettings
{
  /** Numeric IP address to listen on for callers. */
  std::string m_listenAddress = "127.0.0.1";
  /** 0 lets the system choose a free port. */
  int m_listenPort = 0;
  int m_httpThreads = 2;
  std::size_t m_maxRequestBytes = 1U << 20U;
  std::size_t m_maxResponseBytes = 8U << 20U;
  /** Limits of all callers' connections together. */
  RequestBudgetLimits m_limits =
    RequestBudgetLimits::ForProcess(ProcessLimits().m_memoryMb,
                                    ProcessLimits().m_maxDescriptors);
  /** Time from a request's first byte within which it has to be complete. */
  absl::Duration m_readTimeout = ProcessLimits().m_requestReadTimeout;
  /** Largest number of open connections to a target, idle ones included. */
  int m_connectionsPerTarget = 8;
  /** Path of the file with the state chart `request_attempt`. */
  std::string m_requestAttemptChart = "charts/request_attempt.json";
};

struct RequestPathHooks
{
  /** Claims the id of a request that is not idempotent; calls aDone from any
   * thread, once. */
  std::function<void(const std::string& aRequestId,
                     std::function<void(ClaimOutcome)> aDone)>
    m_claim;
  /**
   * Whether new work may be sent to targets; null means always. A daemon whose
   * process was paused returns false until it has rejoined the cluster, since
   * its slot tokens may be lent to other daemons. Must not block. A call of
   * SetSlotAllowance starts queued work once this returns true again.
   */
  std::function<bool()> m_mayStart;
};

/**
 * The path of requests through one daemon: from the caller's connection through
 * queue and claim to a target and back. All members are thread-safe.
 */
class RequestPath
{
public:
  /** aMetrics must outlive the object. Throws Error when the chart cannot be
   * read or the claim hook is missing. */
  RequestPath(RequestPathSettings aSettings,
              RequestPathHooks aHooks,
              Metrics& aMetrics);

  /** Stops without draining: a request without a response is refused, or its
   * outcome is reported as unknown. Call Drain before for a graceful stop. */
  ~RequestPath();
  RequestPath(const RequestPath&) = delete;
  RequestPath& operator=(const RequestPath&) = delete;

  /** Starts to listen for callers. Throws Error: Unavailable when the port is
   * in use, Internal when libcurl or epoll cannot be set up. */
  void Start();

  /** Port that callers connect to; valid after Start. */
  int Port() const;

  /** Applies a configuration. Queued requests of removed services are
   * refused. */
  void ApplyConfiguration(std::shared_ptr<const Configuration> aConfiguration);

  /** Sets the targets that may receive new work. After the call no other VM
   * receives new work; requests in flight at other VMs finish. */
  void ApplyTargets(const std::vector<TargetInfo>& aTargets);

  /** Sets the number of slot tokens for a VM, initially 0. A lower number
   * interrupts no request. Returns max(aAllowance, requests in flight). Calls
   * no hook but m_mayStart on this thread, so the caller may hold a lock that
   * m_claim needs. */
  int SetSlotAllowance(const std::string& aVm, int aAllowance);

  std::vector<SlotUsage> SlotUsages() const;

  /** Number of requests in flight by VM, reserved slots included. VMs without
   * any are absent. */
  std::map<std::string, int> InFlightByVm() const;

  RequestPathStatus Status() const;

  /** Whether callers were refused within the last second because the limits of
   * memory and connections were reached. */
  bool IsRefusing() const;

  /** Refuses new requests and waits, at most aTimeout, until every accepted
   * request has its response; then closes the listening socket. */
  void Drain(absl::Duration aTimeout);

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}
