#include "admission/request_budget.h"

#include <catch2/catch.hpp>

#include <random>

using namespace bramleystall;

namespace {

using Ids = std::vector<RequestBudget::Id>;

absl::Time
At(double aSeconds)
{
  return absl::UnixEpoch() + absl::Seconds(aSeconds);
}

}

// Guards against limits that leave a process of the smallest VM no memory for
// its jobs or no descriptors for its store and workers.
TEST_CASE("The limits follow from the settings of a process",
          "[request_budget]")
{
  const auto smallest = RequestBudgetLimits::ForProcess(160, 4100);
  CHECK(smallest.m_bytes == std::size_t{ 40 } << 20U);
  CHECK(smallest.m_connections == 1950);
  CHECK(RequestBudgetLimits::ForProcess(512, 8192).m_connections == 2000);
  CHECK(RequestBudgetLimits::ForProcess(64, 300).m_connections == 50);
  CHECK(RequestBudgetLimits::ForProcess(64, 100).m_connections == 1);
}

// Guards against an eviction of a small new request instead of the large one
// that has been incomplete for long.
TEST_CASE("The slowest and largest requests are evicted first",
          "[request_budget]")
{
  RequestBudget budget({ .m_bytes = 1000, .m_connections = 10 });
  budget.Open(1, 100, At(0));
  budget.Open(2, 100, At(0));
  budget.Open(3, 300, At(6));
  budget.Resize(2, 400, At(1));
  // Bytes times age at 10 s: 1000, 4000, 1200.
  const auto decision = budget.Open(4, 600, At(10));
  CHECK(decision.m_isAdmitted);
  CHECK(decision.m_evicted == Ids{ 2 });
  CHECK(budget.Bytes() == 1000);
  const auto next = budget.Open(5, 250, At(10));
  CHECK(next.m_evicted == Ids{ 3 });
  CHECK(budget.Connections() == 3);
}

// Guards against a flood of connections without data that keeps others out.
TEST_CASE("A connection beyond the limit evicts the oldest one",
          "[request_budget]")
{
  RequestBudget budget({ .m_bytes = 1000, .m_connections = 2 });
  budget.Open(1, 10, At(0));
  budget.Open(2, 10, At(1));
  const auto decision = budget.Open(3, 10, At(2));
  CHECK(decision.m_isAdmitted);
  CHECK(decision.m_evicted == Ids{ 1 });
}

// Guards against a request whose response is lost because its connection was
// closed, although it was read completely and may run.
TEST_CASE("A request that waits for its response is not evicted",
          "[request_budget]")
{
  RequestBudget budget({ .m_bytes = 100, .m_connections = 2 });
  budget.Open(1, 60, At(0));
  budget.Complete(1);
  budget.Open(2, 30, At(8));
  const auto decision = budget.Open(3, 40, At(9));
  CHECK(decision.m_evicted == Ids{ 2 });
  CHECK(budget.HasRoomFor(3, 0));
  CHECK_FALSE(budget.HasRoomFor(3, 1));
  budget.Complete(3);
  const auto refused = budget.Open(4, 1, At(10));
  CHECK_FALSE(refused.m_isAdmitted);
  CHECK(refused.m_evicted.empty());

  // The response frees the bytes, and the idle connection may be evicted.
  budget.FinishRequest(1, 10, At(11));
  CHECK(budget.Bytes() == 50);
  CHECK(budget.Open(4, 60, At(12)).m_evicted == Ids{ 1 });
}

// Guards against a request that grows at the cost of better behaved ones.
TEST_CASE("A growing request may be evicted itself", "[request_budget]")
{
  RequestBudget budget({ .m_bytes = 100, .m_connections = 5 });
  budget.Open(1, 10, At(0));
  budget.Open(2, 50, At(0));
  const auto decision = budget.Resize(2, 95, At(1));
  CHECK_FALSE(decision.m_isAdmitted);
  CHECK(decision.m_evicted == Ids{ 2 });
  CHECK(budget.Bytes() == 10);
  // Nothing else can make room for a request that is larger than the budget.
  const auto tooLarge = budget.Resize(1, 200, At(2));
  CHECK_FALSE(tooLarge.m_isAdmitted);
  CHECK(tooLarge.m_evicted == Ids{ 1 });
  CHECK(budget.Connections() == 0);
}

