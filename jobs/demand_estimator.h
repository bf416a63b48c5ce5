#pragma once

#include <absl/time/time.h>

#include <map>
#include <string>

namespace bramleystall {

/**
 * Estimates the capacity that each pool's arriving work needs. Work is counted
 * in seconds of a whole worker; declared run times are corrected by what tasks
 * of the same queue have taken.
 */
class DemandEstimator
{
public:
  /** Work of a job that has just arrived, by its declared run times. */
  void AddArrival(const std::string& aPool,
                  const std::string& aQueue,
                  double aDeclaredWork,
                  absl::Time aNow);

  /** A task of a queue that has run to its end. */
  void AddRunTime(const std::string& aQueue,
                  absl::Duration aDeclared,
                  absl::Duration aActual);

  /** Workers that the present rate of arrivals keeps busy. */
  double ArrivingLoad(const std::string& aPool, absl::Time aNow) const;

  /** Measured run time of a queue's tasks over the declared one. */
  double RunTimeRatio(const std::string& aQueue) const;

private:
  struct Rate
  {
    double m_value = 0;
    absl::Time m_at;
  };
  struct RunTimes
  {
    double m_declared = 0;
    double m_actual = 0;
  };

  std::map<std::string, Rate> m_rates;
  std::map<std::string, RunTimes> m_runTimes;
};

}
