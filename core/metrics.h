#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace bramleystall {

/** Labels of a metric, in the order of their names. */
using MetricLabels = std::map<std::string, std::string>;

/**
 * Counters, gauges and duration histograms of one process, printed in the
 * Prometheus text format. All members are safe to call from any thread.
 */
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /** Adds to a counter, which starts at 0. */
  void Count(const std::string& aName,
             const MetricLabels& aLabels = {},
             std::uint64_t aAmount = 1);

  void SetGauge(const std::string& aName,
                const MetricLabels& aLabels,
                double aValue);

  /** Records a duration in a histogram from 0.1 ms to 100 s. */
  void Observe(const std::string& aName,
               const MetricLabels& aLabels,
               absl::Duration aDuration);

  /**
   * Value to use for a label whose values are not known in advance: aValue, or
   * "other" if the label already has aMaxValues other ones. Keeps the number of
   * series bounded.
   */
  std::string BoundedLabelValue(const std::string& aLabel,
                                const std::string& aValue,
                                std::size_t aMaxValues);

  /** Value of a counter; 0 when it was never incremented. */
  std::uint64_t CounterValue(const std::string& aName,
                             const MetricLabels& aLabels = {}) const;

  /** All metrics in the Prometheus text exposition format 0.0.4. */
  std::string Render() const;

private:
  struct Registry;
  mutable std::mutex m_mutex;
  std::unique_ptr<Registry> m_registry;
};

}
