#pragma once

#include "core/metrics.h"
#include "core/state_chart.h"
#include "dispatch/fair_queue.h"
#include "dispatch/refusal_reason.h"
#include "dispatch/retry_budget.h"
#include "dispatch/retry_reason.h"
#include "dispatch/target_set.h"
#include "dispatch/unknown_reason.h"
#include "server/accepted_request.h"
#include "server/http_message.h"
#include "server/request_dispatcher.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bramleystall {

/** Lowest HTTP status that indicates an error of the target. */
inline constexpr int kMinServerErrorStatus = 500;

/**
 * State of the dispatcher and its transitions. The functions run with the mutex
 * locked and append their side effects to an Actions list. Queueing is in
 * request_dispatcher.cpp, attempts and retries are in request_attempts.cpp.
 */
class RequestDispatcher::Impl
  : public std::enable_shared_from_this<RequestDispatcher::Impl>
{
public:
  Impl(RequestDispatcherHooks aHooks, StateChart aChart, Metrics& aMetrics)
    : m_hooks(std::move(aHooks))
    , m_chart(std::move(aChart))
    , m_metrics(aMetrics)
    , m_targets(std::random_device{}())
  {
  }

  /** Side effects to run after the mutex is released. */
  using Actions = std::vector<std::function<void()>>;

  /** Runs a function with the mutex locked, then its side effects. */
  template<typename Function>
  auto RunLocked(Function aFunction)
  {
    Actions actions;
    if constexpr (std::is_void_v<decltype(aFunction(actions))>) {
      {
        const std::lock_guard lock(m_mutex);
        aFunction(actions);
      }
      RunAll(actions);
    } else {
      std::unique_lock lock(m_mutex);
      auto result = aFunction(actions);
      lock.unlock();
      RunAll(actions);
      return result;
    }
  }

  void ApplyConfiguration(std::shared_ptr<const Configuration> aConfiguration,
                          Actions& aActions);
  void ApplyTargets(const std::vector<TargetInfo>& aTargets, Actions& aActions);
  void Accept(std::shared_ptr<CallerExchange> aExchange, Actions& aActions);
  bool HangUp(std::uint64_t aId, Actions& aActions);
  void Tick(Actions& aActions);
  void AbortAll(Actions& aActions);
  void StartQueuedRequests(const std::string& aPool, Actions& aActions);
  void StartAllQueuedRequests(Actions& aActions);
  void CountRefusal(const std::string& aService, RefusalReason aReason);

  std::vector<SlotUsage> SlotUsages() const;
  RequestPathStatus Status() const;

  mutable std::mutex m_mutex;
  RequestDispatcherHooks m_hooks;
  const StateChart m_chart;
  Metrics& m_metrics;
  TargetSet m_targets;
  bool m_isDraining = false;
  std::unordered_map<std::uint64_t, std::unique_ptr<AcceptedRequest>>
    m_acceptedRequests;

private:
  struct ServiceCounts
  {
    std::uint64_t m_started = 0;
    std::map<std::string, std::uint64_t> m_refused;
  };

  static void RunAll(Actions& aActions)
  {
    for (const auto& action : aActions) {
      action();
    }
  }

  AcceptedRequest* FindRequest(std::uint64_t aId);
  FairQueue& QueueOf(const AcceptedRequest& aAccepted)
  {
    return m_queues[aAccepted.m_pool];
  }
  void UpdateSlots(const std::string& aPool);
  void RefuseNewRequest(CallerExchange& aExchange,
                        const std::string& aService,
                        RefusalReason aReason,
                        const std::string& aDetail,
                        const std::string& aRequestId,
                        Actions& aActions);
  void StartWithSlot(AcceptedRequest& aAccepted,
                     QueuedRequest aQueuedRequest,
                     const TargetInfo& aTarget,
                     Actions& aActions);
  void StartClaim(AcceptedRequest& aAccepted, Actions& aActions);
  void OnClaim(std::uint64_t aId, ClaimOutcome aOutcome, Actions& aActions);
  void HandleClaim(AcceptedRequest& aAccepted,
                   ClaimOutcome aOutcome,
                   Actions& aActions);
  void OnClaimGranted(AcceptedRequest& aAccepted, Actions& aActions);
  void StartAttempt(AcceptedRequest& aAccepted, Actions& aActions);
  absl::Duration AttemptTimeout(const AcceptedRequest& aAccepted,
                                absl::Time aNow);
  void OnResult(std::uint64_t aId, TargetResult aResult, Actions& aActions);
  void OnResponse(AcceptedRequest& aAccepted,
                  HttpResponse aResponse,
                  Actions& aActions);
  void OnFailure(AcceptedRequest& aAccepted,
                 const TargetResult& aResult,
                 Actions& aActions);
  void OnNotSent(AcceptedRequest& aAccepted, Actions& aActions);
  void CountRetry(const AcceptedRequest& aAccepted, RetryReason aReason);
  bool TryTakeRetry(AcceptedRequest& aAccepted, AttemptFailure aFailure);
  void FinishSlot(AcceptedRequest& aAccepted, const TargetResult& aResult);
  void ReleaseSlot(AcceptedRequest& aAccepted);
  void RequeueRequest(AcceptedRequest& aAccepted, Actions& aActions);
  void RefuseOrReportUnknown(AcceptedRequest& aAccepted,
                             RefusalReason aReason,
                             const std::string& aDetail,
                             Actions& aActions);
  void Refuse(AcceptedRequest& aAccepted,
              RefusalReason aReason,
              const std::string& aDetail,
              Actions& aActions);
  void ReportUnknown(AcceptedRequest& aAccepted,
                     UnknownReason aReason,
                     const std::string& aDetail,
                     Actions& aActions);
  void Finish(AcceptedRequest& aAccepted,
              HttpResponse aResponse,
              Actions& aActions);
  void FinishExpiredRequests(absl::Time aNow, Actions& aActions);
  void StartProbes(absl::Time aNow, Actions& aActions);

  std::shared_ptr<const Configuration> m_configuration;
  std::map<std::string, FairQueue> m_queues;
  std::map<std::string, RetryBudget> m_retryBudgets;
  std::map<std::string, ServiceCounts> m_counts;
  std::set<std::uint64_t> m_claiming;
};

}
