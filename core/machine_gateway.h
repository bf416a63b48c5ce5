#pragma once

#include "core/enum_names.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace bramleystall {

enum class MachineState
{
  Up,
  Moving,
  Maintenance,
  Down,
};

inline constexpr EnumNames<MachineState, 4> kMachineStateNames = { {
  { MachineState::Up, "up" },
  { MachineState::Moving, "moving" },
  { MachineState::Maintenance, "upkeep" },
  { MachineState::Down, "down" },
} };

/** A machine as the platform lists it; the list may be out of date. */
struct MachineEntry
{
  std::string m_name;
  std::string m_pool;
  MachineState m_state = MachineState::Down;
  /** Worker that runs on the machine; empty when none does. */
  std::string m_workerId;
  std::vector<std::string> m_labels;
};

enum class MachineOutcome
{
  Accepted,
  StaleFencingToken,
  /** The machine is not up, or it is leaving. */
  Busy,
  /** The machine is not in this wave. */
  NotInWave,
  Invalid,
  /** Too many requests, or the platform is unavailable; nothing was done. */
  Rejected,
  /** No response; the order may be carried out now or later. */
  Unknown,
};

inline constexpr EnumNames<MachineOutcome, 7> kMachineOutcomeNames = { {
  { MachineOutcome::Accepted, "accepted" },
  { MachineOutcome::StaleFencingToken, "stale_fence" },
  { MachineOutcome::Busy, "busy" },
  { MachineOutcome::NotInWave, "not_in_wave" },
  { MachineOutcome::Invalid, "invalid" },
  { MachineOutcome::Rejected, "rejected" },
  { MachineOutcome::Unknown, "unknown" },
} };

/** Holder of the right to send orders to machines, with its fencing token. */
struct MachineAuthority
{
  std::string m_holder;
  std::int64_t m_fencingToken = 0;
};

struct MachineListResult
{
  bool m_isComplete = false;
  std::vector<MachineEntry> m_machines;
  std::string m_error;
};

/** Lists the platform's machines and sends orders to them. Each callback runs
 * once, asynchronously, on the event loop. */
class MachineGateway
{
public:
  using ListCallback = std::function<void(MachineListResult)>;
  using OrderCallback = std::function<void(MachineOutcome)>;

  virtual ~MachineGateway() = default;

  virtual void List(ListCallback aCallback) = 0;

  /** Stops everything that runs on the machine and moves it to another pool. */
  virtual void Move(const std::string& aMachine,
                    const std::string& aPool,
                    const MachineAuthority& aAuthority,
                    OrderCallback aCallback) = 0;

  /** Stops everything that runs on the machine and maintains it. */
  virtual void Maintain(const std::string& aMachine,
                        std::int64_t aWave,
                        const MachineAuthority& aAuthority,
                        OrderCallback aCallback) = 0;
};

}
