#pragma once

#include "core/state_chart.h"

#include <memory>
#include <ostream>
#include <string>

namespace bramleystall {

/**
 * Prints the figures of docs/CAPACITY.md that need no other processes: the cost
 * of one plan, one dispatch decision and parsing the configuration at several
 * sizes, and the throughput of the request path.
 */
void
PrintSizeReport(std::ostream& aOut,
                const std::shared_ptr<const StateChart>& aLifecycle,
                const std::string& aCharts);

}
