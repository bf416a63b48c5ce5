#include "server/request_dispatcher.h"

#include "core/configuration.h"
#include "core/error.h"
#include "core/log.h"
#include "core/metrics.h"
#include "core/state_chart.h"
#include "dispatch/fair_queue.h"
#include "dispatch/request_attempt.h"
#include "dispatch/retry_budget.h"
#include "dispatch/retry_reason.h"
#include "dispatch/target_set.h"
#include "server/caller_exchange.h"
#include "server/outcome_response.h"
#include "server/request_id.h"
#include "server/request_job.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>

namespace bramleystall {

namespace {

/** Attempts of one request, the first included. */
constexpr int kMaxAttempts = 4;
/** Requests that wait for another target than the free ones, at most this many
 * are passed over in one decision. */
constexpr int kMaxPassedOver = 8;
/** A first attempt of a retryable request ends after this many mean run times
 * or half of the remaining time, whichever is later. */
constexpr double kAttemptRunTimes = 3;
/** Time-outs of requests with shorter deadlines say nothing about a target. */
constexpr absl::Duration kMinHealthTimeout = absl::Seconds(1);
constexpr absl::Duration kProbeTimeout = absl::Seconds(1);
constexpr std::size_t kMaxRequestIdLength = 128;
constexpr int kServerError = 500;
constexpr int kContentTooLarge = 413;

constexpr const char* kRequestIdHeader = "X-Request-Id";
constexpr const char* kDeadlineHeader = "X-Deadline-Ms";

std::string
Text(std::string_view aText)
{
  return std::string(aText);
}

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

/** Headers that the caller's end sees or sets must not come from a target. */
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

/** Request of a caller that was checked, or the reason against it. */
struct ParsedRequest
{
  std::optional<RefusalReason> m_refusal;
  std::string m_detail;
  const ServiceSpec* m_service = nullptr;
  std::string m_requestId;
  bool m_idempotent = false;
  absl::Duration m_deadline;
};

ParsedRequest
Refused(ParsedRequest aParsed, RefusalReason aReason, std::string aDetail)
{
  aParsed.m_refusal = aReason;
  aParsed.m_detail = std::move(aDetail);
  return aParsed;
}

std::optional<absl::Duration>
ParseDeadline(const HttpRequest& aRequest, const ServiceSpec& aService)
{
  const std::string* const text =
    FindHeader(aRequest.m_headers, kDeadlineHeader);
  if (!text) {
    return aService.m_defaultDeadline;
  }
  std::int64_t millis = 0;
  if (!absl::SimpleAtoi(*text, &millis) || millis <= 0) {
    return std::nullopt;
  }
  return std::min(absl::Milliseconds(millis), aService.m_maxDeadline);
}

ParsedRequest
ParseRequest(const HttpRequest& aRequest, const Configuration* aConfiguration)
{
  ParsedRequest parsed;
  const std::string* const id =
    FindHeader(aRequest.m_headers, kRequestIdHeader);
  if (id) {
    parsed.m_requestId = *id;
  }
  const std::string path = aRequest.Path();
  // A target that resolves dot segments would run another path than the one
  // that was classified here as idempotent.
  if (HasDotSegment(path)) {
    return Refused(
      parsed, RefusalReason::Malformed, "the path has a dot segment");
  }
  if (CountHeader(aRequest.m_headers, kRequestIdHeader) > 1 ||
      parsed.m_requestId.size() > kMaxRequestIdLength) {
    return Refused(
      parsed, RefusalReason::Malformed, "X-Request-Id must be one short text");
  }
  parsed.m_service =
    aConfiguration ? aConfiguration->Route(aRequest.m_host, path) : nullptr;
  if (!parsed.m_service) {
    return Refused(parsed,
                   RefusalReason::UnknownService,
                   "no service has this host or path");
  }
  parsed.m_idempotent = parsed.m_service->IsIdempotent(aRequest.m_method, path);
  const auto deadline = ParseDeadline(aRequest, *parsed.m_service);
  if (!deadline) {
    return Refused(parsed,
                   RefusalReason::Malformed,
                   "X-Deadline-Ms must be a positive number");
  }
  parsed.m_deadline = *deadline;
  if (parsed.m_requestId.empty()) {
    if (!parsed.m_idempotent) {
      return Refused(parsed,
                     RefusalReason::RequestIdRequired,
                     "a request that is not idempotent needs X-Request-Id");
    }
    parsed.m_requestId = NewRequestId();
  }
  return parsed;
}

}

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

