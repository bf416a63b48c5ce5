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
    m_delayed.m_delays = [this](WorkerOrderKind aKind) {
      return DelayOf(aKind);
    };
  }

  OrderDelays DelayOf(WorkerOrderKind aKind)
  {
    if (aKind != WorkerOrderKind::Renewal) {
      return { .m_response = absl::Milliseconds(150) };
    }
    ++m_renewals;
    return m_renewals == 1 ? m_firstDelays : m_laterDelays;
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
  OrderDelays m_firstDelays{ .m_request = absl::Milliseconds(200) };
  OrderDelays m_laterDelays{ .m_response = absl::Milliseconds(300) };
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

// Guards against another worker's answer at the address, from before the worker
// used it, that ends the worker's tasks (rule TWICE).
TEST_CASE_METHOD(OvertakingRenewals,
                 "A refusal of another worker that was overtaken ends no task",
                 "[scheduler]")
{
  m_firstDelays = {};
  m_laterDelays = {};
  m_scheduler->OnWorkerReport(JobCluster::MakeReport(1));
  m_loop.AdvanceBy(absl::Milliseconds(50));
  m_renewals = 0;
  m_firstDelays = { .m_response = absl::Milliseconds(300) };
  m_gateway.m_takenAddresses = { JobCluster::MakeReport(0).m_address };
  RunUntilRenewals(1);
  m_gateway.m_takenAddresses.clear();
  m_loop.AdvanceBy(absl::Seconds(1));
  CHECK(m_workers.StartCount("watched.0.0.0") == 1);
  CHECK(m_workers.Violations().empty());
}
