#include "tests/fakes/scheduler_fixture.h"

#include <catch2/catch.hpp>

#include <string>

using namespace bramleystall;

namespace {

constexpr absl::Duration kStartup = absl::Milliseconds(300);
/** Time for which a watched worker holds its response. */
constexpr absl::Duration kRenewalWait = absl::Milliseconds(100);

/** Renewals that overtake each other at a worker with a late start. */
struct OvertakingRenewals : SchedulerFixture
{
  OvertakingRenewals()
  {
    m_workers.SetPlan({ .m_time = absl::Seconds(5) });
    StartScheduler();
    m_scheduler->OnWorkerReport(JobCluster::MakeReport(0));
    m_scheduler->OnWorkersListed();
    m_loop.AdvanceBy(kStartup);
    // The worker is watched with several renewals at a time from now on.
    m_client.m_lostStartResponses = 1;
    Submit(JobCluster::MakeJob("watched", 1, 1));
    m_loop.AdvanceBy(absl::Seconds(1));
    m_delayed.m_delays = [this](OrderKind aKind) { return DelayOf(aKind); };
  }

  OrderDelays DelayOf(OrderKind aKind)
  {
    if (aKind != OrderKind::Renewal) {
      return { .m_response = absl::Milliseconds(150) };
    }
    ++m_renewals;
    return m_renewals == 1
             ? OrderDelays{ .m_request = absl::Milliseconds(200) }
             : OrderDelays{ .m_response = absl::Milliseconds(300) };
  }

  void RunUntilRenewals(int aCount)
  {
    for (int i = 0; i < 2000 && m_renewals < aCount; ++i) {
      m_loop.AdvanceBy(absl::Milliseconds(1));
    }
    REQUIRE(m_renewals == aCount);
  }

  /** Number of renewals that were sent with delays. */
  int m_renewals = 0;
};

}

// Guards against a list from before a run began that ends the run, because its
// renewal was sent after the one that showed the run (rule TWICE, issue 34).
TEST_CASE_METHOD(OvertakingRenewals,
                 "A renewal that overtakes an earlier one ends no later run",
                 "[scheduler]")
{
  RunUntilRenewals(1);
  RunUntilRenewals(2);
  m_loop.AdvanceBy(kRenewalWait);
  Submit(JobCluster::MakeJob("job1", 1, 1));
  m_scheduler->OnWorkerReport(JobCluster::MakeReport(1));
  m_loop.AdvanceBy(absl::Milliseconds(110));
  REQUIRE(m_workers.RunningOn("job1.0.0.0").size() == 1);
  m_loop.AdvanceBy(absl::Seconds(4));
  CHECK(m_workers.StartCount("job1.0.0.0") == 1);
  CHECK(m_workers.Violations().empty());
}
