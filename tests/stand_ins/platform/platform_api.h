#pragma once

#include "tests/stand_ins/platform/platform_state.h"
#include "tests/stand_ins/stand_in_server.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace bramleystall {

/** Faults that a test has switched on in the platform stand-in. */
struct PlatformFaults
{
  /** Each call has no effect, and its connection closes without a response. */
  bool m_isDown = false;
  /** Delay before each call takes effect. */
  absl::Duration m_delay;
  /** Number of further writes that take effect but have no response. */
  int m_lostWriteResponses = 0;
  /** Closes the connections of watches without a response. */
  bool m_cutsWatches = false;
  /** Age of the VM list. */
  absl::Duration m_listLag;
};

/**
 * Routes the HTTP calls of the stand-in to its state and applies faults.
 * Thread-safe.
 */
class PlatformApi
{
public:
  PlatformApi(PlatformState& aState,
              absl::Duration aListLag,
              absl::Duration aRebootTime);

  std::optional<StandInResponse> Handle(const StandInRequest& aRequest);

private:
  std::optional<StandInResponse> HandleControl(const StandInRequest& aRequest);
  StateResult Route(const StandInRequest& aRequest);
  StateResult RouteKey(const StandInRequest& aRequest);
  StateResult RouteSession(const StandInRequest& aRequest);
  StateResult Reboot(const StandInRequest& aRequest);
  void RunReboot(const std::string& aVm);
  void SetFaults(const nlohmann::json& aFaults);
  PlatformFaults Faults() const;
  void CountCall(const StandInRequest& aRequest);
  /** Whether the response has to be lost; counts it if so. */
  bool TakeLostResponse(const StandInRequest& aRequest);

  PlatformState& m_state;
  absl::Duration m_rebootTime;
  mutable std::mutex m_mutex;
  PlatformFaults m_faults;
  /** Number of calls by kind. */
  std::map<std::string, std::uint64_t> m_calls;
};

}
