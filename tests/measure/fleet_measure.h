#pragma once

#include "core/state_chart.h"
#include "tests/measure/measure_result.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace bramleystall {

/**
 * Measures the planner alone, in simulated time. `aDeployment` is `consortium`
 * or `cooperative`; the chart is `charts/vm_lifecycle.json`. Throws Error
 * (InvalidInput) for any other deployment.
 */
MeasureResult
MeasureBufferCost(const std::string& aDeployment,
                  std::uint64_t aSeed,
                  const std::shared_ptr<const StateChart>& aChart);
MeasureResult
MeasureRolloutTime(const std::string& aDeployment,
                   std::uint64_t aSeed,
                   const std::shared_ptr<const StateChart>& aChart);
MeasureResult
MeasureVmMoves(const std::string& aDeployment,
               std::uint64_t aSeed,
               const std::shared_ptr<const StateChart>& aChart);

/** Cost of one call of PlanFleet at some size of the fleet. */
struct PlanCost
{
  /** Size of the fleet as a multiple of today's consortium. */
  int m_scale = 1;
  int m_vms = 0;
  int m_pools = 0;
  /** Mean milliseconds of one plan, without and with a running wave. */
  double m_idleMillis = 0;
  double m_waveMillis = 0;
  /**
   * Largest number of heap bytes that one plan and the growth of the
   * PlannerMemory occupy when PlanFleet returns.
   */
  double m_planBytes = 0;
  /** Bytes of all serialized fleet documents, divided by the VMs. */
  double m_documentBytesPerVm = 0;
};

/** Measures the cost at 1, 3, 10 and 24 times today's size. */
std::vector<PlanCost>
MeasurePlanCost(std::uint64_t aSeed,
                const std::shared_ptr<const StateChart>& aChart);

/**
 * Milliseconds that each further 1,000 VMs add to a plan with a running wave,
 * from the smallest and the largest size.
 */
double
PlanCostSlope(const std::vector<PlanCost>& aCosts);

}
