#pragma once

#include "core/state_chart.h"
#include "tests/measure/measure_result.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace bramleystall {

/**
 * Measures of the planner alone, in simulated time. `aDeployment` is
 * `consortium` or `cooperative`; the chart is `charts/vm_lifecycle.json`.
 * Throws Error (InvalidInput) for another deployment.
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

/** Cost of one plan for a fleet of some size. */
struct PlanCost
{
  /** Multiple of today's consortium. */
  int m_scale = 1;
  int m_vms = 0;
  int m_pools = 0;
  /** Mean milliseconds of one PlanFleet without and with a running wave. */
  double m_idleMillis = 0;
  double m_waveMillis = 0;
  /** Largest number of heap bytes that one plan and the growth of the memory
   * hold when PlanFleet returns. */
  double m_planBytes = 0;
  /** Bytes of all serialized documents divided by the VMs. */
  double m_documentBytesPerVm = 0;
};

/** Costs at 1, 3, 10 and 24 times today's size. */
std::vector<PlanCost>
MeasurePlanCost(std::uint64_t aSeed,
                const std::shared_ptr<const StateChart>& aChart);

/** Milliseconds of a plan with a running wave for each further 1,000 VMs,
 * from the smallest and the largest size. */
double
PlanCostSlope(const std::vector<PlanCost>& aCosts);

}
