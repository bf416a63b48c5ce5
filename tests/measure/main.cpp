#include "core/error.h"
#include "core/log.h"
#include "core/state_chart.h"
#include "tests/measure/fleet_measure.h"
#include "tests/measure/flood_measure.h"
#include "tests/measure/measure_result.h"
#include "tests/measure/process_measure.h"
#include "tests/measure/size_report.h"
#include "tests/measure/takeover_measure.h"

#include <curl/curl.h>
#include <gflags/gflags.h>

#include <array>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

DEFINE_string(
  name,
  "all",
  "name of a measurement, or all; sizes, daemon_sizes or takeover for "
  "docs/CAPACITY.md");
DEFINE_string(charts, BRAMLEYSTALL_CHARTS_DIR, "folder with the state charts");
DEFINE_string(programs,
              BRAMLEYSTALL_PROGRAMS_DIR,
              "folder with the built programs");

namespace {

using namespace bramleystall;

constexpr std::array<std::uint64_t, 3> kSeeds = { 1, 2, 3 };
constexpr std::array kDeployments = { "consortium", "cooperative" };

using Measurement =
  std::function<std::vector<MeasureResult>(const std::string& aDeployment,
                                           std::uint64_t aSeed)>;

struct NamedMeasurement
{
  std::string m_name;
  Measurement m_run;
};

std::shared_ptr<const StateChart>
LifecycleChart()
{
  return std::make_shared<const StateChart>(
    StateChart::Load(FLAGS_charts + "/vm_lifecycle.json"));
}

/** Runs the flood measurements and keeps the results named `aName`. */
Measurement
FloodMeasurement(const std::string& aName)
{
  return [aName](const std::string& aDeployment, std::uint64_t aSeed) {
    auto results = MeasureFlood(aDeployment, aSeed);
    std::erase_if(results, [&aName](const MeasureResult& aResult) {
      return aResult.m_name != aName;
    });
    return results;
  };
}

Measurement
FleetMeasurement(
  MeasureResult (*aMeasure)(const std::string&,
                            std::uint64_t,
                            const std::shared_ptr<const StateChart>&))
{
  return [aMeasure](const std::string& aDeployment, std::uint64_t aSeed) {
    return std::vector{ aMeasure(aDeployment, aSeed, LifecycleChart()) };
  };
}

std::vector<NamedMeasurement>
AllMeasurements()
{
  const ProcessMeasureSettings processes = { FLAGS_programs, FLAGS_charts };
  return {
    { "buffer_cost", FleetMeasurement(MeasureBufferCost) },
    { "rollout_time", FleetMeasurement(MeasureRolloutTime) },
    { "vm_moves", FleetMeasurement(MeasureVmMoves) },
    { "flood_other_work", FloodMeasurement("flood_other_work") },
    { "urgent_start", FloodMeasurement("urgent_start") },
    { "config_spread",
      [processes](const std::string& aDeployment, std::uint64_t aSeed) {
        return std::vector{ MeasureConfigSpread(
          processes, aDeployment, aSeed) };
      } },
    { "daemon_cost",
      [processes](const std::string& aDeployment, std::uint64_t aSeed) {
        return std::vector{ MeasureDaemonCost(processes, aDeployment, aSeed) };
      } },
  };
}

/** Prints one line; returns whether the run kept every guarantee. */
bool
Print(const MeasureResult& aResult)
{
  std::cout << "measure " << aResult.m_name
            << " deployment=" << aResult.m_deployment
            << " baseline=" << aResult.m_baseline
            << " chosen=" << aResult.m_chosen << " bound=" << aResult.m_bound
            << " unit=" << aResult.m_unit << " seed=" << aResult.m_seed;
  if (!aResult.m_violation.empty()) {
    std::cout << " broken=" << aResult.m_violation;
  }
  std::cout << std::endl;
  return aResult.m_violation.empty();
}

void
PrintDaemonSizes()
{
  for (const DaemonCost& cost : MeasureDaemonCosts(
         { FLAGS_programs, FLAGS_charts }, "consortium", kSeeds.front())) {
    std::cout << "daemon scale=" << cost.m_scale << " vms=" << cost.m_vms
              << " cores=" << cost.m_cores << " memory_mb=" << cost.m_memoryMb
              << " bytes_per_s=" << cost.m_bytesPerSecond
              << " store_reads_per_s=" << cost.m_storeReadsPerSecond
              << " store_watches_per_s=" << cost.m_storeWatchesPerSecond
              << std::endl;
  }
}

int
Run()
{
  if (FLAGS_name == "sizes") {
    PrintSizeReport(std::cout, LifecycleChart(), FLAGS_charts);
    return EXIT_SUCCESS;
  }
  if (FLAGS_name == "takeover") {
    PrintTakeovers(std::cout);
    return EXIT_SUCCESS;
  }
  if (FLAGS_name == "daemon_sizes") {
    PrintDaemonSizes();
    return EXIT_SUCCESS;
  }
  bool isKnown = false;
  bool guaranteesHold = true;
  for (const NamedMeasurement& measurement : AllMeasurements()) {
    if (FLAGS_name != "all" && FLAGS_name != measurement.m_name) {
      continue;
    }
    isKnown = true;
    for (const char* const deployment : kDeployments) {
      for (const std::uint64_t seed : kSeeds) {
        for (const auto& result : measurement.m_run(deployment, seed)) {
          guaranteesHold = Print(result) && guaranteesHold;
        }
      }
    }
  }
  if (!isKnown) {
    std::cerr << "no measurement is named '" << FLAGS_name << "'\n";
    return EXIT_FAILURE;
  }
  return guaranteesHold ? EXIT_SUCCESS : EXIT_FAILURE;
}

}

int
main(int argc, char** argv)
{
  gflags::SetUsageMessage("runs the measurements of docs/MEASUREMENTS.md");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  curl_global_init(CURL_GLOBAL_DEFAULT);
  try {
    return Run();
  } catch (const std::exception& error) {
    std::cerr << "measurement failed: " << error.what() << "\n";
    return EXIT_FAILURE;
  }
}
