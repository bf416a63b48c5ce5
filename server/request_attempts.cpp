#include "server/request_dispatcher_impl.h"

#include "core/configuration.h"
#include "server/caller_exchange.h"
#include "server/caller_request.h"
#include "server/outcome_response.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace bramleystall {

namespace {

/** Largest number of attempts of one request, the first included. */
constexpr int kMaxAttempts = 4;
/** An attempt of a request that may be retried times out after this many mean
 * run times or half of the remaining time, whichever is later. */
constexpr double kAttemptTimeoutFactor = 3;
/** An attempt that times out sooner, because of a short deadline, does not
 * count against the health of its target. */
constexpr absl::Duration kMinHealthTimeout = absl::Seconds(1);

UnknownReason
UnknownReasonOf(AttemptFailure aFailure)
{
  switch (aFailure) {
    case AttemptFailure::None:
    case AttemptFailure::ConnectFailed:
    case AttemptFailure::ConnectionClosed:
      return UnknownReason::ConnectionClosed;
    case AttemptFailure::ResponseTruncated:
      return UnknownReason::ResponseTruncated;
    case AttemptFailure::ResponseTooLarge:
      return UnknownReason::ResponseTooLarge;
    case AttemptFailure::TimedOut:
      return UnknownReason::TimedOut;
    case AttemptFailure::Stopped:
      return UnknownReason::Stopped;
  }
  return UnknownReason::ConnectionClosed;
}

/** Reason of a retry, or nothing when the failure does not allow a retry. */
std::optional<RetryReason>
RetryReasonOf(AttemptFailure aFailure)
{
  switch (aFailure) {
    case AttemptFailure::ConnectFailed:
      return RetryReason::ConnectFailed;
    case AttemptFailure::ConnectionClosed:
      return RetryReason::ConnectionClosed;
    case AttemptFailure::ResponseTruncated:
      return RetryReason::ResponseTruncated;
    case AttemptFailure::TimedOut:
      return RetryReason::TimedOut;
    case AttemptFailure::None:
    case AttemptFailure::ResponseTooLarge:
    case AttemptFailure::Stopped:
      return std::nullopt;
  }
  return std::nullopt;
}

HttpResponse
MakeCallerResponse(HttpResponse aResponse, const std::string& aRequestId)
{
  HttpHeaders headers = EndToEndHeaders(aResponse.m_headers);
  std::erase_if(headers, [](const auto& aHeader) {
    return absl::StartsWithIgnoreCase(aHeader.first, "X-Bramleystall-") ||
           absl::EqualsIgnoreCase(aHeader.first, kRequestIdHeader);
  });
  headers.emplace_back(kRequestIdHeader, aRequestId);
  aResponse.m_headers = std::move(headers);
  return aResponse;
}

}

void
RequestDispatcher::Impl::OnClaimGranted(AcceptedRequest& aAccepted,
                                        Actions& aActions)
{
  aAccepted.m_attempt.Fire(AttemptEvent::Clear);
  if (m_hooks.m_now() >= aAccepted.m_deadline) {
    Refuse(aAccepted,
           RefusalReason::DeadlinePassed,
           "the deadline passed before the request was sent",
           aActions);
    return;
  }
  // The target may have started to drain while the claim was in progress.
  if (!m_targets.IsUsable(aAccepted.m_vm)) {
    RequeueRequest(aAccepted, aActions);
    return;
  }
  StartAttempt(aAccepted, aActions);
}

absl::Duration
RequestDispatcher::Impl::AttemptTimeout(const AcceptedRequest& aAccepted,
                                        absl::Time aNow)
{
  const absl::Duration remaining = aAccepted.m_deadline - aNow;
  const bool mayRetry = aAccepted.m_isIdempotent &&
                        aAccepted.m_attempts < kMaxAttempts &&
                        m_retryBudgets[aAccepted.m_service->m_name].CanRetry();
  if (!mayRetry) {
    return remaining;
  }
  const absl::Duration runTimeLimit =
    m_queues[aAccepted.m_pool].MeanRunTime(aAccepted.m_service->m_name) *
    kAttemptTimeoutFactor;
  return std::min(remaining, std::max(remaining / 2, runTimeLimit));
}

