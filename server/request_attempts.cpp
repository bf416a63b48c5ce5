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

/** Attempts of one request, the first included. */
constexpr int kMaxAttempts = 4;
/** A first attempt of a retryable request ends after this many mean run times
 * or half of the remaining time, whichever is later. */
constexpr double kAttemptRunTimes = 3;
/** Time-outs of requests with shorter deadlines say nothing about a target. */
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

/** Reason of a retry, or nothing when the failure allows none. */
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
ForCaller(HttpResponse aResponse, const std::string& aRequestId)
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
RequestDispatcher::Impl::OnClaimGranted(RequestJob& aJob, Actions& aActions)
{
  aJob.m_attempt.Fire(AttemptEvent::Clear);
  if (m_hooks.m_now() >= aJob.m_deadline) {
    Refuse(aJob,
           RefusalReason::DeadlinePassed,
           "the deadline passed before the request was sent",
           aActions);
    return;
  }
  // The target may have started to drain while the claim was requested.
  if (!m_targets.IsUsable(aJob.m_vm)) {
    WaitAgain(aJob, aActions);
    return;
  }
  StartAttempt(aJob, aActions);
}

absl::Duration
RequestDispatcher::Impl::AttemptTimeout(const RequestJob& aJob, absl::Time aNow)
{
  const absl::Duration remaining = aJob.m_deadline - aNow;
  const bool mayRetry = aJob.m_idempotent && aJob.m_attempts < kMaxAttempts &&
                        m_retryBudgets[aJob.m_service->m_name].CanRetry();
  if (!mayRetry) {
    return remaining;
  }
  const absl::Duration usual =
    m_queues[aJob.m_pool].MeanRunTime(aJob.m_service->m_name) *
    kAttemptRunTimes;
  return std::min(remaining, std::max(remaining / 2, usual));
}

