#pragma once

#include "tests/stand_ins/stand_in_server.h"

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bramleystall {

/** Sizes and service time of a worker. */
struct WorkerSettings
{
  std::string m_vm;
  int m_slots = 8;
  int m_connections = 64;
  absl::Duration m_serviceTime;
};

/** Fault switches of a worker. */
struct WorkerFaults
{
  /** Requests wait, and run only when the switch is cleared. */
  bool m_isFrozen = false;
  /** New connections are refused; open ones stay usable. */
  bool m_refuses = false;
  /** Each request fails with status 500 as soon as it starts. */
  bool m_failsAll = false;
  /** The connection is closed as soon as the request starts. */
  bool m_closesAfterRead = false;
  /** Responses have the full length but half of the body. */
  bool m_truncates = false;
  /** Time between the end of the work and the response. */
  absl::Duration m_responseDelay;
  /** Whether the faults outlive a reboot. */
  bool m_survivesReboot = false;
};

/** Requests, faults and record of the target stand-in. */
class Worker
{
public:
  explicit Worker(const WorkerSettings& aSettings);

  std::optional<StandInResponse> Handle(const StandInRequest& aRequest);
  void ForgetConnection(std::uint64_t aConnection);

  /** Whether the listening socket should be closed now. */
  bool IsRefusing();
  /** Duration of a requested reboot, once for each request. */
  std::optional<absl::Duration> TakeReboot();
  /** Interrupts all requests and rejects others until Resume. */
  void Interrupt();
  void Resume();

private:
  std::optional<StandInResponse> HandleControl(const StandInRequest& aRequest);
  void SetFaults(const nlohmann::json& aFaults);
  std::string RecordJson() const;
  void CountConnection(std::uint64_t aConnection);
  void StartRun(const std::string& aId);
  /** Waits for the time; false when a reboot interrupted it. */
  bool Wait(std::unique_lock<std::mutex>& aLock,
            absl::Duration aTime,
            std::uint64_t aGeneration);
  absl::Duration WorkTime(const StandInRequest& aRequest) const;
  std::string Echo(const StandInRequest& aRequest,
                   const std::string& aId) const;

  WorkerSettings m_settings;
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  WorkerFaults m_faults;
  absl::Time m_refusingUntil = absl::InfinitePast();
  std::optional<absl::Duration> m_requestedReboot;
  /** Grows with each reboot, so that requests notice that they were cut. */
  std::uint64_t m_generation = 0;
  bool m_isDown = false;
  std::set<std::uint64_t> m_connections;
  std::size_t m_maxConnections = 0;
  int m_running = 0;
  int m_maxRunning = 0;
  int m_slotViolations = 0;
  int m_connectionViolations = 0;
  int m_requests = 0;
  int m_reboots = 0;
  std::map<std::string, int> m_runs;
  std::vector<std::string> m_interrupted;
};

}