void
RequestDispatcher::Impl::StartAttempt(AcceptedRequest& aAccepted,
                                      Actions& aActions)
{
  const absl::Time now = m_hooks.m_now();
  const HttpRequest& source = aAccepted.m_exchange->Request();
  const std::uint64_t id = aAccepted.m_exchange->Id();
  if (aAccepted.m_attempts == 0) {
    ++m_counts[aAccepted.m_service->m_name].m_started;
    m_metrics.Observe("bramleystall_queue_wait_seconds",
                      { { "service", aAccepted.m_service->m_name } },
                      now - aAccepted.m_arrival);
  }
  ++aAccepted.m_attempts;
  aAccepted.m_attempt.Fire(AttemptEvent::Send);
  TargetRequest request;
  request.m_address = aAccepted.m_address;
  request.m_method = source.m_method;
  request.m_target = source.m_target;
  request.m_headers = EndToEndHeaders(source.m_headers);
  std::erase_if(request.m_headers, [](const auto& aHeader) {
    return absl::EqualsIgnoreCase(aHeader.first, kRequestIdHeader) ||
           absl::EqualsIgnoreCase(aHeader.first, kDeadlineHeader);
  });
  request.m_headers.emplace_back(kRequestIdHeader, aAccepted.m_requestId);
  request.m_headers.emplace_back(
    kDeadlineHeader,
    absl::StrCat(absl::ToInt64Milliseconds(aAccepted.m_deadline - now)));
  request.m_source = { aAccepted.m_exchange, &source };
  request.m_timeout = AttemptTimeout(aAccepted, now);
  request.m_usesFreshConnection = !aAccepted.m_isIdempotent;
  aActions.push_back([this,
                      self = weak_from_this(),
                      id,
                      targetRequest = std::move(request)]() mutable {
    m_hooks.m_send(std::move(targetRequest), [self, id](TargetResult aResult) {
      if (const auto impl = self.lock()) {
        impl->RunLocked([&](Actions& aNext) {
          impl->OnResult(id, std::move(aResult), aNext);
        });
      }
    });
  });
}

void
RequestDispatcher::Impl::OnResult(std::uint64_t aId,
                                  TargetResult aResult,
                                  Actions& aActions)
{
  AcceptedRequest* const accepted = FindRequest(aId);
  if (!accepted || !accepted->m_attempt.IsSending()) {
    return;
  }
  const std::string pool = accepted->m_pool;
  FinishSlot(*accepted, aResult);
  if (aResult.m_failure == AttemptFailure::None) {
    OnResponse(*accepted, std::move(aResult.m_response), aActions);
  } else {
    OnFailure(*accepted, aResult, aActions);
  }
  StartQueuedRequests(pool, aActions);
}

