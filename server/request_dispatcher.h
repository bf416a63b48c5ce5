#pragma once

#include "core/claim_outcome.h"
#include "dispatch/slot_usage.h"
#include "dispatch/target_info.h"
#include "server/request_path_status.h"
#include "server/target_client.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bramleystall {

struct Configuration;
class CallerExchange;
class Metrics;
class StateChart;

/** Effects of the dispatcher; each may be called from any of its callers'
 * threads, without a lock held. */
struct RequestDispatcherHooks
{
  /** Starts an attempt at a target; calls aDone once, from any thread. */
  std::function<void(TargetRequest, TargetClient::Done aDone)> m_send;
  /** Claims the id of a request that is not idempotent; calls aDone once, from
   * any thread. */
  std::function<void(const std::string& aRequestId,
                     std::function<void(ClaimOutcome)> aDone)>
    m_claim;
  /** Monotonic time. */
  std::function<absl::Time()> m_now;
  /** Whether new work may be sent to targets; null means always. Called with
   * the dispatcher's lock held, so it must not wait. */
  std::function<bool()> m_mayStart;
};

/**
 * Takes each request from its arrival through queue, claim and attempts to its
 * response. All members are safe to call from any thread.
 */
class RequestDispatcher
{
public:
  /** The chart is `charts/request_attempt.json`. */
  RequestDispatcher(RequestDispatcherHooks aHooks,
                    StateChart aChart,
                    Metrics& aMetrics);
  ~RequestDispatcher();
  RequestDispatcher(const RequestDispatcher&) = delete;
  RequestDispatcher& operator=(const RequestDispatcher&) = delete;

  void ApplyConfiguration(std::shared_ptr<const Configuration> aConfiguration);
  void ApplyTargets(const std::vector<TargetInfo>& aTargets);
  int SetSlotAllowance(const std::string& aVm, int aAllowance);

  /** Queues or refuses a request. */
  void OnRequest(std::shared_ptr<CallerExchange> aExchange);

  /** The caller hung up: drops the request unless it is at a target. False when
   * the request is not known. */
  bool OnHangUp(std::uint64_t aExchangeId);

  /** Response to a request that the server did not pass on. */
  HttpResponse MakeRejection(const HttpRequest& aRequest,
                             int aStatus,
                             const std::string& aDetail);

  /** Refuses requests whose deadline passed and probes targets. Call it every
   * few milliseconds. */
  void Tick();

  /** Refuses new requests from now on. */
  void StartDraining();

  /** Ends every request: not run when no byte was sent, else unknown. */
  void AbortAll();

  /** Accepted requests without a response. */
  int Unfinished() const;

  std::vector<SlotUsage> SlotUsages() const;
  std::map<std::string, int> InFlightByVm() const;
  RequestPathStatus Status() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}
