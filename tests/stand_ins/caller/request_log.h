#pragma once

#include "tests/stand_ins/caller/plan.h"

#include <absl/time/time.h>

#include <cstddef>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace bramleystall {

/** What one attempt of a request ended with. */
enum class AttemptOutcome
{
  /** Complete response of a target with a success status. */
  Succeeded,
  /** Complete response of a target with another status. */
  Failed,
  RefusedNotRun,
  OutcomeUnknown,
  /** The connection was not made. */
  NotSent,
  /** The connection broke, or the response was truncated. */
  Broken,
  /** Neither a response nor a broken connection until the time limit. */
  NoOutcome,
};

/** One request with all its attempts. */
struct RequestRecord
{
  std::string m_id;
  std::size_t m_service = 0;
  std::string m_body;
  std::vector<AttemptOutcome> m_attempts;
  /** Attempts that are still running. */
  int m_pending = 0;
  /** Whether a broken connection led to a daemon that was killed on purpose. */
  bool m_brokenByKilledDaemon = false;
  /** Whether a connection broke without that. */
  bool m_wasCut = false;
  /** Whether a response belonged to another request. */
  bool m_wasMixed = false;
  absl::Time m_start;
  /** Time to the first complete response of a target. */
  absl::Duration m_latency = absl::InfiniteDuration();
  std::string m_lastReason;
};

/** Result of a run of the caller. */
struct Verdict
{
  int m_sent = 0;
  int m_answered = 0;
  int m_refused = 0;
  int m_unknown = 0;
  int m_lost = 0;
  int m_doubled = 0;
  int m_cut = 0;
  int m_falseRefusals = 0;
  int m_mixed = 0;

  bool IsClean() const
  {
    return m_lost == 0 && m_doubled == 0 && m_cut == 0 &&
           m_falseRefusals == 0 && m_mixed == 0;
  }
};

/**
 * Compares the requests with the runs that the targets recorded and prints the
 * counts of each service, the first requests that broke a guarantee, and the
 * two summary lines.
 */
Verdict
EvaluateRecords(const Plan& aPlan,
                const std::vector<RequestRecord>& aRecords,
                const std::map<std::string, int>& aRuns,
                std::ostream& aOut);

}