  /** Effects that run after the lock is released. */
  using Actions = std::vector<std::function<void()>>;

  /** Runs a function under the lock, then the effects that it asked for. */
  template<typename Function>
  auto Locked(Function aFunction)
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
  void Pump(const std::string& aPool, Actions& aActions);
  void PumpAll(Actions& aActions);
  void CountRefusal(const std::string& aService, RefusalReason aReason);

  std::vector<SlotUsage> SlotUsages() const;
  RequestPathStatus Status() const;

  mutable std::mutex m_mutex;
  RequestDispatcherHooks m_hooks;
  const StateChart m_chart;
  Metrics& m_metrics;
  TargetSet m_targets;
  bool m_draining = false;
  std::unordered_map<std::uint64_t, std::unique_ptr<RequestJob>> m_jobs;

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

  RequestJob* FindJob(std::uint64_t aId);
  FairQueue& QueueOf(const RequestJob& aJob) { return m_queues[aJob.m_pool]; }
  void UpdateSlots(const std::string& aPool);
  void RefuseAtOnce(CallerExchange& aExchange,
                    const std::string& aService,
                    RefusalReason aReason,
                    const std::string& aDetail,
                    const std::string& aRequestId,
                    Actions& aActions);
  void StartWithSlot(RequestJob& aJob,
                     QueuedRequest aTicket,
                     const TargetInfo& aTarget,
                     Actions& aActions);
  void StartClaim(RequestJob& aJob, Actions& aActions);
  void OnClaim(std::uint64_t aId, ClaimOutcome aOutcome, Actions& aActions);
  void HandleClaim(RequestJob& aJob, ClaimOutcome aOutcome, Actions& aActions);
  void OnClaimGranted(RequestJob& aJob, Actions& aActions);
  void StartAttempt(RequestJob& aJob, Actions& aActions);
  absl::Duration AttemptTimeout(const RequestJob& aJob, absl::Time aNow);
  void OnResult(std::uint64_t aId, TargetResult aResult, Actions& aActions);
  void OnResponse(RequestJob& aJob, HttpResponse aResponse, Actions& aActions);
  void OnFailure(RequestJob& aJob,
                 const TargetResult& aResult,
                 Actions& aActions);
  void OnNotSent(RequestJob& aJob, Actions& aActions);
  void CountRetry(const RequestJob& aJob, RetryReason aReason);
  bool MayRetry(RequestJob& aJob, AttemptFailure aFailure);
  void FinishSlot(RequestJob& aJob, const TargetResult& aResult);
  void ReleaseSlot(RequestJob& aJob);
  void WaitAgain(RequestJob& aJob, Actions& aActions);
  void GiveUp(RequestJob& aJob,
              RefusalReason aReason,
              const std::string& aDetail,
              Actions& aActions);
  void Refuse(RequestJob& aJob,
              RefusalReason aReason,
              const std::string& aDetail,
              Actions& aActions);
  void Lose(RequestJob& aJob,
            UnknownReason aReason,
            const std::string& aDetail,
            Actions& aActions);
  void Finish(RequestJob& aJob, HttpResponse aResponse, Actions& aActions);
  void Expire(absl::Time aNow, Actions& aActions);
  void StartProbes(absl::Time aNow, Actions& aActions);

  std::shared_ptr<const Configuration> m_configuration;
  std::map<std::string, FairQueue> m_queues;
  std::map<std::string, RetryBudget> m_retryBudgets;
  std::map<std::string, ServiceCounts> m_counts;
  std::set<std::uint64_t> m_claiming;
};

RequestJob*
RequestDispatcher::Impl::FindJob(std::uint64_t aId)
{
  const auto found = m_jobs.find(aId);
  return found == m_jobs.end() ? nullptr : found->second.get();
}

void
RequestDispatcher::Impl::UpdateSlots(const std::string& aPool)
{
  m_queues[aPool].SetSlots(m_targets.Slots(aPool));
}

void
RequestDispatcher::Impl::CountRefusal(const std::string& aService,
                                      RefusalReason aReason)
{
  const std::string reason = Text(NameOf(kRefusalReasonNames, aReason));
  ++m_counts[aService].m_refused[reason];
  m_metrics.Count("bramleystall_refusals_total",
                  { { "service", aService }, { "reason", reason } });
}

