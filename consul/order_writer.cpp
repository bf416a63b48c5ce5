#include "consul/order_writer.h"

#include "core/error.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace bramleystall {

namespace {

/**
 * The decider and other operators write the same document, so several conflicts
 * in a row are normal.
 */
constexpr int kMaxAttempts = 12;
constexpr std::size_t kMaxNameLength = 253;
constexpr int kOrderIdDigits = 12;

void
RequireName(const std::string& aValue, const char* aField, OrderKind aKind)
{
  if (!aValue.empty()) {
    return;
  }
  throw Error(ErrorCode::InvalidInput,
              absl::StrCat("order: /",
                           aField,
                           ": missing, expected a name for kind ",
                           std::string(NameOf(kOrderKindNames, aKind))));
}

void
RequireMaxLength(const std::string& aValue, const char* aField)
{
  if (aValue.size() <= kMaxNameLength) {
    return;
  }
  throw Error(ErrorCode::InvalidInput,
              absl::StrCat("order: /",
                           aField,
                           ": text of ",
                           aValue.size(),
                           " bytes, expected at most ",
                           kMaxNameLength));
}

void
RequireCapacity(bool aHasCapacity, std::ptrdiff_t aOpen)
{
  if (!aHasCapacity) {
    throw Error(ErrorCode::Conflict,
                absl::StrCat("the order document is full, ",
                             aOpen,
                             " orders are open; wait until some are done"));
  }
}

/** Whether two orders have the same request; their progress may differ. */
bool
IsSameRequest(const Order& aLeft, const Order& aRight)
{
  return aLeft.m_kind == aRight.m_kind && aLeft.m_vm == aRight.m_vm &&
         aLeft.m_pool == aRight.m_pool && aLeft.m_wave == aRight.m_wave &&
         aLeft.m_operator == aRight.m_operator;
}

}

std::string
NewOrderId()
{
  return RandomHex(kOrderIdDigits);
}

void
CheckOrder(const Order& aOrder)
{
  RequireName(aOrder.m_id, "id", aOrder.m_kind);
  RequireName(aOrder.m_operator, "operator", aOrder.m_kind);
  RequireMaxLength(aOrder.m_id, "id");
  RequireMaxLength(aOrder.m_operator, "operator");
  RequireMaxLength(aOrder.m_vm, "vm");
  RequireMaxLength(aOrder.m_pool, "pool");
  RequireMaxLength(aOrder.m_wave, "wave");
  switch (aOrder.m_kind) {
    case OrderKind::Drain:
    case OrderKind::Restore:
      RequireName(aOrder.m_vm, "vm", aOrder.m_kind);
      break;
    case OrderKind::Move:
      RequireName(aOrder.m_vm, "vm", aOrder.m_kind);
      RequireName(aOrder.m_pool, "pool", aOrder.m_kind);
      break;
    case OrderKind::CancelWave:
      RequireName(aOrder.m_wave, "wave", aOrder.m_kind);
      break;
    case OrderKind::Wave:
      break;
  }
}

void
PruneClosedOrders(OrderDocument& aDocument)
{
  const auto closed = static_cast<std::size_t>(std::ranges::count_if(
    aDocument.m_orders, [](const Order& aOrder) { return !aOrder.IsOpen(); }));
  if (closed <= kMaxClosedOrders) {
    return;
  }
  std::size_t surplus = closed - kMaxClosedOrders;
  std::erase_if(aDocument.m_orders, [&surplus](const Order& aOrder) {
    if (surplus == 0 || aOrder.IsOpen()) {
      return false;
    }
    --surplus;
    return true;
  });
}

OrderWriter::OrderWriter(PlatformStore& aStore, WriterHooks aHooks)
  : m_store(aStore)
  , m_hooks(std::move(aHooks))
{
}

OrderDocument
OrderWriter::Read()
{
  const auto value = m_store.Get(kKey);
  return value ? OrderDocument::Parse(value->m_value) : OrderDocument{};
}

void
OrderWriter::Append(const Order& aOrder)
{
  CheckOrder(aOrder);
  bool maybeWritten = false;
  for (int attempt = 1; attempt <= kMaxAttempts; ++attempt) {
    try {
      if (TryAppend(aOrder, maybeWritten)) {
        return;
      }
    } catch (const Error& error) {
      if (error.Code() != ErrorCode::Unavailable || !maybeWritten) {
        throw;
      }
    }
    m_hooks.m_sleep(RetryDelay(attempt));
  }
  if (maybeWritten) {
    throw Error(ErrorCode::OutcomeUnknown,
                absl::StrCat("the store stopped responding after order ",
                             aOrder.m_id,
                             " was sent; it may be accepted. Sending the order "
                             "again with the same id has no second effect"));
  }
  throw Error(ErrorCode::Conflict,
              absl::StrCat("order ",
                           aOrder.m_id,
                           " was not written: other writers changed the "
                           "orders ",
                           kMaxAttempts,
                           " times in a row; try again"));
}

bool
OrderWriter::TryAppend(const Order& aOrder, bool& aMaybeWritten)
{
  const auto value = m_store.Get(kKey);
  OrderDocument document =
    value ? OrderDocument::Parse(value->m_value) : OrderDocument{};
  const auto existing =
    std::ranges::find(document.m_orders, aOrder.m_id, &Order::m_id);
  if (existing != document.m_orders.end()) {
    if (IsSameRequest(*existing, aOrder)) {
      return true;
    }
    throw Error(ErrorCode::Conflict,
                absl::StrCat("order id ",
                             aOrder.m_id,
                             " belongs to a different order by ",
                             existing->m_operator));
  }
  const auto open = std::ranges::count_if(document.m_orders, &Order::IsOpen);
  RequireCapacity(static_cast<std::size_t>(open) < kMaxOpenOrders, open);
  document.m_orders.push_back(aOrder);
  // Only the decider writes the progress of an order.
  document.m_orders.back().m_state = OrderState::Pending;
  document.m_orders.back().m_detail.clear();
  PruneClosedOrders(document);
  ++document.m_revision;
  document.m_writerToken = m_hooks.m_makeToken();
  const std::string text = document.Serialize();
  RequireCapacity(text.size() <= kMaxOrderDocumentBytes, open);
  const WriteOutcome outcome = m_store.Write(
    { { kKey, document.Serialize(), value ? value->m_revision : 0 } },
    std::nullopt);
  // After an unknown outcome, the next attempt reads the document and finds the
  // order by its id, also when another writer changed the document since.
  aMaybeWritten = aMaybeWritten || outcome == WriteOutcome::Unknown;
  return outcome == WriteOutcome::Applied;
}

}
