#pragma once

#include "tests/stand_ins/caller/plan.h"

#include <absl/time/time.h>

#include <cstddef>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace bramleystall {

/** Outcome of one attempt of a request. */
enum class AttemptOutcome
{
  /** Complete response of a target with a success status. */
  Succeeded,
  /** Complete response of a target with another status. */
  Failed,
  /** A daemon refused the request, which did not run. */
  RefusedNotRun,
  /** A daemon reported that the request may have run. */
  OutcomeUnknown,
  /** The connection could not be established. */
  NotSent,
  /** The connection broke, or the response was truncated. */
  Broken,
  /** The attempt timed out without a response or a broken connection. */
  NoOutcome,
};

/** One request with all its attempts. */
struct RequestRecord
{
  std::string m_id;
  std::size_t m_service = 0;
  std::string m_body;
  std::vector<AttemptOutcome> m_attempts;
  /** Attempts that are running or due to be sent. */
  int m_pending = 0;
  /** Whether a connection to a daemon that was killed on purpose broke. */
  bool m_brokenByKilledDaemon = false;
  /** Whether any other connection broke or its response was truncated. */
  bool m_wasCut = false;
  /** Whether a response belonged to a different request. */
  bool m_wasMixed = false;
  absl::Time m_start;
  /** Time from the start to the first complete response of a target. */
  absl::Duration m_latency = absl::InfiniteDuration();
  /** Reason for the latest attempt that no target responded to. */
  std::string m_lastReason;
};

/** Number of requests of a run of the caller, by outcome and by fault. */
struct Verdict
{
  int m_sent = 0;
  int m_answered = 0;
  int m_refused = 0;
  int m_unknown = 0;
  /** No outcome until the time-out, or a success that no target recorded. */
  int m_lost = 0;
  /** More than one run of a request that is not idempotent. */
  int m_doubled = 0;
  /** Connection broken other than by a daemon killed on purpose. */
  int m_cut = 0;
  /** Refused as not run although a target recorded a run. */
  int m_falseRefusals = 0;
  /** Response that belongs to a different request. */
  int m_mixed = 0;

  bool IsClean() const
  {
    return m_lost == 0 && m_doubled == 0 && m_cut == 0 &&
           m_falseRefusals == 0 && m_mixed == 0;
  }
};

/**
 * Compares the requests with the runs that the targets recorded, by request id.
 * Prints the first 20 requests that violate a guarantee, the counts of each
 * service and two summary lines.
 */
Verdict
EvaluateRecords(const Plan& aPlan,
                const std::vector<RequestRecord>& aRecords,
                const std::map<std::string, int>& aRuns,
                std::ostream& aOut);

}
