#include "tests/measure/process_measure.h"

#include "consul/configuration_publisher.h"
#include "consul/consul_store.h"
#include "core/clock.h"
#include "tests/fakes/deployment.h"
#include "tests/naive/polling_reader.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>
#include <absl/time/clock.h>

#include <unistd.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <random>
#include <sstream>

namespace bramleystall {

namespace {

constexpr int kPublications = 12;
constexpr double kSpreadBoundSeconds = 5;
constexpr absl::Duration kPollInterval = absl::Seconds(5);
constexpr absl::Duration kSampleTime = absl::Seconds(8);
constexpr absl::Duration kWarmUpTime = absl::Seconds(8);
constexpr int kDesignVms = 970;
constexpr double kCoresLimit = 0.015;
constexpr double kMemoryLimitMb = 256;
constexpr double kBytesPerSecondLimit = 7000;
constexpr std::array kScales = { 1, 3, 10 };
constexpr int kFirstSpreadPort = 26000;
constexpr int kFirstCostPort = 26100;
constexpr int kPortsPerDeployment = 40;

ConsulSettings
MakeStoreSettings(const std::string& aUrl)
{
  ConsulSettings settings;
  settings.m_baseUrl = aUrl;
  return settings;
}

/**
 * Longest time until the version is in effect, over all daemons. Polls each
 * daemon for at most 10 s.
 */
double
SpreadSeconds(const Deployment& aDeployment, const Configuration& aAccepted)
{
  double longest = 0;
  for (std::size_t i = 0; i < aDeployment.Size(); ++i) {
    const absl::Time end = absl::Now() + absl::Seconds(2 * kSpreadBoundSeconds);
    nlohmann::json configuration;
    do {
      configuration = aDeployment.Status(i).at("configuration");
    } while (absl::Now() < end &&
             (configuration.is_null() ||
              configuration.at("version") < aAccepted.m_version));
    const auto inEffect =
      configuration.is_null() ||
          configuration.at("version") < aAccepted.m_version
        ? ToMillis(absl::Now())
        : configuration.at("in_effect_ms").get<std::int64_t>();
    const double seconds =
      static_cast<double>(inEffect - aAccepted.m_acceptedMillis) / 1000;
    longest = std::max(longest, seconds);
  }
  return longest;
}

/** Processor time that a process has used since its start, in seconds. */
double
ProcessorSeconds(pid_t aPid)
{
  std::ifstream file(absl::StrCat("/proc/", aPid, "/stat"));
  std::ostringstream text;
  text << file.rdbuf();
  // The program name, in parentheses, may contain spaces.
  const std::string stat = text.str();
  const std::vector<std::string> fields =
    absl::StrSplit(stat.substr(stat.rfind(')') + 2), ' ');
  constexpr std::size_t kUserTime = 11;
  constexpr std::size_t kSystemTime = 12;
  const double ticks =
    std::stod(fields.at(kUserTime)) + std::stod(fields.at(kSystemTime));
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double
ResidentMb(pid_t aPid)
{
  std::ifstream file(absl::StrCat("/proc/", aPid, "/statm"));
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1U << 20U);
}

/** Sum of all series of a metric in the Prometheus text format. */
double
SumOfMetric(const std::string& aText, const std::string& aName)
{
  double sum = 0;
  for (const auto line : absl::StrSplit(aText, '\n')) {
    const std::string text(line);
    if (!text.starts_with(aName + "{") && !text.starts_with(aName + " ")) {
      continue;
    }
    double value = 0;
    if (absl::SimpleAtod(text.substr(text.rfind(' ') + 1), &value)) {
      sum += value;
    }
  }
  return sum;
}

/** Control-plane bytes of a daemon since its start, from its metrics. */
double
ControlBytes(const std::string& aMetrics)
{
  return SumOfMetric(aMetrics, "bramleystall_peer_bytes_total") +
         SumOfMetric(aMetrics, "bramleystall_store_bytes_total") +
         SumOfMetric(aMetrics, "bramleystall_probe_bytes_total");
}

struct Sample
{
  double m_processorSeconds = 0;
  double m_bytes = 0;
};

std::vector<Sample>
TakeSamples(const Deployment& aDeployment)
{
  std::vector<Sample> samples;
  for (std::size_t i = 0; i < aDeployment.Size(); ++i) {
    samples.push_back({ ProcessorSeconds(aDeployment.Pid(i)),
                        ControlBytes(aDeployment.MetricsText(i)) });
  }
  return samples;
}

DaemonCost
MeasureDeployment(const Deployment& aDeployment, int aScale, int aVms)
{
  const auto callsBefore = aDeployment.StoreCalls();
  const auto before = TakeSamples(aDeployment);
  const absl::Time start = absl::Now();
  absl::SleepFor(kSampleTime);
  const auto after = TakeSamples(aDeployment);
  const double seconds = absl::ToDoubleSeconds(absl::Now() - start);
  const auto calls = aDeployment.StoreCalls();
  DaemonCost cost;
  cost.m_scale = aScale;
  cost.m_vms = aVms;
  for (std::size_t i = 0; i < aDeployment.Size(); ++i) {
    cost.m_cores = std::max(
      cost.m_cores,
      (after[i].m_processorSeconds - before[i].m_processorSeconds) / seconds);
    cost.m_memoryMb = std::max(cost.m_memoryMb, ResidentMb(aDeployment.Pid(i)));
    cost.m_bytesPerSecond = std::max(
      cost.m_bytesPerSecond, (after[i].m_bytes - before[i].m_bytes) / seconds);
  }
  const auto rate = [&](const char* aKind) {
    return (calls.at(aKind).get<double>() -
            callsBefore.at(aKind).get<double>()) /
           seconds;
  };
  cost.m_storeReadsPerSecond = rate("read");
  cost.m_storeWatchesPerSecond = rate("watch");
  return cost;
}

/** Value at `kDesignVms`, on the line through the first and the last cost. */
double
Extrapolate(const std::vector<DaemonCost>& aCosts, double DaemonCost::*aField)
{
  const DaemonCost& first = aCosts.front();
  const DaemonCost& last = aCosts.back();
  const double slope =
    (last.*aField - first.*aField) / (last.m_vms - first.m_vms);
  return last.*aField + slope * (kDesignVms - last.m_vms);
}

/** Largest of the three values, each as a share of its limit. */
double
MaxShareOfLimit(double aCores, double aMemoryMb, double aBytes)
{
  return std::max({ aCores / kCoresLimit,
                    aMemoryMb / kMemoryLimitMb,
                    aBytes / kBytesPerSecondLimit });
}

}

MeasureResult
MeasureConfigSpread(const ProcessMeasureSettings& aSettings,
                    const std::string& aDeployment,
                    std::uint64_t aSeed)
{
  Deployment deployment(aSettings.m_programs, aDeployment, kFirstSpreadPort);
  deployment.StartPlatform();
  ConsulStore store(MakeStoreSettings(deployment.PlatformUrl()));
  ConfigurationPublisher publisher(store, SystemWriterHooks());
  Configuration content = deployment.ScaledConfiguration();
  publisher.Publish(content, "measure");
  deployment.StartDaemons();
  deployment.WaitUntilUp();
  std::vector<std::unique_ptr<PollingReader>> pollers;
  std::mt19937_64 random(aSeed);
  std::uniform_real_distribution<double> fraction(0, 1);
  for (std::size_t i = 0; i < deployment.Size(); ++i) {
    pollers.push_back(
      std::make_unique<PollingReader>(store,
                                      ConfigurationPublisher::kCurrentKey,
                                      kPollInterval,
                                      fraction(random) * kPollInterval));
  }
  MeasureResult result{ "config_spread",     aDeployment, 0,     0,
                        kSpreadBoundSeconds, "s",         aSeed, "" };
  std::vector<Configuration> accepted;
  for (int i = 0; i < kPublications; ++i) {
    content.m_services.front().m_queueLimit = 500 + i;
    accepted.push_back(publisher.Publish(content, "measure").m_configuration);
    result.m_chosen =
      std::max(result.m_chosen, SpreadSeconds(deployment, accepted.back()));
    absl::SleepFor(fraction(random) * absl::Milliseconds(600));
  }
  absl::SleepFor(kPollInterval);
  for (const auto& poller : pollers) {
    result.m_baseline =
      std::max(result.m_baseline, poller->LongestDelaySeconds(accepted));
  }
  if (result.m_chosen > result.m_bound) {
    result.m_violation = "P8";
  }
  return result;
}

std::vector<DaemonCost>
MeasureDaemonCosts(const ProcessMeasureSettings& aSettings,
                   const std::string& aDeployment,
                   std::uint64_t aSeed)
{
  // The seed selects the ports, which change the order of the hash tables.
  const int base =
    kFirstCostPort + static_cast<int>(aSeed % 4) * 4 * kPortsPerDeployment;
  std::vector<DaemonCost> costs;
  int port = base;
  for (const int scale : kScales) {
    Deployment deployment(aSettings.m_programs, aDeployment, port);
    port += kPortsPerDeployment;
    deployment.StartPlatform();
    const int vms = deployment.AddVms(scale);
    ConsulStore store(MakeStoreSettings(deployment.PlatformUrl()));
    ConfigurationPublisher(store, SystemWriterHooks())
      .Publish(deployment.ScaledConfiguration(), "measure");
    deployment.StartDaemons();
    deployment.WaitUntilReady();
    absl::SleepFor(kWarmUpTime);
    costs.push_back(MeasureDeployment(deployment, scale, vms));
  }
  return costs;
}

MeasureResult
MeasureDaemonCost(const ProcessMeasureSettings& aSettings,
                  const std::string& aDeployment,
                  std::uint64_t aSeed)
{
  const auto costs = MeasureDaemonCosts(aSettings, aDeployment, aSeed);
  const double cores = Extrapolate(costs, &DaemonCost::m_cores);
  const double memory = Extrapolate(costs, &DaemonCost::m_memoryMb);
  const double bytes = Extrapolate(costs, &DaemonCost::m_bytesPerSecond);
  // One probe per second instead of one in ten seconds makes the part that
  // grows with the VMs ten times as large. Memory stays the same.
  constexpr double kProbeFactor = 10;
  const double fixedBytes = costs.front().m_bytesPerSecond;
  const double fixedCores = costs.front().m_cores;
  const double baseline =
    MaxShareOfLimit(fixedCores + kProbeFactor * (cores - fixedCores),
                    memory,
                    fixedBytes + kProbeFactor * (bytes - fixedBytes));
  return { "daemon_cost",
           aDeployment,
           baseline,
           MaxShareOfLimit(cores, memory, bytes),
           1,
           "share_of_limit",
           aSeed,
           "" };
}

}
