#include "cli/order_sender.h"

#include "cli/admin_client.h"
#include "consul/order_writer.h"
#include "core/clock.h"
#include "core/error.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <nlohmann/json.hpp>

#include <optional>

namespace bramleystall {

namespace {

/**
 * Error that every other daemon would return as well; nothing when the order
 * may be sent to the next daemon.
 */
std::optional<ErrorCode>
PermanentError(const DaemonResponse& aResponse)
{
  switch (aResponse.m_status) {
    case 400:
    case 413:
      return ErrorCode::InvalidInput;
    case 404:
      return ErrorCode::NotFound;
    case 409:
      return ErrorCode::Conflict;
    default:
      return std::nullopt;
  }
}

/** Whether the order may have been written despite the failed response. */
bool
MayBeWritten(const DaemonResponse& aResponse)
{
  // Status 503 states that nothing was written; without a status, the response
  // was lost.
  return aResponse.m_mayHaveBeenSent && aResponse.m_status != 503;
}

ExitCode
ReportAccepted(CommandContext& aContext,
               const Order& aOrder,
               const std::string& aAddress)
{
  const bool isWave = aOrder.m_kind == OrderKind::Wave;
  aContext.Print({ { "accepted", true },
                   { "id", aOrder.m_id },
                   { "kind", NameOf(kOrderKindNames, aOrder.m_kind) },
                   { "address", aAddress } },
                 absl::StrCat("accepted: order ",
                              aOrder.m_id,
                              isWave
                                ? absl::StrCat("; follow it with `bramleystall "
                                               "explain wave ",
                                               aOrder.m_id,
                                               "`")
                                : "; follow it with `bramleystall status`",
                              "\n"));
  return ExitCode::Success;
}

}

ExitCode
SendOrder(CommandContext& aContext, Order aOrder)
{
  aOrder.m_id = NewOrderId();
  aOrder.m_operator = aContext.Settings().m_operator;
  aOrder.m_createdMillis = ToMillis(aContext.Environment().m_hooks.m_now());
  CheckOrder(aOrder);
  ClientRequest request;
  request.m_method = "POST";
  request.m_url = "/v1/orders";
  request.m_body = SerializeOrder(aOrder);
  std::vector<std::string> errors;
  bool mayBeWritten = false;
  for (const std::string& address : aContext.Settings().m_adminAddresses) {
    const DaemonResponse response =
      SendAdminRequest(aContext, address, request);
    if (response.IsSuccess()) {
      return ReportAccepted(aContext, aOrder, address);
    }
    if (const auto code = PermanentError(response)) {
      throw Error(*code, absl::StrCat(address, ": ", response.m_errorMessage));
    }
    mayBeWritten = mayBeWritten || MayBeWritten(response);
    errors.push_back(absl::StrCat(address, ": ", response.m_errorMessage));
  }
  const std::string reasons = absl::StrJoin(errors, "\n");
  if (mayBeWritten) {
    throw Error(ErrorCode::OutcomeUnknown,
                absl::StrCat("order ",
                             aOrder.m_id,
                             " may be accepted; look for it in `bramleystall "
                             "status`\n",
                             reasons));
  }
  throw Error(ErrorCode::Unavailable,
              absl::StrCat("order not accepted\n", reasons));
}

}
