#include "tests/fakes/scheduler_fixture.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <string>

using namespace bramleystall;

namespace {

/** Longer than the time for which an incarnation of a worker is known. */
constexpr absl::Duration kResponseDelay = absl::Milliseconds(400);

/** A worker that runs a short task to its end and a long one. */
struct LateResponses : SchedulerFixture
{
  LateResponses()
  {
    m_workers.SetPlanner([](const std::string& aTask, std::int64_t) {
      return FakeRunPlan{ .m_time = aTask.starts_with("short")
                                      ? absl::Milliseconds(100)
                                      : absl::Minutes(2) };
    });
    StartScheduler();
    m_scheduler->OnWorkerReport(JobCluster::MakeReport(0));
    m_scheduler->OnWorkersListed();
    m_loop.AdvanceBy(absl::Milliseconds(300));
    Submit(JobCluster::MakeJob("long", 1, 1));
    Submit(JobCluster::MakeJob("short1", 1, 1));
    m_loop.AdvanceBy(absl::Seconds(1));
    REQUIRE(m_workers.DoneTasks().contains("short1.0.0.0"));
  }

  void DelayRenewals(absl::Duration aTime)
  {
    m_delayed.m_delays = [aTime](WorkerOrderKind aKind) {
      return aKind == WorkerOrderKind::Renewal
               ? OrderDelays{ .m_response = aTime }
               : OrderDelays{};
    };
  }
};

}

// Guards against ends of a restarted worker that are dropped, because a frozen
// daemon takes a response that it reads late for a new one (rule TWICE).
TEST_CASE_METHOD(LateResponses,
                 "A response that is read late acknowledges no ends",
                 "[scheduler]")
{
  REQUIRE(m_gateway.m_renewals.back().m_lastRecordedEnd == 1);
  DelayRenewals(kResponseDelay);
  m_loop.AdvanceBy(absl::Seconds(2));
  m_gateway.m_renewals.clear();
  m_loop.AdvanceBy(absl::Seconds(3));
  REQUIRE(m_gateway.m_renewals.size() >= 2);
  for (const LeaseOrder& order : m_gateway.m_renewals) {
    CHECK(order.m_lastRecordedEnd == 0);
  }
}

// Guards against a start by an owner without the store's lease on a worker that
// may have restarted since it responded (rule TWICE).
TEST_CASE_METHOD(LateResponses,
                 "An owner cut off from the store needs a new response",
                 "[scheduler]")
{
  m_holdsLease = false;
  DelayRenewals(kResponseDelay);
  m_loop.AdvanceBy(absl::Seconds(2));
  m_gateway.m_starts.clear();
  Submit(JobCluster::MakeJob("short2", 1, 1));
  m_loop.AdvanceBy(absl::Seconds(2));
  CHECK(m_gateway.m_starts.empty());
  DelayRenewals(absl::ZeroDuration());
  m_loop.AdvanceBy(absl::Seconds(2));
  CHECK(m_workers.DoneTasks().contains("short2.0.0.0"));
}

// Guards against ends that are never acknowledged to a worker whose clock is
// slow and which holds its responses, so that its list of ends grows.
TEST_CASE_METHOD(LateResponses,
                 "Ends are acknowledged to a worker with a slow clock",
                 "[scheduler]")
{
  m_workers.SetClockRate(0.98);
  for (int i = 2; i < 6; ++i) {
    Submit(JobCluster::MakeJob(absl::StrCat("short", i), 1, 1));
    m_loop.AdvanceBy(absl::Seconds(15));
    CHECK_FALSE(m_workers.HasUnrecordedEnd("worker-0", 0));
  }
}

// Guards against small differences of the clocks' rates that add up until an
// old response counts as a new one.
TEST_CASE_METHOD(LateResponses,
                 "A clock that runs slightly fast makes no response newer",
                 "[scheduler]")
{
  m_workers.SetPlanner([](const std::string&, std::int64_t) {
    return FakeRunPlan{ .m_isLongRunning = true };
  });
  JobRecord record = JobCluster::MakeJob("job1", 1, 1);
  record.m_steps.front().m_isLongRunning = true;
  Submit(record);
  m_workers.SetClockRate(1.0005);
  m_loop.AdvanceBy(absl::Minutes(20));
  DelayRenewals(kResponseDelay);
  m_loop.AdvanceBy(absl::Seconds(5));
  REQUIRE(m_gateway.m_renewals.back().m_lastRecordedEnd == 0);
}
