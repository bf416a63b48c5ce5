#include "core/metrics.h"
#include "jobs/job_codec.h"
#include "net/event_loop.h"
#include "scheduler/job_keys.h"
#include "scheduler/scheduler.h"
#include "tenants/cap_document.h"
#include "tests/fakes/fake_store.h"
#include "tests/fakes/fake_workers.h"
#include "tests/fakes/job_cluster.h"
#include "tests/fakes/quiet_log.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace bramleystall;

namespace {

constexpr absl::Duration kStartup = absl::Milliseconds(300);
constexpr absl::Duration kStep = absl::Milliseconds(20);
constexpr int kCore = 1000;
/** Tasks of one core that the two workers of a shard run at once. */
constexpr int kTasksPerShard = 8;

TenantSpec
MakeTenant(const std::string& aName, int aCores)
{
  TenantSpec tenant;
  tenant.m_name = aName;
  tenant.m_cap.m_cpu = aCores * kCore;
  return tenant;
}

/** Several shards with a scheduler each, two workers a shard, one store. */
class CapFixture
{
public:
  CapFixture(int aShards, std::vector<TenantSpec> aTenants)
  {
    QueueSpec queue;
    queue.m_name = "quotes";
    queue.m_pool = "counter";
    m_configuration.m_queues = { queue };
    if (!aTenants.empty()) {
      m_configuration.m_tenants.emplace(std::move(aTenants));
    }
    for (int i = 0; i < 2 * aShards; ++i) {
      m_workers.Add(JobCluster::MakeReport(i));
    }
    for (int i = 0; i < aShards; ++i) {
      m_shards.push_back(std::make_unique<Shard>(*this, i));
    }
  }

  struct Shard
  {
    Shard(CapFixture& aFixture, int aNumber)
      : m_keys(aNumber)
      , m_store(aFixture.m_loop, aFixture.m_store)
      , m_workers(aFixture.m_loop, aFixture.m_workers)
    {
    }

    const keys::ShardKeys m_keys;
    FakeStoreClient m_store;
    FakeWorkerClient m_workers;
    std::int64_t m_term = 0;
    std::unique_ptr<Scheduler> m_scheduler;
  };

  Shard& At(int aShard) { return *m_shards.at(aShard); }

  /** A next owner takes the shard over. */
  void Start(int aShard)
  {
    Shard& shard = At(aShard);
    ++shard.m_term;
    m_store.Set(shard.m_keys.Owner(), absl::StrCat(shard.m_term));
    const std::int64_t fence =
      m_store.List(shard.m_keys.Owner(), "").m_items.front().m_revision;
    SchedulerSettings settings;
    settings.m_shardCount = static_cast<int>(m_shards.size());
    shard.m_scheduler = std::make_unique<Scheduler>(
      Scheduler::Environment{
        .m_loop = m_loop,
        .m_store = shard.m_store,
        .m_workers = shard.m_workers,
        .m_metrics = m_metrics,
        .m_configuration = [this]() -> const JobConfiguration& {
          return m_configuration;
        },
        .m_mayOrder = [] { return true; },
        .m_ordersEndAt = [] { return absl::InfiniteFuture(); },
        .m_holdsLease = [] { return true; },
        .m_onSuperseded = [] {} },
      settings,
      shard.m_keys,
      OwnershipGrant{ .m_fencingToken = fence,
                      .m_term = shard.m_term,
                      .m_previousOwnersExpireAt = m_loop.Now() });
    for (const int i : { 2 * aShard, 2 * aShard + 1 }) {
      shard.m_scheduler->OnWorkerReport(JobCluster::MakeReport(i));
    }
    shard.m_scheduler->OnWorkersListed();
  }

  void StartAll()
  {
    for (std::size_t i = 0; i < m_shards.size(); ++i) {
      Start(static_cast<int>(i));
    }
    m_loop.AdvanceBy(kStartup);
  }

  void Submit(int aShard, JobRecord aRecord, const std::string& aTenant)
  {
    aRecord.m_tenant = aTenant;
    m_jobs[aTenant].push_back(aRecord);
    m_store.Set(At(aShard).m_keys.Job(aRecord.m_id), EncodeJobRecord(aRecord));
  }

  /** Cores that the tenant's tasks use on all workers now. */
  int Running(const std::string& aTenant)
  {
    std::int64_t cpu = 0;
    for (const JobRecord& record : m_jobs[aTenant]) {
      for (int i = 0; i < record.m_steps.front().m_count; ++i) {
        const auto workers =
          m_workers.RunningOn(absl::StrCat(record.m_id, ".0.0.", i));
        cpu += static_cast<std::int64_t>(workers.size()) *
               record.m_steps.front().m_need.m_cpu;
      }
    }
    return static_cast<int>(cpu / kCore);
  }

