#pragma once

#include "core/state_chart.h"

#include <memory>
#include <string>

namespace bramleystall {

/** VM lifecycle chart of the daemon, loaded once per process. */
inline std::shared_ptr<const StateChart>
LoadLifecycle(const std::string& aSourceFolder)
{
  static const auto kChart = std::make_shared<const StateChart>(
    StateChart::Load(aSourceFolder + "/charts/vm_lifecycle.json"));
  return kChart;
}

}
