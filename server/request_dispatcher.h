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

/** Hooks of the dispatcher. Any thread that calls the dispatcher may call them;
 * m_send and m_claim are called without its lock held. */
struct RequestDispatcherHooks
{
  /** Starts an attempt at a target; calls aDone once, from any thread. */
  std::function<void(TargetRequest, TargetClient::Done aDone)> m_send;
  /** Claims the id of a request that is not idempotent; calls aDone once, from
   * any thread. */
  std::function<void(const std::string& aRequestId,
                     std::function<void(ClaimOutcome)> aDone)>
    m_claim;
  /** Current monotonic time. */
  std::function<absl::Time()> m_now;
  /** Whether new work may be sent to targets; null means always. Called with
   * the dispatcher's lock held, so it must not wait. */
  std::function<bool()> m_mayStart;
};

/**
 * Controls each request from its arrival through the queue, the claim and the
 * attempts to its response. All members are thread-safe.
 */
class RequestDispatcher
{
public:
  /** aChart is `charts/request_attempt.json`. */
  RequestDispatcher(RequestDispatcherHooks aHooks,
                    StateChart aChart,
                    Metrics& aMetrics);
  ~RequestDispatcher();
  RequestDispatcher(const RequestDispatcher&) = delete;
  RequestDispatcher& operator=(const RequestDispatcher&) = delete;

  void ApplyConfiguration(std::shared_ptr<const Configuration> aConfiguration);
  void ApplyTargets(const std::vector<TargetInfo>& aTargets);
  int SetSlotAllowance(const std::string& aVm, int aAllowance);

  /** Queues a request, or refuses it at once. */
  void OnRequest(std::shared_ptr<CallerExchange> aExchange);

  /** Drops the request of a caller that hung up, unless an attempt is at a
   * target. Returns false when the request is not known. */
  bool OnHangUp(std::uint64_t aExchangeId);

  /** Makes the response to a request that the server rejected before
   * OnRequest, and counts the refusal. */
  HttpResponse MakeRejection(const HttpRequest& aRequest,
                             int aStatus,
                             const std::string& aDetail);

  /** Refuses requests whose deadline has passed and starts probes that are due.
   * Must be called every few milliseconds. */
  void Tick();

  /** Refuses new requests from now on. */
  void StartDraining();

  /** Responds to every request: "not run" when no byte was sent to a target,
   * else "outcome unknown". */
  void AbortAll();

  /** Number of accepted requests without a response. */
  int Unfinished() const;

  std::vector<SlotUsage> SlotUsages() const;
  std::map<std::string, int> InFlightByVm() const;
  RequestPathStatus Status() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}
