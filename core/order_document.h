#pragma once

#include "core/enum_names.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bramleystall {

enum class OrderKind
{
  /** Takes a VM out of service for maintenance. */
  Drain,
  /** Moves a VM to another pool. */
  Move,
  /** Maintains every VM of a pool, or of all pools. */
  Wave,
  /** Stops a wave; VMs that are already draining finish. */
  CancelWave,
  /** Returns a VM that was set aside to service. */
  Restore,
};

inline constexpr EnumNames<OrderKind, 5> kOrderKindNames = { {
  { OrderKind::Drain, "drain" },
  { OrderKind::Move, "move" },
  { OrderKind::Wave, "wave" },
  { OrderKind::CancelWave, "cancel_wave" },
  { OrderKind::Restore, "restore" },
} };

enum class OrderState
{
  Pending,
  Running,
  /** A wave that waits until the capacity margin suffices. */
  Paused,
  Done,
  Refused,
};

inline constexpr EnumNames<OrderState, 5> kOrderStateNames = { {
  { OrderState::Pending, "pending" },
  { OrderState::Running, "running" },
  { OrderState::Paused, "paused" },
  { OrderState::Done, "done" },
  { OrderState::Refused, "refused" },
} };

/** Order of an operator. */
struct Order
{
  /** Unique id; a wave's id is the id of its order. */
  std::string m_id;
  OrderKind m_kind = OrderKind::Drain;
  /** VM for Drain, Move and Restore. */
  std::string m_vm;
  /** Pool to move to, pool to maintain (empty for all). */
  std::string m_pool;
  /** Wave that CancelWave stops. */
  std::string m_wave;
  std::string m_operator;
  std::int64_t m_createdMillis = 0;
  OrderState m_state = OrderState::Pending;
  /** Reason for the state of the order, in one sentence. */
  std::string m_detail;

  bool IsOpen() const
  {
    return m_state != OrderState::Done && m_state != OrderState::Refused;
  }
};

/** All orders, stored under one key. */
struct OrderDocument
{
  std::uint64_t m_revision = 0;
  std::string m_writerToken;
  std::vector<Order> m_orders;

  /** Parses the JSON form. Throws Error (InvalidInput). */
  static OrderDocument Parse(const std::string& aJson);

  /** The JSON form, as the store holds it. */
  std::string Serialize() const;
};

/** Parses one order from JSON text. Throws Error (InvalidInput). */
Order
ParseOrder(const std::string& aJson);

/** JSON text of one order. */
std::string
SerializeOrder(const Order& aOrder);

}