void
RequestDispatcher::Impl::ApplyConfiguration(
  std::shared_ptr<const Configuration> aConfiguration,
  Actions& aActions)
{
  m_configuration = std::move(aConfiguration);
  std::map<std::string, std::vector<ServiceSpec>> servicesByPool;
  for (const ServiceSpec& service : m_configuration->m_services) {
    servicesByPool[service.m_pool].push_back(service);
  }
  for (const auto& [pool, queue] : m_queues) {
    servicesByPool.try_emplace(pool);
  }
  std::vector<QueuedRequest> displaced;
  for (const auto& [pool, services] : servicesByPool) {
    auto removed =
      m_queues[pool].Configure(services, m_configuration->m_fleet.m_teamQuotas);
    std::ranges::move(removed, std::back_inserter(displaced));
  }
  for (QueuedRequest& request : displaced) {
    RequestJob* const job = FindJob(request.m_id);
    const ServiceSpec* const service =
      m_configuration->FindService(request.m_service);
    if (!job) {
      continue;
    }
    if (!service) {
      GiveUp(*job,
             RefusalReason::ServiceRemoved,
             "the service was removed",
             aActions);
      continue;
    }
    job->m_pool = service->m_pool;
    m_queues[service->m_pool].Requeue(std::move(request));
  }
  PumpAll(aActions);
}

void
RequestDispatcher::Impl::ApplyTargets(const std::vector<TargetInfo>& aTargets,
                                      Actions& aActions)
{
  m_targets.Apply(aTargets);
  PumpAll(aActions);
}

void
RequestDispatcher::Impl::RefuseAtOnce(CallerExchange& aExchange,
                                      const std::string& aService,
                                      RefusalReason aReason,
                                      const std::string& aDetail,
                                      const std::string& aRequestId,
                                      Actions& aActions)
{
  CountRefusal(aService, aReason);
  aActions.push_back([exchange = aExchange.shared_from_this(),
                      response = MakeRefusal(aReason, aDetail, aRequestId)] {
    exchange->Respond(response);
  });
}

void
RequestDispatcher::Impl::Accept(std::shared_ptr<CallerExchange> aExchange,
                                Actions& aActions)
{
  ParsedRequest parsed =
    ParseRequest(aExchange->Request(), m_configuration.get());
  const std::string service = parsed.m_service ? parsed.m_service->m_name : "";
  if (m_draining) {
    parsed = Refused(
      std::move(parsed), RefusalReason::ShuttingDown, "the daemon shuts down");
  }
  const absl::Time now = m_hooks.m_now();
  if (!parsed.m_refusal) {
    const std::string& pool = parsed.m_service->m_pool;
    UpdateSlots(pool);
    parsed.m_refusal =
      m_targets.TargetCount(pool) == 0
        ? RefusalReason::NoCapacity
        : m_queues[pool].Offer(
            service, aExchange->Id(), now, now + parsed.m_deadline);
    parsed.m_detail = "the request cannot be started in time";
  }
  if (parsed.m_refusal) {
    RefuseAtOnce(*aExchange,
                 service,
                 *parsed.m_refusal,
                 parsed.m_detail,
                 parsed.m_requestId,
                 aActions);
    return;
  }
  const std::uint64_t id = aExchange->Id();
  auto job = std::make_unique<RequestJob>(
    RequestJob{ .m_exchange = std::move(aExchange),
                .m_configuration = m_configuration,
                .m_service = parsed.m_service,
                .m_requestId = std::move(parsed.m_requestId),
                .m_idempotent = parsed.m_idempotent,
                .m_arrival = now,
                .m_deadline = now + parsed.m_deadline,
                .m_attempt = RequestAttempt(m_chart),
                .m_pool = parsed.m_service->m_pool });
  const std::string pool = job->m_pool;
  m_jobs.emplace(id, std::move(job));
  Pump(pool, aActions);
}

void
RequestDispatcher::Impl::PumpAll(Actions& aActions)
{
  for (const auto& [pool, queue] : m_queues) {
    Pump(pool, aActions);
  }
}