// Guards against a later request of a connection that inherits the age of the
// first one, and against one that never ends.
TEST_CASE("Incomplete requests and idle connections end in time",
          "[request_budget]")
{
  RequestBudget budget({ .m_bytes = 100, .m_connections = 5 });
  budget.Open(1, 10, At(0));
  budget.Open(2, 10, At(0));
  budget.Open(3, 10, At(0));
  budget.Complete(2);
  budget.FinishRequest(2, 10, At(10));
  budget.BeginRequest(2, At(25));
  budget.BeginRequest(3, At(25));
  budget.Complete(3);
  const auto limit = absl::Seconds(30);
  CHECK(budget.EvictOverdue(limit, limit, At(29)).empty());
  CHECK(budget.EvictOverdue(limit, limit, At(30)) == Ids{ 1 });
  CHECK(budget.EvictOverdue(limit, limit, At(54)).empty());
  CHECK(budget.EvictOverdue(limit, limit, At(55)) == Ids{ 2 });
  CHECK(budget.EvictOverdue(limit, limit, At(500)).empty());
}

// Guards against sums that drift from what the connections hold, which would
// end in refusals or in too much memory, over long random histories.
TEST_CASE("The budget is never exceeded and ends empty", "[request_budget]")
{
  std::mt19937 random(7);
  const auto pick = [&random](int aMax) {
    return std::uniform_int_distribution<int>(0, aMax)(random);
  };
  const RequestBudgetLimits limits{ .m_bytes = 5000, .m_connections = 20 };
  RequestBudget budget(limits);
  for (int step = 0; step < 20'000; ++step) {
    const absl::Time now = At(step * 0.01);
    const auto id = static_cast<RequestBudget::Id>(pick(40));
    const auto bytes = static_cast<std::size_t>(pick(900));
    switch (pick(6)) {
      case 0:
        budget.Close(id);
        budget.Open(id, bytes, now);
        break;
      case 1:
        budget.Resize(id, bytes, now);
        break;
      case 2:
        budget.Complete(id);
        break;
      case 3:
        budget.FinishRequest(id, std::min<std::size_t>(bytes, 100), now);
        break;
      case 4:
        budget.BeginRequest(id, now);
        break;
      case 5:
        budget.BeginResponse(id, bytes, now);
        break;
      default:
        budget.EvictOverdue(absl::Seconds(30), absl::Seconds(30), now);
    }
    REQUIRE(budget.Connections() <= limits.m_connections);
    REQUIRE(budget.Bytes() <= limits.m_bytes);
  }
  for (RequestBudget::Id id = 0; id <= 40; ++id) {
    budget.Close(id);
  }
  CHECK(budget.Bytes() == 0);
  CHECK(budget.Connections() == 0);
}

// Guards against responses that their clients do not read, and that no limit
// counts.
TEST_CASE("A response that is not read is evicted or overdue",
          "[request_budget]")
{
  RequestBudget budget({ .m_bytes = 1000, .m_connections = 10 });
  budget.Open(1, 100, At(0));
  budget.Complete(1);
  CHECK(budget.BeginResponse(1, 600, At(1)).m_isAdmitted);
  budget.Open(2, 100, At(1));
  budget.Complete(2);
  CHECK(budget.BeginResponse(2, 300, At(2)).m_isAdmitted);
  budget.Open(3, 100, At(3));
  CHECK(budget.Bytes() == 1000);
  const auto decision = budget.Resize(3, 200, At(4));
  CHECK(decision.m_isAdmitted);
  CHECK(decision.m_evicted == Ids{ 1 });
  CHECK(
    budget.EvictOverdue(absl::Seconds(30), absl::Seconds(30), At(32)).size() ==
    1);
  CHECK(budget.Bytes() == 200);
  // A response that alone is too large is not sent.
  budget.Complete(3);
  CHECK_FALSE(budget.BeginResponse(3, 1001, At(33)).m_isAdmitted);
  CHECK(budget.Bytes() == 0);
}
