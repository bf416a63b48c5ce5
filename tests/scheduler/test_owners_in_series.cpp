#include "tests/fakes/job_cluster.h"
#include "tests/fakes/quiet_log.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <string>

using namespace bramleystall;

namespace {

/** Three daemons, and a job with two long-running tasks on three workers. */
struct SeriesFixture
{
  SeriesFixture()
  {
    m_cluster.m_workers.SetPlan({ .m_isLongRunning = true });
    for (const char* name : { "one", "two", "three" }) {
      m_cluster.AddDaemon(name);
    }
    m_cluster.Run(absl::Milliseconds(500));
    JobRecord record = JobCluster::MakeJob("job1", 2, 1);
    record.m_steps.front().m_isLongRunning = true;
    record.m_steps.front().m_maxPerWorker = 1;
    m_cluster.Submit(record);
    m_cluster.Run(absl::Seconds(1));
    m_worker = m_cluster.m_workers.RunningOn(m_task).front();
  }

  /** The owner gives up; runs until another daemon has taken over. */
  std::string ReplaceOwner()
  {
    const std::string owner = m_cluster.Owner();
    m_cluster.At(owner).m_ownership->Resign();
    m_cluster.Run(absl::Milliseconds(20));
    m_cluster.KillDaemon(owner);
    return NextOwner();
  }

  /** Kills the owner and runs until another daemon has taken over. */
  std::string KillOwner()
  {
    m_cluster.KillDaemon(m_cluster.Owner());
    return NextOwner();
  }

  std::string NextOwner()
  {
    while (m_cluster.Owner().empty()) {
      m_cluster.Run(absl::Milliseconds(20));
    }
    return m_cluster.Owner();
  }

  void SetUnreachable(bool aIsUnreachable)
  {
    for (const auto& [name, daemon] : m_cluster.m_daemons) {
      daemon->m_workers.m_unreachableWorkers =
        aIsUnreachable ? std::set<std::string>{ m_worker }
                       : std::set<std::string>{};
    }
  }

  const QuietLog m_quiet;
  JobCluster m_cluster{ 3 };
  const std::string m_task = "job1.0.0.0";
  /** Worker of that task. */
  std::string m_worker;
};

}

// Guards against a long-running task that waits anew for its ended worker after
// each loss of an owner (rule LOST, random-284 of cavefraiche-sched).
TEST_CASE("Owners in series wait once for a worker that has ended",
          "[owners_in_series]")
{
  SeriesFixture series;
  JobCluster& cluster = series.m_cluster;
  cluster.CrashWorker(series.m_worker);
  const absl::Time begin = cluster.m_loop.Now();
  series.KillOwner();
  cluster.Run(begin + absl::Seconds(8) - cluster.m_loop.Now());
  REQUIRE(cluster.m_workers.StartCount(series.m_task) == 1);
  series.KillOwner();
  cluster.Run(begin + absl::Seconds(16) - cluster.m_loop.Now());
  REQUIRE(cluster.m_workers.RunningOn(series.m_task).size() == 1);
  REQUIRE(cluster.m_workers.Violations().empty());
}

// Guards against a task that starts while its worker holds a lease of an owner
// that had recorded the worker as without one (rule TWICE).
TEST_CASE("A silent worker gets a lease only once the store has a record of it",
          "[owners_in_series]")
{
  SeriesFixture series;
  JobCluster& cluster = series.m_cluster;
  series.SetUnreachable(true);
  cluster.UnlistWorker(series.m_worker);
  const absl::Time begin = cluster.m_loop.Now();
  JobCluster::Daemon& second = cluster.At(series.ReplaceOwner());
  const auto hasEarlierTerm = [&cluster] {
    return cluster.m_store.Value(cluster.m_keys.LeasedWorkers())
             .find(",1,2]") != std::string::npos;
  };
  while (!hasEarlierTerm()) {
    cluster.Run(absl::Milliseconds(20));
  }
  REQUIRE(cluster.m_workers.RunningOn(series.m_task).size() == 1);
  second.m_store.m_isCommitStalled =
    [&cluster](const StoreTransaction& aTransaction) {
      return std::ranges::any_of(
        aTransaction.m_puts, [&cluster](const StorePut& aPut) {
          return aPut.m_key == cluster.m_keys.LeasedWorkers();
        });
    };
  second.m_workers.m_unreachableWorkers.clear();
  cluster.Run(begin + absl::Milliseconds(11300) - cluster.m_loop.Now());
  REQUIRE(hasEarlierTerm());
  series.ReplaceOwner();
  cluster.Run(absl::Seconds(15));
  REQUIRE(cluster.m_workers.Violations().empty());
  REQUIRE(cluster.m_workers.RunningOn(series.m_task).size() == 1);
}

// Guards against the loss of a run whose worker responds again to the next
// owner while its lease lasts.
TEST_CASE("A run goes on if its silent worker responds to the next owner",
          "[owners_in_series]")
{
  SeriesFixture series;
  JobCluster& cluster = series.m_cluster;
  series.SetUnreachable(true);
  cluster.UnlistWorker(series.m_worker);
  series.KillOwner();
  cluster.Run(absl::Milliseconds(700));
  series.SetUnreachable(false);
  cluster.Run(absl::Seconds(10));
  REQUIRE(cluster.m_workers.StartCount(series.m_task) == 1);
  REQUIRE(cluster.m_workers.RunningOn(series.m_task).size() == 1);
  REQUIRE(cluster.m_workers.Violations().empty());
}