void
RequestDispatcher::Impl::Pump(const std::string& aPool, Actions& aActions)
{
  if (m_hooks.m_mayStart && !m_hooks.m_mayStart()) {
    return;
  }
  FairQueue& queue = m_queues[aPool];
  UpdateSlots(aPool);
  std::vector<QueuedRequest> passedOver;
  while (static_cast<int>(passedOver.size()) < kMaxPassedOver &&
         m_targets.HasFreeSlot(aPool)) {
    auto ticket = queue.Take();
    if (!ticket) {
      break;
    }
    RequestJob* const job = FindJob(ticket->m_id);
    const TargetInfo* const target = m_targets.Reserve(aPool, job->m_tried);
    if (!target) {
      // The free targets are ones at which this request failed before.
      passedOver.push_back(std::move(*ticket));
      continue;
    }
    StartWithSlot(*job, std::move(*ticket), *target, aActions);
  }
  for (QueuedRequest& request : passedOver) {
    queue.Return(std::move(request));
  }
}

void
RequestDispatcher::Impl::StartWithSlot(RequestJob& aJob,
                                       QueuedRequest aTicket,
                                       const TargetInfo& aTarget,
                                       Actions& aActions)
{
  aJob.m_ticket = std::move(aTicket);
  aJob.m_vm = aTarget.m_vm;
  aJob.m_address = aTarget.m_address;
  aJob.m_slotSince = m_hooks.m_now();
  aJob.m_attempt.Fire(AttemptEvent::Select);
  if (aJob.m_attempt.State() != AttemptState::Selected) {
    StartAttempt(aJob, aActions);
    return;
  }
  if (!aJob.m_idempotent) {
    StartClaim(aJob, aActions);
    return;
  }
  aJob.m_attempt.Fire(AttemptEvent::Clear);
  StartAttempt(aJob, aActions);
}

void
RequestDispatcher::Impl::StartClaim(RequestJob& aJob, Actions& aActions)
{
  const std::uint64_t id = aJob.m_exchange->Id();
  aJob.m_attempt.Fire(AttemptEvent::Claim);
  m_claiming.insert(id);
  aActions.push_back(
    [this, self = weak_from_this(), id, requestId = aJob.m_requestId] {
      m_hooks.m_claim(requestId, [self, id](ClaimOutcome aOutcome) {
        if (const auto impl = self.lock()) {
          impl->Locked(
            [&](Actions& aNext) { impl->OnClaim(id, aOutcome, aNext); });
        }
      });
    });
}

void
RequestDispatcher::Impl::OnClaim(std::uint64_t aId,
                                 ClaimOutcome aOutcome,
                                 Actions& aActions)
{
  RequestJob* const job = FindJob(aId);
  if (!job || m_claiming.erase(aId) == 0) {
    return;
  }
  const std::string pool = job->m_pool;
  HandleClaim(*job, aOutcome, aActions);
  Pump(pool, aActions);
}

