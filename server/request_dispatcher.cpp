#include "server/request_dispatcher.h"

#include "core/configuration.h"
#include "core/error.h"
#include "core/log.h"
#include "server/caller_exchange.h"
#include "server/caller_request.h"
#include "server/outcome_response.h"
#include "server/request_dispatcher_impl.h"
#include "server/request_id.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <optional>

namespace bramleystall {

namespace {

/** Largest number of requests that one pass over a queue skips because they
 * have failed at every target with a free slot. */
constexpr int kMaxSkippedRequests = 8;
constexpr absl::Duration kProbeTimeout = absl::Seconds(1);
constexpr int kContentTooLarge = 413;
constexpr int kServiceUnavailable = 503;

}

AcceptedRequest*
RequestDispatcher::Impl::FindRequest(std::uint64_t aId)
{
  const auto found = m_acceptedRequests.find(aId);
  return found == m_acceptedRequests.end() ? nullptr : found->second.get();
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
  const std::string reason = std::string(NameOf(kRefusalReasonNames, aReason));
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
    AcceptedRequest* const accepted = FindRequest(request.m_id);
    const ServiceSpec* const service =
      m_configuration->FindService(request.m_service);
    if (!accepted) {
      continue;
    }
    if (!service) {
      RefuseOrReportUnknown(*accepted,
                            RefusalReason::ServiceRemoved,
                            "the service was removed",
                            aActions);
      continue;
    }
    accepted->m_pool = service->m_pool;
    m_queues[service->m_pool].Requeue(std::move(request));
  }
  StartAllQueuedRequests(aActions);
}

void
RequestDispatcher::Impl::ApplyTargets(const std::vector<TargetInfo>& aTargets,
                                      Actions& aActions)
{
  m_targets.SetTargets(aTargets);
  StartAllQueuedRequests(aActions);
}

void
RequestDispatcher::Impl::RefuseNewRequest(CallerExchange& aExchange,
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
  CallerRequest parsed =
    ParseCallerRequest(aExchange->Request(), m_configuration.get());
  const std::string service = parsed.m_service ? parsed.m_service->m_name : "";
  if (m_isDraining) {
    parsed.m_refusal = RefusalReason::ShuttingDown;
    parsed.m_detail = "the daemon shuts down";
  }
  const absl::Time now = m_hooks.m_now();
  if (!parsed.m_refusal) {
    const std::string& pool = parsed.m_service->m_pool;
    UpdateSlots(pool);
    parsed.m_refusal =
      m_targets.TargetCount(pool) == 0
        ? RefusalReason::NoCapacity
        : m_queues[pool].Enqueue(
            service, aExchange->Id(), now, now + parsed.m_deadline);
    parsed.m_detail = "the request cannot be started in time";
  }
  if (parsed.m_refusal) {
    RefuseNewRequest(*aExchange,
                     service,
                     *parsed.m_refusal,
                     parsed.m_detail,
                     parsed.m_requestId,
                     aActions);
    return;
  }
  const std::uint64_t id = aExchange->Id();
  auto accepted = std::make_unique<AcceptedRequest>(
    AcceptedRequest{ .m_exchange = std::move(aExchange),
                     .m_configuration = m_configuration,
                     .m_service = parsed.m_service,
                     .m_requestId = std::move(parsed.m_requestId),
                     .m_isIdempotent = parsed.m_isIdempotent,
                     .m_arrival = now,
                     .m_deadline = now + parsed.m_deadline,
                     .m_attempt = RequestAttempt(m_chart),
                     .m_pool = parsed.m_service->m_pool });
  const std::string pool = accepted->m_pool;
  m_acceptedRequests.emplace(id, std::move(accepted));
  StartQueuedRequests(pool, aActions);
}

void
RequestDispatcher::Impl::StartAllQueuedRequests(Actions& aActions)
{
  for (const auto& [pool, queue] : m_queues) {
    StartQueuedRequests(pool, aActions);
  }
}

void
RequestDispatcher::Impl::StartQueuedRequests(const std::string& aPool,
                                             Actions& aActions)
{
  if (m_hooks.m_mayStart && !m_hooks.m_mayStart()) {
    return;
  }
  FairQueue& queue = m_queues[aPool];
  UpdateSlots(aPool);
  std::vector<QueuedRequest> skipped;
  while (static_cast<int>(skipped.size()) < kMaxSkippedRequests &&
         m_targets.HasFreeSlot(aPool)) {
    auto queuedRequest = queue.Take();
    if (!queuedRequest) {
      break;
    }
    AcceptedRequest* const accepted = FindRequest(queuedRequest->m_id);
    const TargetInfo* const target =
      m_targets.Reserve(aPool, accepted->m_failedVms);
    if (!target) {
      // This request has failed at every target with a free slot.
      skipped.push_back(std::move(*queuedRequest));
      continue;
    }
    StartWithSlot(*accepted, std::move(*queuedRequest), *target, aActions);
  }
  for (QueuedRequest& request : skipped) {
    queue.UndoTake(std::move(request));
  }
}

