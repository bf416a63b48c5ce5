#pragma once

#include "consul/vm_list.h"
#include "core/configuration.h"
#include "core/fleet_document.h"
#include "core/order_document.h"
#include "core/state_chart.h"
#include "fleet/vm_observation.h"

#include <absl/time/time.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bramleystall {

/** Inputs of a plan apart from PlannerMemory, read at one time. */
struct FleetSnapshot
{
  /** Wall-clock time. */
  absl::Time m_now;
  std::shared_ptr<const Configuration> m_configuration;
  /** `charts/vm_lifecycle.json`; states change only by its events. */
  std::shared_ptr<const StateChart> m_lifecycle;
  /**
   * By data centre. A document that cannot be read is absent; one that was
   * never written is present and empty.
   */
  std::map<std::string, FleetDocument> m_documents;
  /** VM list of the platform; not set if it could not be read. */
  std::optional<std::vector<VmListing>> m_vmList;
  /** By VM. */
  std::map<std::string, VmObservation> m_observations;
  /** VMs whose drain every daemon of their data centre has acknowledged. */
  std::set<std::string> m_acknowledgedDrains;
  OrderDocument m_orders;
  /** Recent number of requests in flight and queued, by pool. */
  std::map<std::string, int> m_poolDemand;
};

}
