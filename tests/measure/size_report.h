#pragma once

#include "core/state_chart.h"

#include <memory>
#include <ostream>
#include <string>

namespace bramleystall {

/**
 * Prints the figures of docs/CAPACITY.md that need no processes: one plan, one
 * dispatch decision, the documents and the peer protocol at several sizes.
 */
void
PrintSizeReport(std::ostream& aOut,
                const std::shared_ptr<const StateChart>& aLifecycle,
                const std::string& aCharts);

}
