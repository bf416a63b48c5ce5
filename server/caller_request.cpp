#include "server/caller_request.h"

#include "core/configuration.h"
#include "server/request_id.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace bramleystall {

namespace {

constexpr std::size_t kMaxRequestIdLength = 128;

CallerRequest
Refused(CallerRequest aParsed, RefusalReason aReason, std::string aDetail)
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

}

CallerRequest
ParseCallerRequest(const HttpRequest& aRequest,
                   const Configuration* aConfiguration)
{
  CallerRequest parsed;
  const std::string* const id =
    FindHeader(aRequest.m_headers, kRequestIdHeader);
  if (id) {
    parsed.m_requestId = *id;
  }
  const std::string path = aRequest.Path();
  // A target that resolves dot segments would run another path than the one
  // whose idempotency is determined here.
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
  parsed.m_isIdempotent =
    parsed.m_service->IsIdempotent(aRequest.m_method, path);
  const auto deadline = ParseDeadline(aRequest, *parsed.m_service);
  if (!deadline) {
    return Refused(parsed,
                   RefusalReason::Malformed,
                   "X-Deadline-Ms must be a positive number");
  }
  parsed.m_deadline = *deadline;
  if (parsed.m_requestId.empty()) {
    if (!parsed.m_isIdempotent) {
      return Refused(parsed,
                     RefusalReason::RequestIdRequired,
                     "a request that is not idempotent needs X-Request-Id");
    }
    parsed.m_requestId = NewRequestId();
  }
  return parsed;
}

}
