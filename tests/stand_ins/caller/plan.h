#pragma once

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace bramleystall {

/** Requests of one kind that the caller sends. */
struct PlannedService
{
  std::string m_name;
  /** Host header; empty when the path alone chooses the service. */
  std::string m_host;
  std::string m_method = "GET";
  std::string m_path = "/";
  /** Requests a second. */
  double m_rate = 1;
  /** Time that the target works; the target's own when negative. */
  int m_workMs = -1;
  absl::Duration m_deadline = absl::Seconds(10);
  /** Whether the request may run more than once. */
  bool m_isIdempotent = false;
  /** Bytes of the request body; GET has none. */
  int m_bodyBytes = 64;
  /** Seconds from the start during which requests are sent. */
  double m_startSeconds = 0;
  double m_endSeconds = 1e9;
};

/** What to send, to whom, and where the records are. */
struct Plan
{
  std::vector<PlannedService> m_services;
  /** Addresses of the daemons' caller ports, "127.0.0.1:8000". */
  std::vector<std::string> m_daemons;
  /** Addresses of the targets whose records are compared. */
  std::vector<std::string> m_targets;
};

/**
 * Reads a plan: an object with `services`, `daemons` and `targets`, or just the
 * array of services. Throws std::runtime_error.
 */
Plan
LoadPlan(const std::string& aPath);

}
