#include "consul/order_writer.h"
#include "core/error.h"
#include "tests/fakes/fake_platform_store.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <algorithm>

using namespace bramleystall;

namespace {

class OrderWriterFixture
{
public:
  FakePlatformStore m_store;
  int m_tokens = 0;

  OrderWriter MakeWriter()
  {
    return { m_store,
             { [] { return absl::FromUnixSeconds(1); },
               [](absl::Duration) {},
               [this] { return absl::StrCat("w", ++m_tokens); } } };
  }
};

Order
MakeDrain(const std::string& aId, const std::string& aVm)
{
  Order order;
  order.m_id = aId;
  order.m_vm = aVm;
  order.m_operator = "ana";
  return order;
}

ErrorCode
CodeOf(OrderWriter& aWriter, const Order& aOrder)
{
  try {
    aWriter.Append(aOrder);
  } catch (const Error& error) {
    return error.Code();
  }
  FAIL("no error was thrown");
  return ErrorCode::Internal;
}

}

// Guards against a concurrent write by another operator removing an order.
TEST_CASE_METHOD(OrderWriterFixture,
                 "Concurrent orders are both kept",
                 "[platform]")
{
  auto writer = MakeWriter();
  m_store.SetCallHook([this](const std::string& aName) {
    if (aName == "write") {
      m_store.SetCallHook(nullptr);
      MakeWriter().Append(MakeDrain("o2", "vm2"));
    }
  });
  writer.Append(MakeDrain("o1", "vm1"));
  const OrderDocument document = writer.Read();
  REQUIRE(document.m_orders.size() == 2);
  CHECK(document.m_orders[0].m_id == "o2");
  CHECK(document.m_orders[1].m_id == "o1");
  CHECK(document.m_revision == 2);
}

// Guards against draining a VM twice because a response was lost.
TEST_CASE_METHOD(OrderWriterFixture,
                 "A repeated order has no second effect",
                 "[platform]")
{
  auto writer = MakeWriter();
  m_store.LoseWriteResponses(1);
  writer.Append(MakeDrain("o1", "vm1"));
  writer.Append(MakeDrain("o1", "vm1"));
  CHECK(writer.Read().m_orders.size() == 1);
  CHECK(m_store.CallCount("write") == 1);
  m_store.LoseWriteRequests(2);
  writer.Append(MakeDrain("o2", "vm2"));
  CHECK(writer.Read().m_orders.size() == 2);
  CHECK(CodeOf(writer, MakeDrain("o1", "vm9")) == ErrorCode::Conflict);
}

// Guards against a repeated request that reopens a closed order.
TEST_CASE_METHOD(OrderWriterFixture,
                 "A repeated order keeps the progress of the first",
                 "[platform]")
{
  auto writer = MakeWriter();
  OrderDocument document;
  document.m_orders = { MakeDrain("o1", "vm1") };
  document.m_orders[0].m_state = OrderState::Done;
  m_store.Put(OrderWriter::kKey, document.Serialize());
  writer.Append(MakeDrain("o1", "vm1"));
  CHECK(writer.Read().m_orders[0].m_state == OrderState::Done);
}

// Guards against a document that exceeds the store's limit for a value, and
// against the removal of open orders.
TEST_CASE_METHOD(OrderWriterFixture,
                 "Old closed orders are removed",
                 "[platform]")
{
  OrderDocument document;
  for (int i = 0; i < 250; ++i) {
    document.m_orders.push_back(MakeDrain(absl::StrCat("o", i), "vm"));
    document.m_orders.back().m_state =
      i == 0 ? OrderState::Running : OrderState::Done;
  }
  m_store.Put(OrderWriter::kKey, document.Serialize());
  auto writer = MakeWriter();
  writer.Append(MakeDrain("new", "vm"));
  const OrderDocument after = writer.Read();
  CHECK(after.m_orders.size() == kMaxClosedOrders + 2);
  CHECK(after.m_orders[0].m_id == "o0");
  CHECK(after.m_orders[1].m_id == "o50");
  CHECK(after.m_orders.back().m_id == "new");
}

