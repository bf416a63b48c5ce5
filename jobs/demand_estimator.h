#pragma once

#include <absl/time/time.h>

#include <map>
#include <string>

namespace bramleystall {

/**
 * Estimates the capacity that each pool needs for its arriving jobs. Work is
 * measured in worker-seconds. Declared run times are inaccurate, so they serve
 * only as the initial estimate until tasks of the same queue have finished.
 */
class DemandEstimator
{
public:
  /**
   * aRateTimeConstant is the time constant of the arrival rates. A shorter one
   * follows an increase sooner but mistakes a few large jobs for an increase.
   */
  explicit DemandEstimator(
    absl::Duration aRateTimeConstant = absl::Milliseconds(800));

  /** Records the arrival of a job with aWork worker-seconds of work. */
  void AddArrival(const std::string& aPool, double aWork, absl::Time aNow);

  /** Records the run time of a completed task. */
  void AddRunTime(const std::string& aQueue, absl::Duration aActual);

  /** Number of workers that the current arrival rate keeps busy. */
  double ArrivingLoad(const std::string& aPool, absl::Time aNow) const;

  /** Expected run time of a task of the queue, given its declared run time. */
  absl::Duration ExpectedRunTime(const std::string& aQueue,
                                 absl::Duration aDeclared) const;

  /** Mean run time in seconds of each queue of which enough tasks have ended to
   * outweigh a declared run time. */
  std::map<std::string, double> LearnedRunTimes() const;

  /** The pools of AddArrival, with the numbers of workers that their arrival
   * rates keep busy; without those whose rate is negligible. */
  std::map<std::string, double> ArrivingLoads(absl::Time aNow) const;

private:
  struct Rate
  {
    /** Worker-seconds per second. */
    double m_value = 0;
    absl::Time m_at;
  };
  struct RunTimes
  {
    /** Decaying sum of run times in seconds, and the sum of the weights. */
    double m_sum = 0;
    double m_weight = 0;
  };

  double Decay(absl::Duration aAge) const;

  double m_rateTimeConstantSeconds;
  std::map<std::string, Rate> m_rates;
  std::map<std::string, RunTimes> m_runTimes;
};

}
