#pragma once

#include "dispatch/refusal_reason.h"
#include "server/http_message.h"

#include <absl/time/time.h>

#include <optional>
#include <string>

namespace bramleystall {

struct Configuration;
struct ServiceSpec;

inline constexpr const char* kRequestIdHeader = "X-Request-Id";
inline constexpr const char* kDeadlineHeader = "X-Deadline-Ms";

/** Properties of a validated request, or the reason for its refusal. */
struct CallerRequest
{
  std::optional<RefusalReason> m_refusal;
  std::string m_detail;
  /** Points into the configuration that the request was checked against; null
   * when no service matches. */
  const ServiceSpec* m_service = nullptr;
  std::string m_requestId;
  bool m_isIdempotent = false;
  absl::Duration m_deadline;
};

/** Validates a request and finds its service. Without a configuration (null)
 * no service matches. */
CallerRequest
ParseCallerRequest(const HttpRequest& aRequest,
                   const Configuration* aConfiguration);

}