  /** Runs for a time; returns the largest usage of the tenant meanwhile. */
  int PeakDuring(absl::Duration aTime, const std::string& aTenant)
  {
    int peak = 0;
    for (absl::Duration ran; ran < aTime; ran += kStep) {
      m_loop.AdvanceBy(kStep);
      peak = std::max(peak, Running(aTenant));
    }
    return peak;
  }

  const QuietLog m_quiet;
  EventLoop m_loop{ EventLoop::ClockMode::Simulated };
  FakeStore m_store{ m_loop };
  FakeWorkers m_workers{ m_loop };
  Metrics m_metrics;
  JobConfiguration m_configuration;

private:
  std::map<std::string, std::vector<JobRecord>> m_jobs;
  std::vector<std::unique_ptr<Shard>> m_shards;
};

JobRecord
MakeJob(const std::string& aId, int aTasks)
{
  return JobCluster::MakeJob(aId, aTasks, 1);
}

const FakeRunPlan kRunsLong{ .m_time = absl::Seconds(60) };

}

// Guards against a tenant that exceeds its cap, and against one at its cap that
// blocks the tasks of others behind it.
TEST_CASE("A tenant at its cap waits and others pass", "[caps]")
{
  CapFixture fixture(1, { MakeTenant("grove", 3), MakeTenant("dale", 0) });
  fixture.m_workers.SetPlan(kRunsLong);
  fixture.StartAll();
  fixture.Submit(0, MakeJob("job1", 6), "grove");
  fixture.m_loop.AdvanceBy(kStartup);
  fixture.Submit(0, MakeJob("job2", 4), "dale");
  fixture.m_loop.AdvanceBy(kStartup);
  REQUIRE(fixture.Running("grove") == 3);
  REQUIRE(fixture.Running("dale") == 4);
  REQUIRE(fixture.m_metrics.CounterValue("bramleystall_cap_waits_total",
                                         { { "tenant", "grove" } }) == 1);
}

// Guards against a gang that starts in part, or above the cap.
TEST_CASE("A gang waits until it fits its cap as a whole", "[caps]")
{
  CapFixture fixture(1, { MakeTenant("grove", 4) });
  fixture.m_workers.SetPlan({ .m_time = absl::Seconds(1) });
  fixture.StartAll();
  fixture.Submit(0, MakeJob("job1", 2), "grove");
  fixture.m_loop.AdvanceBy(kStartup);
  JobRecord gang = MakeJob("job2", 3);
  gang.m_steps.front().m_isGang = true;
  fixture.Submit(0, gang, "grove");
  fixture.m_loop.AdvanceBy(kStartup);
  REQUIRE(fixture.Running("grove") == 2);
  fixture.m_loop.AdvanceBy(absl::Seconds(1));
  REQUIRE(fixture.Running("grove") == 3);
}

// Guards against a shard that waits for its part of a cap that others do not
// use (R3).
TEST_CASE("Parts move to the shard that has all the demand", "[caps]")
{
  CapFixture fixture(4, { MakeTenant("grove", kTasksPerShard) });
  fixture.m_workers.SetPlan(kRunsLong);
  fixture.StartAll();
  fixture.Submit(2, MakeJob("job1", kTasksPerShard), "grove");
  // The other shards keep a reserve, which may or may not cost a task; the cap
  // is the upper bound.
  const int peak = fixture.PeakDuring(absl::Seconds(1), "grove");
  REQUIRE(peak >= kTasksPerShard - 1);
  REQUIRE(peak <= kTasksPerShard);
}

// Guards against a task that no shard can start since each keeps a small part
// of the cap.
TEST_CASE("A task that needs the whole cap gets it", "[caps]")
{
  CapFixture fixture(3, { MakeTenant("grove", 2) });
  fixture.m_workers.SetPlan({ .m_time = absl::Milliseconds(500) });
  fixture.StartAll();
  for (const int shard : { 0, 1, 2 }) {
    JobRecord record = MakeJob(absl::StrCat("job", shard), 1);
    record.m_steps.front().m_need.m_cpu = 2 * kCore;
    fixture.Submit(shard, record, "grove");
  }
  REQUIRE(fixture.PeakDuring(absl::Seconds(1), "grove") == 2);
  REQUIRE(fixture.PeakDuring(absl::Seconds(4), "grove") == 2);
  REQUIRE(fixture.m_workers.StartCount() == 3);
}

// Guards against fractions of tasks that stay unused in each shard.
TEST_CASE("Shards that compete for a cap use all of it", "[caps]")
{
  constexpr int kCap = 5;
  CapFixture fixture(2, { MakeTenant("grove", kCap) });
  fixture.m_workers.SetPlan(kRunsLong);
  fixture.StartAll();
  fixture.Submit(0, MakeJob("job1", kCap), "grove");
  fixture.Submit(1, MakeJob("job2", kCap), "grove");
  REQUIRE(fixture.PeakDuring(absl::Seconds(1), "grove") == kCap);
}

