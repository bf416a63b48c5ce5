#pragma once

#include "core/enum_names.h"

#include <absl/time/time.h>

#include <map>
#include <string>

namespace bramleystall {

/** Failure domain whose loss each pool must survive. */
enum class FailureDomain
{
  Vm,
  Rack,
  DataCentre,
};

inline constexpr EnumNames<FailureDomain, 3> kFailureDomainNames = { {
  { FailureDomain::Vm, "vm" },
  { FailureDomain::Rack, "rack" },
  { FailureDomain::DataCentre, "data_centre" },
} };

/** Weights of the costs by which the planner compares plans. */
struct MeasureWeights
{
  double m_bufferCost = 1;
  double m_rolloutTime = 1;
  double m_moves = 1;
  double m_otherWork = 1;
};

/** Settings of the whole fleet, read from `fleet.json`. */
struct FleetSpec
{
  /** Pool that holds the spare workers. */
  std::string m_sparePool = "spare";
  int m_spareWorkers = 0;
  FailureDomain m_survive = FailureDomain::Rack;
  /** Largest fraction of a pool that one decision takes out of service. */
  double m_maxEvictionFraction = 0.1;
  absl::Duration m_rebootTimeout = absl::Minutes(10);
  absl::Duration m_vmGoneAfter = absl::Seconds(30);
  /** How long a surplus must last before the pool returns a VM. */
  absl::Duration m_surplusHold = absl::Minutes(10);
  /** Fraction of a wave's rebooted VMs whose failure stops the wave. */
  double m_waveFailureLimit = 0.2;
  int m_slotsPerWorker = 8;
  int m_connectionsPerWorker = 64;
  /** Share of the slots that each team is guaranteed, 0 to 1. */
  std::map<std::string, double> m_teamQuotas;
  MeasureWeights m_weights;
};

}
