#pragma once

#include "core/state_chart.h"

#include <memory>
#include <string>

namespace bramleystall {

/** The chart that the daemon runs, read once. */
inline std::shared_ptr<const StateChart>
LoadLifecycle(const std::string& aSourceFolder)
{
  static const auto kChart = std::make_shared<const StateChart>(
    StateChart::Load(aSourceFolder + "/charts/vm_lifecycle.json"));
  return kChart;
}

}
