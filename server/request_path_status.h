#pragma once

#include "dispatch/target_set.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bramleystall {

/** Requests of one service in this daemon. */
struct ServiceStatus
{
  std::string m_service;
  int m_queued = 0;
  int m_inFlight = 0;
  /** Requests whose first attempt was started since the start of the daemon. */
  std::uint64_t m_started = 0;
  /** Refused requests since the start of the daemon, by name of the
   * RefusalReason. */
  std::map<std::string, std::uint64_t> m_refused;
};

/** Status of the request path for the admin interface. */
struct RequestPathStatus
{
  std::vector<ServiceStatus> m_services;
  std::vector<TargetStatus> m_targets;
};

}
