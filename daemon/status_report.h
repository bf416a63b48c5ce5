#pragma once

#include "cluster/cluster_node.h"
#include "core/configuration.h"
#include "core/fleet_document.h"
#include "fleet/fleet_plan.h"
#include "server/request_path_status.h"

#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace bramleystall {

/** Content of the response to `GET /v1/status`. */
struct StatusInputs
{
  std::string m_daemon;
  std::string m_dataCentre;
  bool m_isReady = false;
  bool m_isDecider = false;
  std::uint64_t m_term = 0;
  std::shared_ptr<const Configuration> m_configuration;
  /** Time in ms since the Unix epoch at which the configuration came into force
   * in this daemon. */
  std::int64_t m_inEffectMillis = 0;
  std::shared_ptr<const FleetDocument> m_fleetDocument;
  std::vector<MemberView> m_members;
  RequestPathStatus m_requests;
  /** Reports of the last plan; empty on a daemon that is not the decider. */
  std::vector<PoolReport> m_pools;
  absl::Time m_monotonicNow;
};

/** JSON text of the status. */
std::string
MakeStatusReport(const StatusInputs& aInputs);

}
