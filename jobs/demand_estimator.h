#pragma once

#include <absl/time/time.h>

#include <map>
#include <string>

namespace bramleystall {

/**
 * Estimates the capacity that each pool's arriving work needs. Work is counted
 * in seconds of a whole worker. Declared run times only bridge the time until
 * tasks of the same queue have been measured, since they are far off.
 */
class DemandEstimator
{
public:
  /** Work of a job that has just arrived. */
  void AddArrival(const std::string& aPool, double aWork, absl::Time aNow);

  /** A task of a queue has run to its end. */
  void AddRunTime(const std::string& aQueue, absl::Duration aActual);

  /** Workers that the present rate of arrivals keeps busy. */
  double ArrivingLoad(const std::string& aPool, absl::Time aNow) const;

  /** Expected run time of a queue's task, given the declared one. */
  absl::Duration ExpectedRunTime(const std::string& aQueue,
                                 absl::Duration aDeclared) const;

private:
  struct Rate
  {
    double m_value = 0;
    absl::Time m_at;
  };
  struct RunTimes
  {
    /** Decaying sum in seconds, and weight of the terms. */
    double m_sum = 0;
    double m_weight = 0;
  };

  std::map<std::string, Rate> m_rates;
  std::map<std::string, RunTimes> m_runTimes;
};

}
