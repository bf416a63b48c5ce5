#include "jobs/demand_estimator.h"

#include <algorithm>
#include <cmath>

namespace bramleystall {

namespace {

/** Factor by which each new run time reduces the weight of the older ones. */
constexpr double kRunTimeDecayFactor = 0.98;
/** Weight of the declared run time, in numbers of completed tasks. */
constexpr double kPriorWeight = 3.0;
/** Upper limit applied to declared run times. */
constexpr absl::Duration kMaxDeclaredRunTime = absl::Seconds(3);

/** Smaller rates are negligible, in work or jobs per second. */
constexpr double kNegligibleRate = 0.005;

}

DemandEstimator::DemandEstimator(absl::Duration aRateTimeConstant)
  : m_rateTimeConstantSeconds(absl::ToDoubleSeconds(aRateTimeConstant))
{
}

double
DemandEstimator::Decay(absl::Duration aAge) const
{
  return std::exp(-absl::ToDoubleSeconds(aAge) / m_rateTimeConstantSeconds);
}

void
DemandEstimator::AddArrival(const std::string& aPool,
                            double aWork,
                            absl::Time aNow)
{
  Rate& rate = m_rates[aPool];
  rate.m_value =
    rate.m_value * Decay(aNow - rate.m_at) + aWork / m_rateTimeConstantSeconds;
  rate.m_at = aNow;
}

void
DemandEstimator::AddRunTime(const std::string& aQueue, absl::Duration aActual)
{
  RunTimes& times = m_runTimes[aQueue];
  times.m_sum =
    times.m_sum * kRunTimeDecayFactor + absl::ToDoubleSeconds(aActual);
  times.m_weight = times.m_weight * kRunTimeDecayFactor + 1.0;
}

double
DemandEstimator::ArrivingLoad(const std::string& aPool, absl::Time aNow) const
{
  const auto found = m_rates.find(aPool);
  return found == m_rates.end()
           ? 0.0
           : found->second.m_value * Decay(aNow - found->second.m_at);
}

absl::Duration
DemandEstimator::ExpectedRunTime(const std::string& aQueue,
                                 absl::Duration aDeclared) const
{
  const double declared =
    absl::ToDoubleSeconds(std::min(aDeclared, kMaxDeclaredRunTime));
  const auto found = m_runTimes.find(aQueue);
  if (found == m_runTimes.end()) {
    return absl::Seconds(declared);
  }
  const RunTimes& times = found->second;
  return absl::Seconds((times.m_sum + declared * kPriorWeight) /
                       (times.m_weight + kPriorWeight));
}

std::map<std::string, double>
DemandEstimator::LearnedRunTimes() const
{
  std::map<std::string, double> learned;
  for (const auto& [queue, times] : m_runTimes) {
    if (times.m_weight >= kPriorWeight) {
      learned[queue] = times.m_sum / times.m_weight;
    }
  }
  return learned;
}

std::map<std::string, double>
DemandEstimator::ArrivingLoads(absl::Time aNow) const
{
  std::map<std::string, double> loads;
  for (const auto& [pool, rate] : m_rates) {
    const double load = ArrivingLoad(pool, aNow);
    if (load >= kNegligibleRate) {
      loads[pool] = load;
    }
  }
  return loads;
}

}
