#pragma once

#include "tests/measure/measure_result.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bramleystall {

/**
 * Measurements `flood_other_work` and `urgent_start` of a deployment: each kind
 * of work of one data centre's pool in turn asks for five times its mean, while
 * the others ask for 0.75 of theirs. The chosen value is of FairQueue, the
 * baseline of first come, first served; both see the same requests. Throws
 * Error (InvalidInput) for an unknown deployment.
 */
std::vector<MeasureResult>
MeasureFlood(const std::string& aDeployment, std::uint64_t aSeed);

/** Time of one dispatch decision. */
struct DecisionTime
{
  int m_queuedRequests = 0;
  /** Mean time to queue one request and to take the next, in microseconds. */
  double m_microseconds = 0;
};

/** Measures dispatch decisions with 1,000, 10,000 and 100,000 queued requests
 * of 16 services. */
std::vector<DecisionTime>
MeasureDecisionTimes();

}