void
RequestDispatcher::Impl::FinishSlot(AcceptedRequest& aAccepted,
                                    const TargetResult& aResult)
{
  const absl::Time now = m_hooks.m_now();
  const absl::Duration slotTime = now - aAccepted.m_slotReservedAt;
  if (aResult.m_mayHaveBeenSent) {
    QueueOf(aAccepted).Finish(aAccepted.m_queuedRequest, slotTime);
  } else {
    QueueOf(aAccepted).FinishWithoutSample(aAccepted.m_queuedRequest);
  }
  const std::string vm = std::exchange(aAccepted.m_vm, "");
  if (aResult.m_failure != AttemptFailure::None) {
    aAccepted.m_failedVms.push_back(vm);
  }
  switch (aResult.m_failure) {
    case AttemptFailure::None: {
      const bool isError = aResult.m_response.m_status >= kMinServerErrorStatus;
      m_targets.Finish(vm,
                       isError ? TargetOutcome::ErrorResponse
                               : TargetOutcome::Success,
                       now);
      return;
    }
    case AttemptFailure::ResponseTooLarge:
    case AttemptFailure::Stopped:
      m_targets.Release(vm);
      return;
    case AttemptFailure::TimedOut: {
      const absl::Duration threshold =
        std::min(kMinHealthTimeout, aAccepted.m_service->m_defaultDeadline);
      if (slotTime < threshold) {
        m_targets.Release(vm);
      } else {
        m_targets.Finish(vm, TargetOutcome::Timeout, now);
      }
      return;
    }
    case AttemptFailure::ConnectFailed:
      // A deadline that is too short to connect does not count against the
      // health of the target.
      if (now >= aAccepted.m_deadline && slotTime < kMinHealthTimeout) {
        m_targets.Release(vm);
      } else {
        m_targets.Finish(vm, TargetOutcome::Failure, now);
      }
      return;
    case AttemptFailure::ConnectionClosed:
    case AttemptFailure::ResponseTruncated:
      m_targets.Finish(vm, TargetOutcome::Failure, now);
      return;
  }
}

void
RequestDispatcher::Impl::OnResponse(AcceptedRequest& aAccepted,
                                    HttpResponse aResponse,
                                    Actions& aActions)
{
  if (aAccepted.m_attempts == 1 && aResponse.m_status < kMinServerErrorStatus) {
    m_retryBudgets[aAccepted.m_service->m_name].OnFirstAttemptSucceeded();
  }
  aAccepted.m_attempt.Fire(AttemptEvent::Respond);
  Finish(aAccepted,
         MakeCallerResponse(std::move(aResponse), aAccepted.m_requestId),
         aActions);
}

void
RequestDispatcher::Impl::OnFailure(AcceptedRequest& aAccepted,
                                   const TargetResult& aResult,
                                   Actions& aActions)
{
  if (!aResult.m_mayHaveBeenSent) {
    OnNotSent(aAccepted, aActions);
    return;
  }
  aAccepted.m_lastFailure = UnknownReasonOf(aResult.m_failure);
  if (!TryTakeRetry(aAccepted, aResult.m_failure)) {
    ReportUnknown(aAccepted,
                  aAccepted.m_lastFailure,
                  "the target did not give a complete response",
                  aActions);
    return;
  }
  aAccepted.m_attempt.Fire(AttemptEvent::Retry);
  RequeueRequest(aAccepted, aActions);
}

bool
RequestDispatcher::Impl::TryTakeRetry(AcceptedRequest& aAccepted,
                                      AttemptFailure aFailure)
{
  const auto reason = RetryReasonOf(aFailure);
  if (!reason || !aAccepted.m_isIdempotent ||
      aAccepted.m_attempts >= kMaxAttempts ||
      m_hooks.m_now() >= aAccepted.m_deadline) {
    return false;
  }
  if (!m_retryBudgets[aAccepted.m_service->m_name].TakeRetry()) {
    return false;
  }
  CountRetry(aAccepted, *reason);
  return true;
}

void
RequestDispatcher::Impl::CountRetry(const AcceptedRequest& aAccepted,
                                    RetryReason aReason)
{
  m_metrics.Count(
    "bramleystall_retries_total",
    { { "service", aAccepted.m_service->m_name },
      { "reason", std::string(NameOf(kRetryReasonNames, aReason)) } });
}