// Guards against parts that two shards use at once while they move back and
// forth, also when an owner is replaced and responses of the store are lost.
TEST_CASE("Shards that compete for a cap keep it through takeovers", "[caps]")
{
  constexpr int kCap = 5;
  CapFixture fixture(2, { MakeTenant("grove", kCap) });
  fixture.m_workers.SetPlan({ .m_time = absl::Milliseconds(250) });
  fixture.StartAll();
  for (int i = 0; i < 8; ++i) {
    fixture.Submit(i % 2, MakeJob(absl::StrCat("job", i), 5), "grove");
    REQUIRE(fixture.PeakDuring(absl::Milliseconds(200), "grove") <= kCap);
  }
  fixture.At(0).m_store.m_lostCommitResponses = 2;
  fixture.At(1).m_store.m_lostCommitResponses = 2;
  fixture.Start(0);
  REQUIRE(fixture.PeakDuring(absl::Seconds(2), "grove") <= kCap);
  fixture.Start(1);
  REQUIRE(fixture.PeakDuring(absl::Seconds(15), "grove") <= kCap);
  for (int i = 0; i < 8; ++i) {
    CAPTURE(i);
    REQUIRE_FALSE(fixture.m_store.Has(
      fixture.At(i % 2).m_keys.Job(absl::StrCat("job", i))));
  }
  REQUIRE(fixture.m_workers.Violations().empty());
}

// Guards against a new owner that starts tasks although those of the previous
// one may still run on a worker that it does not reach.
TEST_CASE("A new owner counts what may still run", "[caps]")
{
  CapFixture fixture(1, { MakeTenant("grove", 4) });
  fixture.m_workers.SetPlan(kRunsLong);
  fixture.StartAll();
  fixture.Submit(0, MakeJob("job1", 4), "grove");
  fixture.m_loop.AdvanceBy(kStartup);
  REQUIRE(fixture.Running("grove") == 4);
  fixture.At(0).m_workers.m_unreachableWorkers = { "worker-0", "worker-1" };
  fixture.Start(0);
  fixture.m_loop.AdvanceBy(kStartup);
  fixture.At(0).m_workers.m_unreachableWorkers = { "worker-0" };
  fixture.Submit(0, MakeJob("job2", 4), "grove");
  REQUIRE(fixture.PeakDuring(absl::Seconds(20), "grove") == 4);
}

// Guards against an owner that takes a document that it cannot decode for none,
// and so counts parts that the shard has transferred.
TEST_CASE("A malformed document stops only its shard's capped tenants",
          "[caps]")
{
  CapFixture fixture(2, { MakeTenant("grove", 8), MakeTenant("dale", 0) });
  fixture.m_workers.SetPlan(kRunsLong);
  fixture.m_store.Set(fixture.At(0).m_keys.CapShares(),
                      R"({"tenants":{"grove":{"transferred":{"1":-5}}}})");
  fixture.StartAll();
  fixture.Submit(0, MakeJob("job1", 3), "grove");
  fixture.m_loop.AdvanceBy(absl::Seconds(2));
  REQUIRE(fixture.Running("grove") == 0);
  fixture.Submit(0, MakeJob("job2", 2), "dale");
  fixture.Submit(1, MakeJob("job3", 6), "grove");
  fixture.m_loop.AdvanceBy(absl::Seconds(2));
  REQUIRE(fixture.Running("dale") == 2);
  REQUIRE(fixture.Running("grove") == 4);
  fixture.m_store.Set(fixture.At(0).m_keys.CapShares(), R"({"tenants":{}})");
  fixture.m_loop.AdvanceBy(absl::Seconds(2));
  REQUIRE(fixture.Running("grove") == 8);
}

// Guards against an owner that starts tasks in its own part of a lowered cap
// although those of another shard exceed the cap already (R2).
TEST_CASE("Nothing starts while a lowered cap is exceeded elsewhere", "[caps]")
{
  CapFixture fixture(2, { MakeTenant("grove", 8) });
  fixture.m_workers.SetPlan({ .m_time = absl::Seconds(4) });
  fixture.StartAll();
  fixture.Submit(0, MakeJob("job1", 4), "grove");
  fixture.m_loop.AdvanceBy(kStartup);
  fixture.m_configuration.m_tenants.emplace(
    std::vector{ MakeTenant("grove", 4) });
  fixture.At(0).m_scheduler->OnConfigurationChanged();
  fixture.At(1).m_scheduler->OnConfigurationChanged();
  fixture.m_loop.AdvanceBy(kStartup);
  fixture.Submit(1, MakeJob("job2", 2), "grove");
  REQUIRE(fixture.PeakDuring(absl::Seconds(3), "grove") == 4);
  fixture.m_loop.AdvanceBy(absl::Seconds(2));
  REQUIRE(fixture.Running("grove") == 2);
}