void
RequestDispatcher::Impl::HandleClaim(RequestJob& aJob,
                                     ClaimOutcome aOutcome,
                                     Actions& aActions)
{
  switch (aOutcome) {
    case ClaimOutcome::Granted:
      OnClaimGranted(aJob, aActions);
      return;
    case ClaimOutcome::Duplicate:
      Lose(aJob,
           UnknownReason::DuplicateId,
           "the request id was used before",
           aActions);
      return;
    case ClaimOutcome::OwnerUnreachable:
      Lose(aJob,
           UnknownReason::OwnerUnreachable,
           "the owner of the request id did not reply",
           aActions);
      return;
    case ClaimOutcome::TooOld:
      Lose(aJob,
           UnknownReason::IdTooOld,
           "the request id is older than the retention time",
           aActions);
      return;
    case ClaimOutcome::FromFuture:
      Refuse(aJob,
             RefusalReason::RequestIdFromFuture,
             "the time of the request id is in the future",
             aActions);
      return;
    case ClaimOutcome::InvalidId:
      Refuse(aJob,
             RefusalReason::RequestIdInvalid,
             "the request id is not a version 7 UUID",
             aActions);
      return;
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
    QueueOf(aJob).Abandon(aJob.m_ticket);
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
  m_metrics.Count("bramleystall_retries_total",
                  { { "service", aJob.m_service->m_name },
                    { "reason", Text(NameOf(kRetryReasonNames, aReason)) } });
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
  QueueOf(aJob).Abandon(aJob.m_ticket);
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
  m_metrics.Count("bramleystall_unknown_outcomes_total",
                  { { "service", aJob.m_service->m_name },
                    { "reason", Text(NameOf(kUnknownReasonNames, aReason)) } });
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

bool
RequestDispatcher::Impl::HangUp(std::uint64_t aId, Actions& aActions)
{
  RequestJob* const job = FindJob(aId);
  if (!job) {
    return false;
  }
  if (std::exchange(job->m_hungUp, true)) {
    return true;
  }
  m_metrics.Count("bramleystall_caller_disconnects_total");
  if (job->m_attempt.IsSending()) {
    return true;
  }
  const std::string pool = job->m_pool;
  const bool notRun = job->m_attempt.Allows(AttemptEvent::Refuse);
  QueueOf(*job).Cancel(aId);
  ReleaseSlot(*job);
  m_claiming.erase(aId);
  job->m_attempt.Fire(AttemptEvent::HangUp);
  const std::string detail = "the caller closed the connection";
  Finish(*job,
         notRun ? MakeRefusal(
                    RefusalReason::CallerDisconnected, detail, job->m_requestId)
                : MakeUnknown(job->m_lastFailure, detail, job->m_requestId),
         aActions);
  Pump(pool, aActions);
  return true;
}

void
RequestDispatcher::Impl::Tick(Actions& aActions)
{
  const absl::Time now = m_hooks.m_now();
  Expire(now, aActions);
  StartProbes(now, aActions);
  PumpAll(aActions);
}

void
RequestDispatcher::Impl::Expire(absl::Time aNow, Actions& aActions)
{
  const std::string detail = "the deadline passed before the request was sent";
  for (auto& [pool, queue] : m_queues) {
    for (const QueuedRequest& request : queue.TakeExpired(aNow)) {
      GiveUp(*m_jobs.at(request.m_id),
             RefusalReason::DeadlinePassed,
             detail,
             aActions);
    }
  }
  const std::set<std::uint64_t> claiming = m_claiming;
  for (const std::uint64_t id : claiming) {
    RequestJob& job = *m_jobs.at(id);
    if (job.m_deadline <= aNow) {
      m_claiming.erase(id);
      Refuse(job, RefusalReason::DeadlinePassed, detail, aActions);
    }
  }
}

void
RequestDispatcher::Impl::StartProbes(absl::Time aNow, Actions& aActions)
{
  for (const TargetInfo& target : m_targets.StartProbes(aNow)) {
    TargetRequest probe;
    probe.m_address = target.m_address;
    probe.m_method = "GET";
    probe.m_target = "/healthz";
    probe.m_timeout = kProbeTimeout;
    probe.m_freshConnection = true;
    aActions.push_back(
      [this, self = weak_from_this(), vm = target.m_vm, probe] {
        m_hooks.m_send(probe, [self, vm](const TargetResult& aResult) {
          const auto impl = self.lock();
          if (!impl) {
            return;
          }
          const bool passed = aResult.m_failure == AttemptFailure::None &&
                              aResult.m_response.m_status < kServerError;
          const std::lock_guard lock(impl->m_mutex);
          impl->m_targets.OnProbe(vm, passed, impl->m_hooks.m_now());
        });
      });
  }
}

void
RequestDispatcher::Impl::AbortAll(Actions& aActions)
{
  m_draining = true;
  m_claiming.clear();
  std::vector<RequestJob*> jobs;
  for (const auto& [id, job] : m_jobs) {
    jobs.push_back(job.get());
  }
  for (RequestJob* const job : jobs) {
    QueueOf(*job).Cancel(job->m_exchange->Id());
    if (job->m_attempt.IsSending()) {
      Lose(*job, UnknownReason::Stopped, "the daemon stopped", aActions);
    } else {
      GiveUp(*job, RefusalReason::ShuttingDown, "the daemon stopped", aActions);
    }
  }
}

std::vector<SlotUsage>
RequestDispatcher::Impl::SlotUsages() const
{
  std::vector<SlotUsage> usages;
  for (const TargetStatus& target : m_targets.Status()) {
    const auto queue = m_queues.find(target.m_pool);
    const bool waits = target.m_eligible && queue != m_queues.end();
    usages.push_back({ target.m_vm,
                       target.m_inFlight,
                       target.m_allowance,
                       waits ? queue->second.Queued() : 0 });
  }
  return usages;
}

RequestPathStatus
RequestDispatcher::Impl::Status() const
{
  RequestPathStatus status;
  status.m_targets = m_targets.Status();
  if (!m_configuration) {
    return status;
  }
  for (const ServiceSpec& service : m_configuration->m_services) {
    ServiceStatus one;
    one.m_service = service.m_name;
    const FairQueue& queue = m_queues.at(service.m_pool);
    one.m_queued = queue.Queued(service.m_name);
    one.m_inFlight = queue.InFlight(service.m_name);
    const auto counts = m_counts.find(service.m_name);
    if (counts != m_counts.end()) {
      one.m_started = counts->second.m_started;
      one.m_refused = counts->second.m_refused;
    }
    status.m_services.push_back(std::move(one));
  }
  return status;
}

RequestDispatcher::RequestDispatcher(RequestDispatcherHooks aHooks,
                                     StateChart aChart,
                                     Metrics& aMetrics)
  : m_impl(
      std::make_shared<Impl>(std::move(aHooks), std::move(aChart), aMetrics))
{
}

RequestDispatcher::~RequestDispatcher() = default;

void
RequestDispatcher::ApplyConfiguration(
  std::shared_ptr<const Configuration> aConfiguration)
{
  m_impl->Locked([&](Impl::Actions& aActions) {
    m_impl->ApplyConfiguration(std::move(aConfiguration), aActions);
  });
}

void
RequestDispatcher::ApplyTargets(const std::vector<TargetInfo>& aTargets)
{
  m_impl->Locked(
    [&](Impl::Actions& aActions) { m_impl->ApplyTargets(aTargets, aActions); });
}

int
RequestDispatcher::SetSlotAllowance(const std::string& aVm, int aAllowance)
{
  return m_impl->Locked([&](Impl::Actions& aActions) {
    const int inUse = m_impl->m_targets.SetAllowance(aVm, aAllowance);
    m_impl->PumpAll(aActions);
    return inUse;
  });
}

void
RequestDispatcher::OnRequest(std::shared_ptr<CallerExchange> aExchange)
{
  m_impl->Locked([&](Impl::Actions& aActions) {
    m_impl->Accept(std::move(aExchange), aActions);
  });
}

bool
RequestDispatcher::OnHangUp(std::uint64_t aExchangeId)
{
  return m_impl->Locked([&](Impl::Actions& aActions) {
    return m_impl->HangUp(aExchangeId, aActions);
  });
}

HttpResponse
RequestDispatcher::MakeRejection(const HttpRequest& aRequest,
                                 int aStatus,
                                 const std::string& aDetail)
{
  const RefusalReason reason = aStatus == kContentTooLarge
                                 ? RefusalReason::TooLarge
                                 : RefusalReason::Malformed;
  const std::string* const id =
    FindHeader(aRequest.m_headers, kRequestIdHeader);
  const std::lock_guard lock(m_impl->m_mutex);
  m_impl->CountRefusal("", reason);
  return MakeRefusal(reason, aDetail, id ? *id : "");
}

void
RequestDispatcher::Tick()
{
  m_impl->Locked([&](Impl::Actions& aActions) { m_impl->Tick(aActions); });
}

void
RequestDispatcher::StartDraining()
{
  const std::lock_guard lock(m_impl->m_mutex);
  m_impl->m_draining = true;
}

void
RequestDispatcher::AbortAll()
{
  m_impl->Locked([&](Impl::Actions& aActions) { m_impl->AbortAll(aActions); });
}

int
RequestDispatcher::Unfinished() const
{
  const std::lock_guard lock(m_impl->m_mutex);
  return static_cast<int>(m_impl->m_jobs.size());
}

std::vector<SlotUsage>
RequestDispatcher::SlotUsages() const
{
  const std::lock_guard lock(m_impl->m_mutex);
  return m_impl->SlotUsages();
}

std::map<std::string, int>
RequestDispatcher::InFlightByVm() const
{
  const std::lock_guard lock(m_impl->m_mutex);
  return m_impl->m_targets.InFlightByVm();
}

RequestPathStatus
RequestDispatcher::Status() const
{
  const std::lock_guard lock(m_impl->m_mutex);
  return m_impl->Status();
}

}
