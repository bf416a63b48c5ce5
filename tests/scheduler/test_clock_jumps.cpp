#include "scheduler/steady_time_of_day.h"
#include "tests/fakes/job_cluster.h"
#include "tests/fakes/quiet_log.h"

#include <catch2/catch.hpp>

using namespace bramleystall;

// Guards against an occurrence of a job that starts early while the time of day
// of its owner's machine is ahead (rule ORDER, issue 34).
TEST_CASE("No task starts early while the time of day is ahead", "[scheduler]")
{
  const QuietLog quiet;
  const absl::Duration jump = absl::Seconds(GENERATE(2, 8));
  JobCluster cluster(2);
  const absl::Time day = absl::FromUnixSeconds(1'800'000'000);
  absl::Duration ahead;
  cluster.m_timeOfDay = [&, begin = cluster.m_loop.Now()] {
    return day + (cluster.m_loop.ReadClock() - begin) + ahead;
  };
  cluster.AddDaemon("one");
  cluster.Run(absl::Seconds(1));
  JobRecord record = JobCluster::MakeJob("job1", 1, 1);
  record.m_repeats = 2;
  record.m_firstDueMs = absl::ToUnixMillis(day) + 11'000;
  record.m_intervalMs = 12'000;
  cluster.Submit(record);
  cluster.Run(absl::Seconds(5));
  ahead = jump;
  cluster.Run(absl::Milliseconds(4900));
  CHECK(cluster.m_workers.StartCount() == 0);
  cluster.Run(absl::Milliseconds(500));
  CHECK(cluster.m_workers.StartCount() == 1);
  ahead = absl::ZeroDuration();
  cluster.Run(absl::Milliseconds(11'400));
  CHECK(cluster.m_workers.StartCount() == 1);
  cluster.Run(absl::Milliseconds(1000));
  CHECK(cluster.m_workers.StartCount() == 2);
  CHECK(cluster.State("job1") == "completed");
}

// Guards against a time of day that stays wrong after the clock has been set
// for good, and against one that is ahead after a jump has ended.
TEST_CASE("The time of day follows the clock once it has been set for good",
          "[scheduler]")
{
  SteadyTimeOfDay day;
  const absl::Time begin = absl::FromUnixSeconds(1000);
  const absl::Time wall = absl::FromUnixSeconds(1'800'000'000);
  const auto update = [&](int aSeconds, int aJump) {
    const absl::Duration elapsed = absl::Seconds(aSeconds);
    return day.Update(begin + elapsed, wall + elapsed + absl::Seconds(aJump)) -
           wall - elapsed;
  };
  CHECK(update(0, 0) == absl::ZeroDuration());
  CHECK(update(10, 5) == absl::ZeroDuration());
  CHECK(update(20, 0) == absl::ZeroDuration());
  CHECK(update(30, -5) == absl::Seconds(-5));
  CHECK(update(31, 0) == absl::Seconds(-5));
  CHECK(update(60, 0) == absl::Seconds(-5));
  CHECK(update(61, 0) == absl::ZeroDuration());
  CHECK(update(62, 5) == absl::ZeroDuration());
}