// Guards against a new owner that publishes no excess, so that other shards
// start tasks, since unreachable workers have not listed what they run (R2).
TEST_CASE("A cap lowered during a takeover counts what may still run", "[caps]")
{
  CapFixture fixture(2, { MakeTenant("grove", 8) });
  fixture.m_workers.SetPlan(kRunsLong);
  fixture.StartAll();
  fixture.Submit(0, MakeJob("job1", 4), "grove");
  fixture.m_loop.AdvanceBy(kStartup);
  REQUIRE(fixture.Running("grove") == 4);
  fixture.At(0).m_workers.m_unreachableWorkers = { "worker-0", "worker-1" };
  fixture.Start(0);
  fixture.m_loop.AdvanceBy(kStartup);
  fixture.m_configuration.m_tenants.emplace(
    std::vector{ MakeTenant("grove", 4) });
  fixture.At(0).m_scheduler->OnConfigurationChanged();
  fixture.At(1).m_scheduler->OnConfigurationChanged();
  fixture.m_loop.AdvanceBy(kStartup);
  fixture.Submit(1, MakeJob("job2", 2), "grove");
  REQUIRE(fixture.PeakDuring(absl::Seconds(3), "grove") == 4);
}

// Guards against a takeover that publishes waiting tasks as excess, and so
// stops the tenant in all shards although its cap is kept (R3).
TEST_CASE("A takeover without a lower cap publishes no excess", "[caps]")
{
  CapFixture fixture(2, { MakeTenant("grove", 4) });
  fixture.m_workers.SetPlan(kRunsLong);
  fixture.StartAll();
  fixture.Submit(0, MakeJob("job1", 8), "grove");
  fixture.m_loop.AdvanceBy(kStartup);
  fixture.At(0).m_workers.m_unreachableWorkers = { "worker-0", "worker-1" };
  fixture.Start(0);
  fixture.m_loop.AdvanceBy(absl::Seconds(1));
  const auto document =
    DecodeCapDocument(fixture.m_store.List(fixture.At(0).m_keys.CapShares(), "")
                        .m_items.front()
                        .m_value);
  REQUIRE(document);
  REQUIRE(document->m_tenants.at("grove").m_excess == 0);
}

// Guards against a shard that counts the parts of one that cannot transfer them
// since it is cut off from the store.
TEST_CASE("A shard that is cut off keeps its parts", "[caps]")
{
  CapFixture fixture(2, { MakeTenant("grove", 8) });
  fixture.m_workers.SetPlan(kRunsLong);
  fixture.StartAll();
  fixture.Submit(0, MakeJob("job1", 2), "grove");
  fixture.m_loop.AdvanceBy(kStartup);
  fixture.At(0).m_store.m_isPartitioned = true;
  fixture.Submit(1, MakeJob("job2", 8), "grove");
  REQUIRE(fixture.PeakDuring(absl::Seconds(5), "grove") == 2 + 4);
  fixture.At(0).m_store.m_isPartitioned = false;
  fixture.m_loop.AdvanceBy(absl::Seconds(3));
  REQUIRE(fixture.Running("grove") == 2 + 6);
}

// Guards against load on the store from caps that nobody is near, or that do
// not exist.
TEST_CASE("Caps that no tenant is near cost no writes", "[caps]")
{
  const int cap = GENERATE(0, 100);
  CapFixture fixture(2, { MakeTenant("grove", cap) });
  fixture.m_workers.SetPlan({ .m_time = absl::Milliseconds(100) });
  fixture.StartAll();
  const std::size_t listed = fixture.At(0).m_store.m_listedItems;
  for (int i = 0; i < 20; ++i) {
    fixture.Submit(i % 2, MakeJob(absl::StrCat("job", i), 4), "grove");
    fixture.m_loop.AdvanceBy(absl::Milliseconds(100));
  }
  REQUIRE(fixture.m_workers.StartCount() == 80);
  REQUIRE_FALSE(fixture.m_store.Has(fixture.At(0).m_keys.CapShares()));
  REQUIRE_FALSE(fixture.m_store.Has(fixture.At(1).m_keys.CapShares()));
  REQUIRE(fixture.At(0).m_store.m_listedItems == listed);
  const bool isWatched =
    absl::StrContains(fixture.m_metrics.Render(), "bramleystall_cap_parts");
  REQUIRE(isWatched == (cap > 0));
}
