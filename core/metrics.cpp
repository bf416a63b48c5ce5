#include "core/metrics.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_replace.h>
#include <boost/histogram.hpp>

#include <set>
#include <utility>

namespace bramleystall {

namespace {

constexpr double kLowestBoundSeconds = 1e-4;
constexpr double kHighestBoundSeconds = 100.0;
constexpr unsigned kHistogramBins = 36;

using LogAxis =
  boost::histogram::axis::regular<double,
                                  boost::histogram::axis::transform::log>;

auto
MakeDurationHistogram()
{
  return boost::histogram::make_histogram(
    LogAxis(kHistogramBins, kLowestBoundSeconds, kHighestBoundSeconds));
}

using DurationHistogram = decltype(MakeDurationHistogram());

struct DurationSeries
{
  DurationHistogram m_bins = MakeDurationHistogram();
  double m_sumSeconds = 0;
  std::uint64_t m_count = 0;
};

using SeriesKey = std::pair<std::string, MetricLabels>;

std::string
EscapeLabelValue(const std::string& aValue)
{
  return absl::StrReplaceAll(
    aValue, { { "\\", "\\\\" }, { "\"", "\\\"" }, { "\n", "\\n" } });
}

std::string
RenderLabels(const MetricLabels& aLabels, const std::string& aExtra = "")
{
  const std::string joined =
    absl::StrJoin(aLabels, ",", [](std::string* aOut, const auto& aLabel) {
      absl::StrAppend(
        aOut, aLabel.first, "=\"", EscapeLabelValue(aLabel.second), "\"");
    });
  if (joined.empty() && aExtra.empty()) {
    return "";
  }
  const char* const comma = joined.empty() || aExtra.empty() ? "" : ",";
  return absl::StrCat("{", joined, comma, aExtra, "}");
}

void
RenderDurations(std::string& aOut,
                const SeriesKey& aKey,
                const DurationSeries& aSeries)
{
  const auto& [name, labels] = aKey;
  double cumulative = aSeries.m_bins.at(-1);
  const auto& axis = aSeries.m_bins.axis(0);
  for (int i = 0; i < axis.size(); ++i) {
    cumulative += aSeries.m_bins.at(i);
    const std::string bound = absl::StrCat("le=\"", axis.bin(i).upper(), "\"");
    absl::StrAppend(&aOut,
                    name,
                    "_bucket",
                    RenderLabels(labels, bound),
                    " ",
                    static_cast<std::uint64_t>(cumulative),
                    "\n");
  }
  absl::StrAppend(&aOut,
                  name,
                  "_bucket",
                  RenderLabels(labels, "le=\"+Inf\""),
                  " ",
                  aSeries.m_count,
                  "\n");
  absl::StrAppend(
    &aOut, name, "_sum", RenderLabels(labels), " ", aSeries.m_sumSeconds, "\n");
  absl::StrAppend(
    &aOut, name, "_count", RenderLabels(labels), " ", aSeries.m_count, "\n");
}

/** Writes the TYPE line of each metric name once, before its first series. */
template<typename Series, typename RenderOne>
void
RenderFamily(std::string& aOut,
             const std::map<SeriesKey, Series>& aFamily,
             const char* aType,
             RenderOne aRenderOne)
{
  const std::string* previous = nullptr;
  for (const auto& [key, series] : aFamily) {
    if (!previous || *previous != key.first) {
      absl::StrAppend(&aOut, "# TYPE ", key.first, " ", aType, "\n");
    }
    previous = &key.first;
    aRenderOne(key, series);
  }
}

}

struct Metrics::Registry
{
  std::map<SeriesKey, std::uint64_t> m_counters;
  std::map<SeriesKey, double> m_gauges;
  std::map<SeriesKey, DurationSeries> m_durations;
  /** Values in use of each label that BoundedLabelValue limits. */
  std::map<std::string, std::set<std::string>> m_boundedValues;
};

Metrics::Metrics()
  : m_registry(std::make_unique<Registry>())
{
}

Metrics::~Metrics() = default;

void
Metrics::Count(const std::string& aName,
               const MetricLabels& aLabels,
               std::uint64_t aAmount)
{
  const std::lock_guard lock(m_mutex);
  m_registry->m_counters[{ aName, aLabels }] += aAmount;
}

void
Metrics::SetGauge(const std::string& aName,
                  const MetricLabels& aLabels,
                  double aValue)
{
  const std::lock_guard lock(m_mutex);
  m_registry->m_gauges[{ aName, aLabels }] = aValue;
}

void
Metrics::Observe(const std::string& aName,
                 const MetricLabels& aLabels,
                 absl::Duration aDuration)
{
  const double seconds = absl::ToDoubleSeconds(aDuration);
  const std::lock_guard lock(m_mutex);
  DurationSeries& series = m_registry->m_durations[{ aName, aLabels }];
  series.m_bins(seconds);
  series.m_sumSeconds += seconds;
  ++series.m_count;
}

std::string
Metrics::BoundedLabelValue(const std::string& aLabel,
                           const std::string& aValue,
                           std::size_t aMaxValues)
{
  const std::lock_guard lock(m_mutex);
  std::set<std::string>& values = m_registry->m_boundedValues[aLabel];
  if (values.contains(aValue)) {
    return aValue;
  }
  if (values.size() >= aMaxValues) {
    return "other";
  }
  values.insert(aValue);
  return aValue;
}

std::uint64_t
Metrics::CounterValue(const std::string& aName,
                      const MetricLabels& aLabels) const
{
  const std::lock_guard lock(m_mutex);
  const auto found = m_registry->m_counters.find({ aName, aLabels });
  return found == m_registry->m_counters.end() ? 0 : found->second;
}

std::string
Metrics::Render() const
{
  const std::lock_guard lock(m_mutex);
  std::string out;
  const auto renderValue = [&out](const SeriesKey& aKey, auto aValue) {
    absl::StrAppend(
      &out, aKey.first, RenderLabels(aKey.second), " ", aValue, "\n");
  };
  RenderFamily(out, m_registry->m_counters, "counter", renderValue);
  RenderFamily(out, m_registry->m_gauges, "gauge", renderValue);
  RenderFamily(out,
               m_registry->m_durations,
               "histogram",
               [&out](const SeriesKey& aKey, const DurationSeries& aSeries) {
                 RenderDurations(out, aKey, aSeries);
               });
  return out;
}

}