// Guards against more open orders than a value of the store can hold.
TEST_CASE_METHOD(OrderWriterFixture,
                 "Too many open orders are refused",
                 "[platform]")
{
  OrderDocument document;
  for (std::size_t i = 0; i < kMaxOpenOrders; ++i) {
    document.m_orders.push_back(MakeDrain(absl::StrCat("o", i), "vm"));
  }
  m_store.Put(OrderWriter::kKey, document.Serialize());
  auto writer = MakeWriter();
  CHECK(CodeOf(writer, MakeDrain("new", "vm")) == ErrorCode::Conflict);
}

// Guards against an order document so large that the store rejects the
// decider's next write, so that the progress of orders could not be recorded.
TEST_CASE_METHOD(OrderWriterFixture,
                 "Large orders leave space for the decider's writes",
                 "[platform]")
{
  OrderDocument document;
  for (std::size_t i = 0; i < kMaxOpenOrders - 100; ++i) {
    document.m_orders.push_back(
      MakeDrain(absl::StrCat("o", i), std::string(253, 'v')));
    document.m_orders.back().m_pool = std::string(253, 'p');
    document.m_orders.back().m_wave = std::string(253, 'w');
  }
  m_store.Put(OrderWriter::kKey, document.Serialize());
  auto writer = MakeWriter();
  CHECK(CodeOf(writer, MakeDrain("new", "vm")) == ErrorCode::Conflict);
  document.m_orders.resize(10);
  m_store.Put(OrderWriter::kKey, document.Serialize());
  Order order = MakeDrain("new", "vm");
  order.m_detail = std::string(60'000, 'd');
  order.m_state = OrderState::Done;
  writer.Append(order);
  CHECK(writer.Read().m_orders.back().m_detail.empty());
  CHECK(writer.Read().m_orders.back().m_state == OrderState::Pending);
}

// Guards against an order that is reported as not written although it may run.
TEST_CASE_METHOD(OrderWriterFixture,
                 "An outage is reported by what may have happened to an order",
                 "[platform]")
{
  auto writer = MakeWriter();
  m_store.SetDown(true);
  CHECK(CodeOf(writer, MakeDrain("o1", "vm1")) == ErrorCode::Unavailable);
  m_store.SetDown(false);
  m_store.LoseWriteResponses(1);
  int gets = 0;
  m_store.SetCallHook([&](const std::string& aName) {
    gets += aName == "get" ? 1 : 0;
    if (gets == 2) {
      m_store.SetCallHook(nullptr);
      m_store.SetDown(true);
    }
  });
  CHECK(CodeOf(writer, MakeDrain("o1", "vm1")) == ErrorCode::OutcomeUnknown);
}

// Guards against an order without the VM, pool, wave or operator that its kind
// requires.
TEST_CASE("Orders need the names that their kind requires", "[platform]")
{
  Order order = MakeDrain("o1", "");
  CHECK_THROWS_WITH(CheckOrder(order), Catch::Contains("/vm: missing"));
  order.m_vm = std::string(300, 'v');
  CHECK_THROWS_WITH(CheckOrder(order), Catch::Contains("at most 253"));
  order.m_vm = "vm1";
  CHECK_NOTHROW(CheckOrder(order));
  order.m_kind = OrderKind::Move;
  CHECK_THROWS_WITH(CheckOrder(order), Catch::Contains("/pool: missing"));
  order.m_kind = OrderKind::CancelWave;
  CHECK_THROWS_WITH(CheckOrder(order), Catch::Contains("/wave: missing"));
  order.m_kind = OrderKind::Wave;
  CHECK_NOTHROW(CheckOrder(order));
  order.m_operator = "";
  CHECK_THROWS_WITH(CheckOrder(order), Catch::Contains("/operator: missing"));
  CHECK(NewOrderId() != NewOrderId());
}
