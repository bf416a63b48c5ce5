#pragma once

#include "consul/platform_store.h"
#include "consul/writer_hooks.h"
#include "core/order_document.h"

#include <cstddef>
#include <string>

namespace bramleystall {

/** Number of closed orders that the document keeps. */
inline constexpr std::size_t kMaxClosedOrders = 200;
/** Open orders beyond this are refused. */
inline constexpr std::size_t kMaxOpenOrders = 1000;
/** A document that would be larger is refused. The store holds 1 MB; the rest
 * is for what the decider writes into the orders. */
inline constexpr std::size_t kMaxOrderDocumentBytes = 750'000;

/** Unique id of an order; short, since operators type it. */
std::string
NewOrderId();

/**
 * Checks that an order has the names that its kind needs and no unreasonably
 * long text. Throws Error (InvalidInput).
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
   * Appends a pending order. An order whose id is already there is not added
   * again, so a caller may repeat it. Throws Error: InvalidInput, Conflict
   * (the id belongs to a different order, or other writers kept winning),
   * Unavailable (nothing was written), OutcomeUnknown.
   */
  void Append(const Order& aOrder);

  /** The document; empty when no order was ever written. Throws Error. */
  OrderDocument Read();

private:
  /** One attempt; true when the order is in the document. */
  bool TryAppend(const Order& aOrder, bool& aMaybeWritten);

  PlatformStore& m_store;
  WriterHooks m_hooks;
};

}
