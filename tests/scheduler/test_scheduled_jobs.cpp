#include "tests/fakes/job_cluster.h"
#include "tests/fakes/quiet_log.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <catch2/catch.hpp>

using namespace bramleystall;

// Guards against an occurrence that runs again or never when the owner changes
// after its tasks were dropped from memory (rules TWICE and LOST).
TEST_CASE("Each occurrence of a scheduled job runs once over owners",
          "[scheduler]")
{
  const QuietLog quiet;
  const int killAfterMs = GENERATE(range(100, 1600, 150));
  INFO("owner killed after " << killAfterMs << " ms");
  constexpr int kRepeats = 60;
  JobCluster cluster(2);
  cluster.m_workers.SetPlan({ .m_time = absl::Milliseconds(200) });
  cluster.AddDaemon("one");
  cluster.Run(absl::Milliseconds(300));
  JobRecord job = JobCluster::MakeJob("job1", 2, 2);
  job.m_repeats = kRepeats;
  job.m_firstDueMs = absl::ToUnixMillis(absl::Now()) - 1000;
  job.m_intervalMs = 1;
  cluster.Submit(job);
  cluster.Run(absl::Milliseconds(killAfterMs));
  cluster.KillDaemon("one");
  cluster.AddDaemon("two");
  cluster.Run(absl::Seconds(60));
  CHECK(cluster.State("job1") == "completed");
  CHECK(cluster.m_workers.StartCount() == kRepeats * 2 * 2);
  for (const std::string& broken : cluster.m_workers.Violations()) {
    FAIL_CHECK(broken);
  }
}
