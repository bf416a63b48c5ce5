#pragma once

#include "consul/platform_store.h"
#include "consul/writer_hooks.h"
#include "core/order_document.h"

#include <cstddef>
#include <string>

namespace bramleystall {

/** Number of most recent closed orders that the document keeps. */
inline constexpr std::size_t kMaxClosedOrders = 200;
/** New orders are refused while this many are open. */
inline constexpr std::size_t kMaxOpenOrders = 1000;
/**
 * An order that would make the document larger is refused. A value of the store
 * may have 1 MB; the rest is reserved for the progress that the decider writes
 * into the orders.
 */
inline constexpr std::size_t kMaxOrderDocumentBytes = 750'000;

/** Returns a unique order id. It is short because operators type it. */
std::string
NewOrderId();

/**
 * Checks that an order has the names that its kind requires and that no name
 * exceeds the length limit. Throws Error (InvalidInput).
 */
void
CheckOrder(const Order& aOrder);

/** Removes the oldest closed orders beyond kMaxClosedOrders. */
void
PruneClosedOrders(OrderDocument& aDocument);

/** Appends orders to the order document by compare-and-swap. */
class OrderWriter
{
public:
  static constexpr const char* kKey = "bramleystall/orders";

  OrderWriter(PlatformStore& aStore, WriterHooks aHooks);

  /**
   * Appends a pending order. Idempotent: an order whose id is already in the
   * document is not added again, so a caller may repeat the call. Throws Error:
   * InvalidInput, Conflict (the id belongs to a different order, the document
   * is full, or all attempts lost against other writers), Unavailable (nothing
   * was written), OutcomeUnknown.
   */
  void Append(const Order& aOrder);

  /** Reads the document; empty when the key does not exist. Throws Error. */
  OrderDocument Read();

private:
  /**
   * Makes one attempt. Returns true when the order is in the document; sets
   * aMaybeWritten when the outcome of the write is unknown.
   */
  bool TryAppend(const Order& aOrder, bool& aMaybeWritten);

  PlatformStore& m_store;
  WriterHooks m_hooks;
};

}
