#pragma once

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace bramleystall {

/** Requests that the caller sends to one service. */
struct PlannedService
{
  std::string m_name;
  /** Host header; empty if the path alone selects the service. */
  std::string m_host;
  std::string m_method = "GET";
  std::string m_path = "/";
  /** Mean number of requests per second. */
  double m_rate = 1;
  /** Run time at the target in milliseconds; if negative, the target's own. */
  int m_workMs = -1;
  absl::Duration m_deadline = absl::Seconds(10);
  /** Whether a request may run more than once. */
  bool m_isIdempotent = false;
  /** Bytes of the request body; GET and HEAD have none. */
  int m_bodyBytes = 64;
  /** Requests are sent between these times, in seconds from the start. */
  double m_startSeconds = 0;
  double m_endSeconds = 1e9;
};

/** Requests to send, their recipients, and the targets with the records. */
struct Plan
{
  std::vector<PlannedService> m_services;
  /** Addresses of the daemons' caller ports, such as "127.0.0.1:8000". */
  std::vector<std::string> m_daemons;
  /** Addresses of the targets whose records are compared with the requests. */
  std::vector<std::string> m_targets;
};

/**
 * Reads a plan from a JSON file: an object with `services`, `daemons` and
 * `targets`, or only the array of services. Throws std::runtime_error if the
 * file cannot be opened, and nlohmann::json::exception if it is malformed.
 */
Plan
LoadPlan(const std::string& aPath);

}
