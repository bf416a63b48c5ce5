#pragma once

#include "core/enum_names.h"

#include <cstdint>
#include <string>

namespace bramleystall {

/** States of `charts/vm_lifecycle.json`. */
enum class VmState
{
  Joining,
  Ready,
  Draining,
  Drained,
  Rebooting,
  Probation,
  SetAside,
  Gone,
};

inline constexpr EnumNames<VmState, 8> kVmStateNames = { {
  { VmState::Joining, "joining" },
  { VmState::Ready, "ready" },
  { VmState::Draining, "draining" },
  { VmState::Drained, "drained" },
  { VmState::Rebooting, "rebooting" },
  { VmState::Probation, "probation" },
  { VmState::SetAside, "set_aside" },
  { VmState::Gone, "gone" },
} };

/** Entry of a VM in the fleet document of its data centre. */
struct VmRecord
{
  std::string m_name;
  /** IP address and port of the target, "127.0.0.1:8080". */
  std::string m_address;
  std::string m_rack;
  /** The only pool that the VM belongs to. */
  std::string m_pool;
  VmState m_state = VmState::Joining;
  /** Pool that a draining VM moves to; empty for maintenance. */
  std::string m_targetPool;
  /** Wave that drains the VM; empty outside a wave. */
  std::string m_wave;
  /** Token that makes the reboot request idempotent. */
  std::string m_rebootToken;
  /** Milliseconds since the epoch of the last change of state. */
  std::int64_t m_sinceMillis = 0;
  /** Milliseconds since the epoch of the last finished maintenance, or 0. */
  std::int64_t m_maintainedMillis = 0;
  /** Revision of the fleet document in which the VM started to drain. */
  std::uint64_t m_drainRevision = 0;
  /** Reason of the last change, a name of the planner's reason table. */
  std::string m_reason;
};

}
