#include "tests/fakes/job_cluster.h"
#include "tests/fakes/quiet_log.h"

#include <catch2/catch.hpp>

#include <string>

using namespace bramleystall;

namespace {

constexpr absl::Duration kStartup = absl::Milliseconds(300);
const std::string kFirstTask = "job1.0.0.0";
const std::string kSecondTask = "job1.0.1.0";

/** Daemon "two" takes over while the second of a job's two tasks runs, and
 * cannot decode the job's progress. */
struct UnreadableProgressFixture
{
  void TakeOver(const std::string& aProgress, absl::Duration aSecondTime)
  {
    m_progress = aProgress;
    m_cluster.m_workers.SetPlanner(
      [aSecondTime](const std::string& aTask, std::int64_t) {
        return FakeRunPlan{ .m_time = aTask == kSecondTask
                                        ? aSecondTime
                                        : absl::Milliseconds(300) };
      });
    m_cluster.AddDaemon("one");
    m_cluster.Run(kStartup);
    m_cluster.Submit(JobCluster::MakeJob("job1", 1, 2));
    m_cluster.Run(absl::Seconds(1));
    REQUIRE(m_cluster.m_workers.DoneTasks().contains(kFirstTask));
    m_worker = m_cluster.m_workers.RunningOn(kSecondTask).front();
    m_cluster.KillDaemon("one");
    m_cluster.m_store.Set(m_cluster.m_keys.Progress("job1"), aProgress);
    m_cluster.AddDaemon("two");
  }

  void CheckIsKept()
  {
    CHECK(m_cluster.m_store.Has(m_cluster.m_keys.Job("job1")));
    CHECK(m_cluster.m_store.Value(m_cluster.m_keys.Progress("job1")) ==
          m_progress);
  }

  /** No task has started a second time. */
  void CheckRanOnce()
  {
    CHECK(m_cluster.m_workers.StartCount(kFirstTask) == 1);
    CHECK(m_cluster.m_workers.StartCount(kSecondTask) == 1);
    for (const std::string& broken : m_cluster.m_workers.Violations()) {
      FAIL_CHECK(broken);
    }
  }

  const QuietLog m_quiet;
  JobCluster m_cluster{ 2 };
  std::string m_progress;
  std::string m_worker;
};

const std::string kTruncated = R"({"state":"running","tasks":[[0,0,0,1)";
const std::string kWrongType =
  R"({"state":"running","tasks":[[0,0,0,1,[],""],7],"workers":["worker-0"]})";
const std::string kUnknownState =
  R"({"state":"odd","tasks":[[0,0,0,1,[],""],[0,1,0,1,[],""]]})";

}

// Guards against a job whose progress cannot be decoded: its tasks started
// again, though they had ended or still ran on a worker that the new owner
// could not reach, and the progress was overwritten (rule TWICE, issue 34).
TEST_CASE_METHOD(UnreadableProgressFixture,
                 "No task starts of a job whose progress is unreadable",
                 "[takeover]")
{
  TakeOver(GENERATE(kTruncated, kWrongType, kUnknownState), absl::Seconds(60));
  const bool isReachable = GENERATE(true, false);
  if (!isReachable) {
    m_cluster.At("two").m_workers.m_unreachableWorkers = { m_worker };
    m_cluster.UnlistWorker(m_worker);
  }
  m_cluster.Submit(JobCluster::MakeJob("job2", 2, 1));
  m_cluster.Run(absl::Seconds(30));
  REQUIRE(m_cluster.Owner() == "two");
  CheckRanOnce();
  CheckIsKept();
  CHECK(m_cluster.m_workers.RunningOn(kSecondTask).size() ==
        (isReachable ? 1 : 0));
  CHECK(m_cluster.State("job2") == "completed");
}

// Guards against a job that can never be removed, or goes on running, because
// its progress cannot be decoded.
TEST_CASE_METHOD(UnreadableProgressFixture,
                 "A job whose progress is unreadable can be cancelled",
                 "[takeover]")
{
  TakeOver(GENERATE(kTruncated, kUnknownState), absl::Seconds(60));
  const bool isCancelledBefore = GENERATE(true, false);
  if (!isCancelledBefore) {
    m_cluster.Run(absl::Seconds(5));
    REQUIRE(m_cluster.Owner() == "two");
    CheckIsKept();
  }
  m_cluster.CancelJob("job1");
  m_cluster.Run(absl::Seconds(8));
  CHECK(m_cluster.State("job1") == "cancelled");
  CHECK(m_cluster.m_workers.RunningOn(kSecondTask).empty());
  CHECK_FALSE(m_cluster.m_store.Has(m_cluster.m_keys.Job("job1")));
  CHECK_FALSE(m_cluster.m_store.Has(m_cluster.m_keys.Progress("job1")));
  CheckRanOnce();
}

// Guards against a task that is given up or started again, because its end is
// listed while the progress of its job is unreadable (rule TWICE).
TEST_CASE_METHOD(UnreadableProgressFixture,
                 "Ends of a job whose progress is unreadable start nothing",
                 "[takeover]")
{
  TakeOver(GENERATE(kTruncated, kWrongType, kUnknownState), absl::Seconds(6));
  m_cluster.Run(absl::Seconds(12));
  REQUIRE(m_cluster.Owner() == "two");
  CHECK(m_cluster.m_workers.DoneTasks().contains(kSecondTask));
  CheckRanOnce();
  CheckIsKept();
  // Nor does the next owner start it.
  m_cluster.KillDaemon("two");
  m_cluster.AddDaemon("three");
  m_cluster.Run(absl::Seconds(12));
  REQUIRE(m_cluster.Owner() == "three");
  CheckRanOnce();
  CheckIsKept();
}