void
RequestDispatcher::Impl::StartAttempt(RequestJob& aJob, Actions& aActions)
{
  const absl::Time now = m_hooks.m_now();
  const HttpRequest& source = aJob.m_exchange->Request();
  const std::uint64_t id = aJob.m_exchange->Id();
  if (aJob.m_attempts == 0) {
    ++m_counts[aJob.m_service->m_name].m_started;
    m_metrics.Observe("bramleystall_queue_wait_seconds",
                      { { "service", aJob.m_service->m_name } },
                      now - aJob.m_arrival);
  }
  ++aJob.m_attempts;
  aJob.m_attempt.Fire(AttemptEvent::Send);
  TargetRequest request;
  request.m_address = aJob.m_address;
  request.m_method = source.m_method;
  request.m_target = source.m_target;
  request.m_headers = EndToEndHeaders(source.m_headers);
  std::erase_if(request.m_headers, [](const auto& aHeader) {
    return absl::EqualsIgnoreCase(aHeader.first, kRequestIdHeader) ||
           absl::EqualsIgnoreCase(aHeader.first, kDeadlineHeader);
  });
  request.m_headers.emplace_back(kRequestIdHeader, aJob.m_requestId);
  request.m_headers.emplace_back(
    kDeadlineHeader,
    absl::StrCat(absl::ToInt64Milliseconds(aJob.m_deadline - now)));
  request.m_source = { aJob.m_exchange, &source };
  request.m_timeout = AttemptTimeout(aJob, now);
  request.m_freshConnection = !aJob.m_idempotent;
  aActions.push_back(
    [this, self = weak_from_this(), id, one = std::move(request)]() mutable {
      m_hooks.m_send(std::move(one), [self, id](TargetResult aResult) {
        if (const auto impl = self.lock()) {
          impl->Locked([&](Actions& aNext) {
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
  RequestJob* const job = FindJob(aId);
  if (!job || !job->m_attempt.IsSending()) {
    return;
  }
  const std::string pool = job->m_pool;
  FinishSlot(*job, aResult);
  if (aResult.m_failure == AttemptFailure::None) {
    OnResponse(*job, std::move(aResult.m_response), aActions);
  } else {
    OnFailure(*job, aResult, aActions);
  }
  Pump(pool, aActions);
}

void
RequestDispatcher::Impl::FinishSlot(RequestJob& aJob,
                                    const TargetResult& aResult)
{
  const absl::Time now = m_hooks.m_now();
  const absl::Duration held = now - aJob.m_slotSince;
  if (aResult.m_mayHaveBeenSent) {
    QueueOf(aJob).Finish(aJob.m_ticket, held);
  } else {
    QueueOf(aJob).FinishWithoutSample(aJob.m_ticket);
  }
  const std::string vm = std::exchange(aJob.m_vm, "");
  if (aResult.m_failure != AttemptFailure::None) {
    aJob.m_tried.push_back(vm);
  }
  switch (aResult.m_failure) {
    case AttemptFailure::None: {
      const bool isError = aResult.m_response.m_status >= kServerError;
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
        std::min(kMinHealthTimeout, aJob.m_service->m_defaultDeadline);
      if (held < threshold) {
        m_targets.Release(vm);
      } else {
        m_targets.Finish(vm, TargetOutcome::Timeout, now);
      }
      return;
    }
    case AttemptFailure::ConnectFailed:
      // A deadline too short for a connection says nothing about the target.
      if (now >= aJob.m_deadline && held < kMinHealthTimeout) {
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
RequestDispatcher::Impl::OnResponse(RequestJob& aJob,
                                    HttpResponse aResponse,
                                    Actions& aActions)
{
  if (aJob.m_attempts == 1 && aResponse.m_status < kServerError) {
    m_retryBudgets[aJob.m_service->m_name].OnFirstAttemptSucceeded();
  }
  aJob.m_attempt.Fire(AttemptEvent::Respond);
  Finish(aJob, ForCaller(std::move(aResponse), aJob.m_requestId), aActions);
}

void
RequestDispatcher::Impl::OnFailure(RequestJob& aJob,
                                   const TargetResult& aResult,
                                   Actions& aActions)
{
  if (!aResult.m_mayHaveBeenSent) {
    OnNotSent(aJob, aActions);
    return;
  }
  aJob.m_lastFailure = UnknownReasonOf(aResult.m_failure);
  if (!MayRetry(aJob, aResult.m_failure)) {
    Lose(aJob,
         aJob.m_lastFailure,
         "the target did not give a complete response",
         aActions);
    return;
  }
  aJob.m_attempt.Fire(AttemptEvent::Retry);
  WaitAgain(aJob, aActions);
}

bool
RequestDispatcher::Impl::MayRetry(RequestJob& aJob, AttemptFailure aFailure)
{
  const auto reason = RetryReasonOf(aFailure);
  if (!reason || !aJob.m_idempotent || aJob.m_attempts >= kMaxAttempts ||
      m_hooks.m_now() >= aJob.m_deadline) {
    return false;
  }
  if (!m_retryBudgets[aJob.m_service->m_name].TakeRetry()) {
    return false;
  }
  CountRetry(aJob, *reason);
  return true;
}

void
RequestDispatcher::Impl::CountRetry(const RequestJob& aJob, RetryReason aReason)
{
  m_metrics.Count(
    "bramleystall_retries_total",
    { { "service", aJob.m_service->m_name },
      { "reason", std::string(NameOf(kRetryReasonNames, aReason)) } });
}

void
RequestDispatcher::Impl::OnNotSent(RequestJob& aJob, Actions& aActions)
{
  aJob.m_attempt.Fire(AttemptEvent::NotSent);
  if (m_hooks.m_now() >= aJob.m_deadline) {
    GiveUp(aJob,
           RefusalReason::DeadlinePassed,
           "no target accepted a connection in time",
           aActions);
    return;
  }
  if (aJob.m_attempts >= kMaxAttempts) {
    GiveUp(aJob,
           RefusalReason::NoCapacity,
           "no target accepted a connection",
           aActions);
    return;
  }
  // The target received nothing, so this retry is no extra load on targets and
  // needs no budget.
  CountRetry(aJob, RetryReason::ConnectFailed);
  WaitAgain(aJob, aActions);
}

void
RequestDispatcher::Impl::ReleaseSlot(RequestJob& aJob)
{
  const std::string vm = std::exchange(aJob.m_vm, "");
  if (vm.empty()) {
    return;
  }
  QueueOf(aJob).FinishWithoutSample(aJob.m_ticket);
  m_targets.Release(vm);
}

void
RequestDispatcher::Impl::WaitAgain(RequestJob& aJob, Actions& aActions)
{
  ReleaseSlot(aJob);
  if (aJob.m_attempt.Allows(AttemptEvent::Wait)) {
    aJob.m_attempt.Fire(AttemptEvent::Wait);
  }
  const ServiceSpec* const service =
    m_configuration->FindService(aJob.m_service->m_name);
  if (!service) {
    GiveUp(
      aJob, RefusalReason::ServiceRemoved, "the service was removed", aActions);
    return;
  }
  aJob.m_pool = service->m_pool;
  m_queues[aJob.m_pool].Requeue(aJob.m_ticket);
}

void
RequestDispatcher::Impl::GiveUp(RequestJob& aJob,
                                RefusalReason aReason,
                                const std::string& aDetail,
                                Actions& aActions)
{
  if (aJob.m_attempt.Allows(AttemptEvent::Refuse)) {
    Refuse(aJob, aReason, aDetail, aActions);
    return;
  }
  Lose(aJob,
       aJob.m_lastFailure,
       absl::StrCat("an attempt failed, and ", aDetail),
       aActions);
}

void
RequestDispatcher::Impl::Refuse(RequestJob& aJob,
                                RefusalReason aReason,
                                const std::string& aDetail,
                                Actions& aActions)
{
  ReleaseSlot(aJob);
  aJob.m_attempt.Fire(AttemptEvent::Refuse);
  CountRefusal(aJob.m_service->m_name, aReason);
  Finish(aJob, MakeRefusal(aReason, aDetail, aJob.m_requestId), aActions);
}

void
RequestDispatcher::Impl::Lose(RequestJob& aJob,
                              UnknownReason aReason,
                              const std::string& aDetail,
                              Actions& aActions)
{
  ReleaseSlot(aJob);
  aJob.m_attempt.Fire(AttemptEvent::Lose);
  m_metrics.Count(
    "bramleystall_unknown_outcomes_total",
    { { "service", aJob.m_service->m_name },
      { "reason", std::string(NameOf(kUnknownReasonNames, aReason)) } });
  Finish(aJob, MakeUnknown(aReason, aDetail, aJob.m_requestId), aActions);
}

void
RequestDispatcher::Impl::Finish(RequestJob& aJob,
                                HttpResponse aResponse,
                                Actions& aActions)
{
  m_metrics.Observe("bramleystall_request_seconds",
                    { { "service", aJob.m_service->m_name } },
                    m_hooks.m_now() - aJob.m_arrival);
  aActions.push_back(
    [exchange = aJob.m_exchange, response = std::move(aResponse)]() mutable {
      exchange->Respond(std::move(response));
    });
  m_jobs.erase(aJob.m_exchange->Id());
}

}
