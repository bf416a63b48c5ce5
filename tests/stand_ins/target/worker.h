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

/** Name, limits and service time of a worker. */
struct WorkerSettings
{
  std::string m_vm;
  /** Limit of requests that run at the same time. */
  int m_slots = 8;
  /** Limit of open connections. */
  int m_connections = 64;
  /** Run time of a request that does not set its own. */
  absl::Duration m_serviceTime;
};

/** Faults that a test has switched on in a worker. */
struct WorkerFaults
{
  /** Requests and health checks wait until the fault is cleared. */
  bool m_isFrozen = false;
  /** New connections are refused; open connections stay usable. */
  bool m_refuses = false;
  /** Each request fails with status 500 at once; health checks fail too. */
  bool m_failsAll = false;
  /** The connection is closed without a response once a request started. */
  bool m_closesAfterRead = false;
  /** Responses have the full Content-Length but half of the body. */
  bool m_truncates = false;
  /** Time from the end of a request's run to its response. */
  absl::Duration m_responseDelay;
  /** Whether the faults stay switched on after a reboot. */
  bool m_survivesReboot = false;
};

/**
 * Worker of the target stand-in: runs requests, applies faults and records what
 * ran. Thread-safe.
 */
class Worker
{
public:
  explicit Worker(const WorkerSettings& aSettings);

  /** Returns nothing if the connection has to be closed without a response. */
  std::optional<StandInResponse> Handle(const StandInRequest& aRequest);
  void ForgetConnection(std::uint64_t aConnection);

  /** Whether the listening socket should be closed now. */
  bool IsRefusing();
  /** Returns and clears the duration of a requested reboot. */
  std::optional<absl::Duration> TakeReboot();
  /**
   * Starts a reboot: interrupts all requests and rejects new ones until Resume.
   * Clears the faults unless they survive a reboot.
   */
  void Interrupt();
  void Resume();

private:
  std::optional<StandInResponse> HandleControl(const StandInRequest& aRequest);
  void SetFaults(const nlohmann::json& aFaults);
  std::string RecordJson() const;
  void CountConnection(std::uint64_t aConnection);
  void StartRun(const std::string& aId);
  /** Waits for `aTime`; returns false if a reboot interrupts the wait. */
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
  /** Number of the reboot, by which requests notice an interruption. */
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
  /** Number of runs by request id. */
  std::map<std::string, int> m_runs;
  /** Ids of the requests that a reboot interrupted. */
  std::vector<std::string> m_interrupted;
};

}
