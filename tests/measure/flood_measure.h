#pragma once

#include "tests/measure/measure_result.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bramleystall {

/**
 * Runs the measurements `flood_other_work` and `urgent_start` of a deployment.
 * In a pool of one data centre, each kind of work in turn requests five times
 * its mean, while the other kinds request 0.75 of theirs. The chosen value is
 * that of FairQueue, the baseline that of first come, first served, for the
 * same requests. Throws Error (InvalidInput) for an unknown deployment.
 */
std::vector<MeasureResult>
MeasureFlood(const std::string& aDeployment, std::uint64_t aSeed);

/** Time of one dispatch decision at some queue length. */
struct DecisionTime
{
  int m_queuedRequests = 0;
  /** Mean microseconds to queue one request and to take the next one. */
  double m_microseconds = 0;
};

/**
 * Measures dispatch decisions with 1,000, 10,000 and 100,000 queued requests
 * of 16 services.
 */
std::vector<DecisionTime>
MeasureDecisionTimes();

}