void
RequestDispatcher::Impl::OnNotSent(AcceptedRequest& aAccepted,
                                   Actions& aActions)
{
  aAccepted.m_attempt.Fire(AttemptEvent::NotSent);
  if (m_hooks.m_now() >= aAccepted.m_deadline) {
    RefuseOrReportUnknown(aAccepted,
                          RefusalReason::DeadlinePassed,
                          "no target accepted a connection in time",
                          aActions);
    return;
  }
  if (aAccepted.m_attempts >= kMaxAttempts) {
    RefuseOrReportUnknown(aAccepted,
                          RefusalReason::NoCapacity,
                          "no target accepted a connection",
                          aActions);
    return;
  }
  // The target received nothing, so this retry adds no load on targets and does
  // not use the retry budget.
  CountRetry(aAccepted, RetryReason::ConnectFailed);
  RequeueRequest(aAccepted, aActions);
}

void
RequestDispatcher::Impl::ReleaseSlot(AcceptedRequest& aAccepted)
{
  const std::string vm = std::exchange(aAccepted.m_vm, "");
  if (vm.empty()) {
    return;
  }
  QueueOf(aAccepted).FinishWithoutSample(aAccepted.m_queuedRequest);
  m_targets.Release(vm);
}

void
RequestDispatcher::Impl::RequeueRequest(AcceptedRequest& aAccepted,
                                        Actions& aActions)
{
  ReleaseSlot(aAccepted);
  if (aAccepted.m_attempt.Allows(AttemptEvent::Wait)) {
    aAccepted.m_attempt.Fire(AttemptEvent::Wait);
  }
  const ServiceSpec* const service =
    m_configuration->FindService(aAccepted.m_service->m_name);
  if (!service) {
    RefuseOrReportUnknown(aAccepted,
                          RefusalReason::ServiceRemoved,
                          "the service was removed",
                          aActions);
    return;
  }
  aAccepted.m_pool = service->m_pool;
  m_queues[aAccepted.m_pool].Requeue(aAccepted.m_queuedRequest);
}

void
RequestDispatcher::Impl::RefuseOrReportUnknown(AcceptedRequest& aAccepted,
                                               RefusalReason aReason,
                                               const std::string& aDetail,
                                               Actions& aActions)
{
  if (aAccepted.m_attempt.Allows(AttemptEvent::Refuse)) {
    Refuse(aAccepted, aReason, aDetail, aActions);
    return;
  }
  ReportUnknown(aAccepted,
                aAccepted.m_lastFailure,
                absl::StrCat("an attempt failed, and ", aDetail),
                aActions);
}

void
RequestDispatcher::Impl::Refuse(AcceptedRequest& aAccepted,
                                RefusalReason aReason,
                                const std::string& aDetail,
                                Actions& aActions)
{
  ReleaseSlot(aAccepted);
  aAccepted.m_attempt.Fire(AttemptEvent::Refuse);
  CountRefusal(aAccepted.m_service->m_name, aReason);
  Finish(
    aAccepted, MakeRefusal(aReason, aDetail, aAccepted.m_requestId), aActions);
}

void
RequestDispatcher::Impl::ReportUnknown(AcceptedRequest& aAccepted,
                                       UnknownReason aReason,
                                       const std::string& aDetail,
                                       Actions& aActions)
{
  ReleaseSlot(aAccepted);
  aAccepted.m_attempt.Fire(AttemptEvent::Lose);
  m_metrics.Count(
    "bramleystall_unknown_outcomes_total",
    { { "service", aAccepted.m_service->m_name },
      { "reason", std::string(NameOf(kUnknownReasonNames, aReason)) } });
  Finish(
    aAccepted, MakeUnknown(aReason, aDetail, aAccepted.m_requestId), aActions);
}

void
RequestDispatcher::Impl::Finish(AcceptedRequest& aAccepted,
                                HttpResponse aResponse,
                                Actions& aActions)
{
  m_metrics.Observe("bramleystall_request_seconds",
                    { { "service", aAccepted.m_service->m_name } },
                    m_hooks.m_now() - aAccepted.m_arrival);
  aActions.push_back([exchange = aAccepted.m_exchange,
                      response = std::move(aResponse)]() mutable {
    exchange->Respond(std::move(response));
  });
  m_acceptedRequests.erase(aAccepted.m_exchange->Id());
}

}