void
RequestDispatcher::Impl::StartWithSlot(AcceptedRequest& aAccepted,
                                       QueuedRequest aQueuedRequest,
                                       const TargetInfo& aTarget,
                                       Actions& aActions)
{
  aAccepted.m_queuedRequest = std::move(aQueuedRequest);
  aAccepted.m_vm = aTarget.m_vm;
  aAccepted.m_address = aTarget.m_address;
  aAccepted.m_slotReservedAt = m_hooks.m_now();
  aAccepted.m_attempt.Fire(AttemptEvent::Select);
  if (aAccepted.m_attempt.State() != AttemptState::Selected) {
    StartAttempt(aAccepted, aActions);
    return;
  }
  if (!aAccepted.m_isIdempotent) {
    StartClaim(aAccepted, aActions);
    return;
  }
  aAccepted.m_attempt.Fire(AttemptEvent::Clear);
  StartAttempt(aAccepted, aActions);
}

void
RequestDispatcher::Impl::StartClaim(AcceptedRequest& aAccepted,
                                    Actions& aActions)
{
  const std::uint64_t id = aAccepted.m_exchange->Id();
  aAccepted.m_attempt.Fire(AttemptEvent::Claim);
  m_claiming.insert(id);
  aActions.push_back(
    [this, self = weak_from_this(), id, requestId = aAccepted.m_requestId] {
      m_hooks.m_claim(requestId, [self, id](ClaimOutcome aOutcome) {
        if (const auto impl = self.lock()) {
          impl->RunLocked(
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
  AcceptedRequest* const accepted = FindRequest(aId);
  if (!accepted || m_claiming.erase(aId) == 0) {
    return;
  }
  const std::string pool = accepted->m_pool;
  HandleClaim(*accepted, aOutcome, aActions);
  StartQueuedRequests(pool, aActions);
}

void
RequestDispatcher::Impl::HandleClaim(AcceptedRequest& aAccepted,
                                     ClaimOutcome aOutcome,
                                     Actions& aActions)
{
  switch (aOutcome) {
    case ClaimOutcome::Granted:
      OnClaimGranted(aAccepted, aActions);
      return;
    case ClaimOutcome::Duplicate:
      ReportUnknown(aAccepted,
                    UnknownReason::DuplicateId,
                    "the request id was used before",
                    aActions);
      return;
    case ClaimOutcome::OwnerUnreachable:
      ReportUnknown(aAccepted,
                    UnknownReason::OwnerUnreachable,
                    "the owner of the request id did not reply",
                    aActions);
      return;
    case ClaimOutcome::TooOld:
      ReportUnknown(aAccepted,
                    UnknownReason::IdTooOld,
                    "the request id is older than the retention time",
                    aActions);
      return;
    case ClaimOutcome::FromFuture:
      Refuse(aAccepted,
             RefusalReason::RequestIdFromFuture,
             "the time of the request id is in the future",
             aActions);
      return;
    case ClaimOutcome::InvalidId:
      Refuse(aAccepted,
             RefusalReason::RequestIdInvalid,
             "the request id is not a version 7 UUID",
             aActions);
      return;
  }
}

bool
RequestDispatcher::Impl::HangUp(std::uint64_t aId, Actions& aActions)
{
  AcceptedRequest* const accepted = FindRequest(aId);
  if (!accepted) {
    return false;
  }
  if (std::exchange(accepted->m_hasHungUp, true)) {
    return true;
  }
  m_metrics.Count("bramleystall_caller_disconnects_total");
  if (accepted->m_attempt.IsSending()) {
    return true;
  }
  const std::string pool = accepted->m_pool;
  const bool notRun = accepted->m_attempt.Allows(AttemptEvent::Refuse);
  QueueOf(*accepted).Cancel(aId);
  ReleaseSlot(*accepted);
  m_claiming.erase(aId);
  accepted->m_attempt.Fire(AttemptEvent::HangUp);
  const std::string detail = "the caller closed the connection";
  Finish(
    *accepted,
    notRun
      ? MakeRefusal(
          RefusalReason::CallerDisconnected, detail, accepted->m_requestId)
      : MakeUnknown(accepted->m_lastFailure, detail, accepted->m_requestId),
    aActions);
  StartQueuedRequests(pool, aActions);
  return true;
}

void
RequestDispatcher::Impl::Tick(Actions& aActions)
{
  const absl::Time now = m_hooks.m_now();
  FinishExpiredRequests(now, aActions);
  StartProbes(now, aActions);
  StartAllQueuedRequests(aActions);
}

void
RequestDispatcher::Impl::FinishExpiredRequests(absl::Time aNow,
                                               Actions& aActions)
{
  const std::string detail = "the deadline passed before the request was sent";
  for (auto& [pool, queue] : m_queues) {
    for (const QueuedRequest& request : queue.RemoveExpired(aNow)) {
      RefuseOrReportUnknown(*m_acceptedRequests.at(request.m_id),
                            RefusalReason::DeadlinePassed,
                            detail,
                            aActions);
    }
  }
  const std::set<std::uint64_t> claiming = m_claiming;
  for (const std::uint64_t id : claiming) {
    AcceptedRequest& accepted = *m_acceptedRequests.at(id);
    if (accepted.m_deadline <= aNow) {
      m_claiming.erase(id);
      Refuse(accepted, RefusalReason::DeadlinePassed, detail, aActions);
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
    probe.m_usesFreshConnection = true;
    aActions.push_back(
      [this, self = weak_from_this(), vm = target.m_vm, probe] {
        m_hooks.m_send(probe, [self, vm](const TargetResult& aResult) {
          const auto impl = self.lock();
          if (!impl) {
            return;
          }
          const bool passed =
            aResult.m_failure == AttemptFailure::None &&
            aResult.m_response.m_status < kMinServerErrorStatus;
          const std::lock_guard lock(impl->m_mutex);
          impl->m_targets.OnProbeResult(vm, passed, impl->m_hooks.m_now());
        });
      });
  }
}

void
RequestDispatcher::Impl::AbortAll(Actions& aActions)
{
  m_isDraining = true;
  m_claiming.clear();
  std::vector<AcceptedRequest*> requests;
  for (const auto& [id, accepted] : m_acceptedRequests) {
    requests.push_back(accepted.get());
  }
  for (AcceptedRequest* const accepted : requests) {
    QueueOf(*accepted).Cancel(accepted->m_exchange->Id());
    if (accepted->m_attempt.IsSending()) {
      ReportUnknown(
        *accepted, UnknownReason::Stopped, "the daemon stopped", aActions);
    } else {
      RefuseOrReportUnknown(
        *accepted, RefusalReason::ShuttingDown, "the daemon stopped", aActions);
    }
  }
}

std::vector<SlotUsage>
RequestDispatcher::Impl::SlotUsages() const
{
  std::vector<SlotUsage> usages;
  for (const TargetStatus& target : m_targets.Status()) {
    const auto queue = m_queues.find(target.m_pool);
    const bool waits = target.m_isEligible && queue != m_queues.end();
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
    ServiceStatus serviceStatus;
    serviceStatus.m_service = service.m_name;
    const FairQueue& queue = m_queues.at(service.m_pool);
    serviceStatus.m_queued = queue.Queued(service.m_name);
    serviceStatus.m_inFlight = queue.InFlight(service.m_name);
    const auto counts = m_counts.find(service.m_name);
    if (counts != m_counts.end()) {
      serviceStatus.m_started = counts->second.m_started;
      serviceStatus.m_refused = counts->second.m_refused;
    }
    status.m_services.push_back(std::move(serviceStatus));
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
  m_impl->RunLocked([&](Impl::Actions& aActions) {
    m_impl->ApplyConfiguration(std::move(aConfiguration), aActions);
  });
}

void
RequestDispatcher::ApplyTargets(const std::vector<TargetInfo>& aTargets)
{
  m_impl->RunLocked(
    [&](Impl::Actions& aActions) { m_impl->ApplyTargets(aTargets, aActions); });
}

int
RequestDispatcher::SetSlotAllowance(const std::string& aVm, int aAllowance)
{
  return m_impl->RunLocked([&](Impl::Actions& aActions) {
    const int inUse = m_impl->m_targets.SetAllowance(aVm, aAllowance);
    m_impl->StartAllQueuedRequests(aActions);
    return inUse;
  });
}

void
RequestDispatcher::OnRequest(std::shared_ptr<CallerExchange> aExchange)
{
  m_impl->RunLocked([&](Impl::Actions& aActions) {
    m_impl->Accept(std::move(aExchange), aActions);
  });
}

bool
RequestDispatcher::OnHangUp(std::uint64_t aExchangeId)
{
  return m_impl->RunLocked([&](Impl::Actions& aActions) {
    return m_impl->HangUp(aExchangeId, aActions);
  });
}

HttpResponse
RequestDispatcher::MakeRejection(const HttpRequest& aRequest,
                                 int aStatus,
                                 const std::string& aDetail)
{
  const RefusalReason reason =
    aStatus == kContentTooLarge      ? RefusalReason::TooLarge
    : aStatus == kServiceUnavailable ? RefusalReason::NoRoom
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
  m_impl->RunLocked([&](Impl::Actions& aActions) { m_impl->Tick(aActions); });
}

void
RequestDispatcher::StartDraining()
{
  const std::lock_guard lock(m_impl->m_mutex);
  m_impl->m_isDraining = true;
}

void
RequestDispatcher::AbortAll()
{
  m_impl->RunLocked(
    [&](Impl::Actions& aActions) { m_impl->AbortAll(aActions); });
}

int
RequestDispatcher::Unfinished() const
{
  const std::lock_guard lock(m_impl->m_mutex);
  return static_cast<int>(m_impl->m_acceptedRequests.size());
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
