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

/** Request of a caller that was checked, or the reason against it. */
struct CallerRequest
{
  std::optional<RefusalReason> m_refusal;
  std::string m_detail;
  /** Service of the configuration that the request was checked against. */
  const ServiceSpec* m_service = nullptr;
  std::string m_requestId;
  bool m_isIdempotent = false;
  absl::Duration m_deadline;
};

/** Checks a request against a configuration; null means that there is none. */
CallerRequest
ParseCallerRequest(const HttpRequest& aRequest,
                   const Configuration* aConfiguration);

}
