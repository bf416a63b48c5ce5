#include "server/outcome_response.h"

#include <nlohmann/json.hpp>

#include <string_view>

namespace bramleystall {

namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kContentTooLarge = 413;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;

int
StatusOf(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::Malformed:
    case RefusalReason::RequestIdRequired:
    case RefusalReason::RequestIdInvalid:
    case RefusalReason::RequestIdFromFuture:
      return kBadRequest;
    case RefusalReason::UnknownService:
      return kNotFound;
    case RefusalReason::TooLarge:
      return kContentTooLarge;
    case RefusalReason::QueueFull:
    case RefusalReason::WaitExceedsDeadline:
    case RefusalReason::DeadlinePassed:
    case RefusalReason::NoCapacity:
    case RefusalReason::ServiceRemoved:
    case RefusalReason::CallerDisconnected:
    case RefusalReason::ShuttingDown:
    case RefusalReason::NoRoom:
      return kServiceUnavailable;
  }
  return kServiceUnavailable;
}

HttpResponse
MakeResponse(int aStatus,
             std::string_view aOutcome,
             std::string_view aReason,
             const std::string& aDetail,
             const std::string& aRequestId)
{
  const nlohmann::json body = { { "outcome", aOutcome },
                                { "reason", aReason },
                                { "detail", aDetail },
                                { "request_id", aRequestId } };
  HttpResponse response;
  response.m_status = aStatus;
  response.m_headers = {
    { "Content-Type", "application/json" },
    { "X-Bramleystall-Outcome", std::string(aOutcome) },
    { "X-Bramleystall-Reason", std::string(aReason) },
  };
  if (!aRequestId.empty()) {
    response.m_headers.emplace_back("X-Request-Id", aRequestId);
  }
  // A request id may contain bytes that are not valid UTF-8; they are replaced.
  response.m_body =
    body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

}

HttpResponse
MakeRefusal(RefusalReason aReason,
            const std::string& aDetail,
            const std::string& aRequestId)
{
  HttpResponse response = MakeResponse(StatusOf(aReason),
                                       "refused-not-run",
                                       NameOf(kRefusalReasonNames, aReason),
                                       aDetail,
                                       aRequestId);
  if (aReason == RefusalReason::NoRoom) {
    response.m_headers.emplace_back("Retry-After", "1");
  }
  return response;
}

HttpResponse
MakeUnknown(UnknownReason aReason,
            const std::string& aDetail,
            const std::string& aRequestId)
{
  return MakeResponse(kGatewayTimeout,
                      "outcome-unknown",
                      NameOf(kUnknownReasonNames, aReason),
                      aDetail,
                      aRequestId);
}

}
