#pragma once

#include "core/process_limits.h"

#include <absl/time/time.h>

#include <string>

namespace bramleystall {

/** Settings of a daemon that manages jobs on the platform. */
struct JobSettings
{
  std::string m_daemon;
  std::string m_dataCentre;
  /** Addresses as "IP:PORT". */
  std::string m_callerAddress;
  std::string m_readyAddress;
  std::string m_storeAddress;
  std::string m_machineAddress;
  /** Empty where the deployment has no advice service. */
  std::string m_adviceAddress;
  /** Time between the termination signal and the kill signal. */
  absl::Duration m_terminationGracePeriod;
  /** Longest lease that a worker grants. */
  absl::Duration m_maxWorkerLease;
  /** Longest time that a worker takes to stop a task. */
  absl::Duration m_stopTime;
  /** How long the state of a finished job can be queried. */
  absl::Duration m_jobRetention;
  /** A long-running task that is not running for longer counts as disrupted.
   */
  absl::Duration m_disruptionThreshold;
  /** Durations of the move and of the maintenance of a machine. */
  absl::Duration m_moveTime;
  absl::Duration m_maintenanceTime;
  /** Machine orders that the platform accepts per second. */
  double m_machineOrdersPerSecond = 0;
  /** Pages of the machine list that the platform serves per second. */
  double m_machineReadsPerSecond = 0;
  /** Processor cores of the daemon, possibly a fraction of one, and its network
   * link in Mbit/s. */
  double m_cores = 0;
  double m_linkMbps = 0;
  ProcessLimits m_limits;
  /** Minimum time between orders of two owners to the same machine. */
  absl::Duration m_machineTurn;
};

/** Parses settings. Throws Error (InvalidInput) that names the field. */
JobSettings
ParseJobSettings(const std::string& aJson);

/** Reads and parses a settings file. Throws Error (InvalidInput). */
JobSettings
LoadJobSettings(const std::string& aPath);

}
