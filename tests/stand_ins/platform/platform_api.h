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

/** Fault switches of the platform stand-in. */
struct PlatformFaults
{
  /** Closes each connection without a response and without effect. */
  bool m_isDown = false;
  absl::Duration m_delay;
  /** Number of writes that take effect without a response. */
  int m_lostWriteResponses = 0;
  bool m_cutsWatches = false;
  absl::Duration m_listLag;
};

/** Routes the HTTP calls of the stand-in to its state and applies faults. */
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
  bool TakeLostResponse(const StandInRequest& aRequest);

  PlatformState& m_state;
  absl::Duration m_rebootTime;
  mutable std::mutex m_mutex;
  PlatformFaults m_faults;
  std::map<std::string, std::uint64_t> m_calls;
};

}
