#include "tests/measure/size_report.h"

#include "core/configuration_codec.h"
#include "core/service_file.h"
#include "tests/measure/fleet_measure.h"
#include "tests/measure/flood_measure.h"
#include "tests/measure/throughput_measure.h"

#include <absl/time/clock.h>

namespace bramleystall {

namespace {

constexpr std::uint64_t kSeed = 1;

void
PrintPlans(std::ostream& aOut, const std::shared_ptr<const StateChart>& aChart)
{
  const auto costs = MeasurePlanCost(kSeed, aChart);
  for (const PlanCost& cost : costs) {
    aOut << "plan scale=" << cost.m_scale << " vms=" << cost.m_vms
         << " pools=" << cost.m_pools << " idle_ms=" << cost.m_idleMillis
         << " wave_ms=" << cost.m_waveMillis
         << " plan_bytes=" << cost.m_planBytes
         << " document_bytes_per_vm=" << cost.m_documentBytesPerVm << std::endl;
  }
  aOut << "plan slope_ms_per_1000_vms=" << PlanCostSlope(costs) << std::endl;
}

void
PrintDispatch(std::ostream& aOut)
{
  for (const DecisionTime& time : MeasureDecisionTimes()) {
    aOut << "dispatch queued=" << time.m_queuedRequests
         << " us=" << time.m_microseconds << std::endl;
  }
}

/** Prints the size of the configuration and the time to parse and digest it. */
void
PrintConfiguration(std::ostream& aOut)
{
  Configuration content =
    LoadConfigurationFolder(BRAMLEYSTALL_SOURCE_DIR
                            "/examples/consortium/services")
      .m_configuration;
  const auto services = content.m_services;
  for (const int scale : { 1, 3, 10 }) {
    content.m_services.clear();
    for (int i = 0; i < scale; ++i) {
      content.m_services.insert(
        content.m_services.end(), services.begin(), services.end());
    }
    const std::string text = SerializeConfiguration(content);
    constexpr int kRepeats = 20;
    const absl::Time start = absl::Now();
    for (int i = 0; i < kRepeats; ++i) {
      DigestOf(ParseConfiguration(text));
    }
    aOut << "configuration services=" << content.m_services.size()
         << " bytes=" << text.size() << " parse_ms="
         << absl::ToDoubleMilliseconds(absl::Now() - start) / kRepeats
         << std::endl;
  }
}

void
PrintThroughput(std::ostream& aOut, const std::string& aCharts)
{
  const auto print = [&aOut](const char* aRoute,
                             const ThroughputValues& aValues) {
    aOut << " " << aRoute << "_per_s=" << aValues.m_requestsPerSecond << " "
         << aRoute << "_p50_us=" << aValues.m_p50Micros << " " << aRoute
         << "_p99_us=" << aValues.m_p99Micros << " " << aRoute
         << "_failed=" << aValues.m_failed;
  };
  for (const ThroughputResult& result :
       MeasureThroughput(aCharts + "/request_attempt.json", absl::Seconds(2))) {
    aOut << "throughput threads=" << result.m_httpThreads
         << " idempotent=" << result.m_idempotent
         << " callers=" << result.m_callers;
    print("direct", result.m_direct);
    print("path", result.m_path);
    aOut << std::endl;
  }
}

}

void
PrintSizeReport(std::ostream& aOut,
                const std::shared_ptr<const StateChart>& aLifecycle,
                const std::string& aCharts)
{
  PrintPlans(aOut, aLifecycle);
  PrintDispatch(aOut);
  PrintConfiguration(aOut);
  PrintThroughput(aOut, aCharts);
}

}
