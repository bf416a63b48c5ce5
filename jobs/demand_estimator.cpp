#include "jobs/demand_estimator.h"

#include <cmath>

namespace bramleystall {

namespace {

/**
 * Time constant of the rate. A shorter one follows a rise sooner and takes a
 * few large jobs for one.
 */
constexpr double kRateSeconds = 0.8;
/** Weight that older run times keep with each new one. */
constexpr double kRunTimeMemory = 0.98;
/** Declared seconds that stand for the prior, a ratio of one. */
constexpr double kPriorSeconds = 5.0;

double
Decay(absl::Duration aAge)
{
  return std::exp(-absl::ToDoubleSeconds(aAge) / kRateSeconds);
}

}

void
DemandEstimator::AddArrival(const std::string& aPool,
                            const std::string& aQueue,
                            double aDeclaredWork,
                            absl::Time aNow)
{
  Rate& rate = m_rates[aPool];
  const double work = aDeclaredWork * RunTimeRatio(aQueue);
  rate.m_value = rate.m_value * Decay(aNow - rate.m_at) + work / kRateSeconds;
  rate.m_at = aNow;
}

void
DemandEstimator::AddRunTime(const std::string& aQueue,
                            absl::Duration aDeclared,
                            absl::Duration aActual)
{
  RunTimes& times = m_runTimes[aQueue];
  times.m_declared =
    times.m_declared * kRunTimeMemory + absl::ToDoubleSeconds(aDeclared);
  times.m_actual =
    times.m_actual * kRunTimeMemory + absl::ToDoubleSeconds(aActual);
}

double
DemandEstimator::ArrivingLoad(const std::string& aPool, absl::Time aNow) const
{
  const auto found = m_rates.find(aPool);
  return found == m_rates.end()
           ? 0.0
           : found->second.m_value * Decay(aNow - found->second.m_at);
}

double
DemandEstimator::RunTimeRatio(const std::string& aQueue) const
{
  const auto found = m_runTimes.find(aQueue);
  if (found == m_runTimes.end()) {
    return 1.0;
  }
  return (found->second.m_actual + kPriorSeconds) /
         (found->second.m_declared + kPriorSeconds);
}

}
