#include "scheduler/job_ranking.h"
#include "scheduler/scheduling_limits.h"
#include "tenants/pool_usage.h"
#include "tenants/tenant_directory.h"
#include "tenants/tenant_shares.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace bramleystall;

namespace {

/** Jobs that a tenant sends in a part of the load. */
struct Traffic
{
  std::string m_tenant;
  double m_jobsPerSecond = 0;
  int m_fromMs = 0;
  int m_untilMs = 0;
};

/** A pool with equal machines and the traffic for it. */
struct Load
{
  std::vector<TenantSpec> m_tenants;
  std::vector<Traffic> m_traffic;
  /** The previous order, without shares, if not set. */
  bool m_hasShares = true;
  unsigned m_seed = 1;
};

struct TenantResult
{
  int m_sent = 0;
  int m_inTime = 0;
  /** Jobs that were completed before they were overdue. */
  int m_useful = 0;
  /** Time in ms of its tasks on the machines between kMeasured. */
  std::int64_t m_runMs = 0;

  void Add(const TenantResult& aOther)
  {
    m_sent += aOther.m_sent;
    m_inTime += aOther.m_inTime;
    m_useful += aOther.m_useful;
    m_runMs += aOther.m_runMs;
  }
  double InTimeShare() const
  {
    return m_sent == 0 ? 1 : static_cast<double>(m_inTime) / m_sent;
  }
};

constexpr int kMachines = 6;
constexpr int kTasksPerMachine = 4;
constexpr Resources kTask{ .m_cpu = 1000, .m_memoryMb = 500 };
/** Time between two placements, as in the scheduler. */
constexpr int kStepMs = 8;
/** Least and largest run time of a task. */
constexpr int kRunMs[] = { 200, 600 };
/** Time from acceptance to the objective beside the run time. */
constexpr int kSlackMs = 600;
/** A job is of no use to its caller later than this. */
constexpr int kEndMs = 30'000;
/** Part of the load in which run times are counted. */
constexpr int kMeasured[] = { 2000, 8000 };

/** Plays a load over the order of the jobs, with a simple model of a pool. */
std::map<std::string, TenantResult>
Play(const Load& aLoad)
{
  struct Job
  {
    int m_acceptedAtMs = 0;
    int m_runMs = 0;
    std::string m_tenant;
    int m_endsAtMs = 0;
    int m_machine = 0;

    int ObjectiveMs() const { return m_acceptedAtMs + m_runMs + kSlackMs; }
    int OverdueMs() const
    {
      return m_acceptedAtMs + kLateFactor * (m_runMs + kSlackMs);
    }
  };
  std::map<std::string, TenantResult> results;
  std::vector<Job> arriving;
  for (const Traffic& traffic : aLoad.m_traffic) {
    std::seed_seq seeds{ aLoad.m_seed, static_cast<unsigned>(arriving.size()) };
    std::mt19937 random(seeds);
    std::exponential_distribution<double> gap(traffic.m_jobsPerSecond / 1000);
    std::uniform_int_distribution<int> run(kRunMs[0], kRunMs[1]);
    for (double at = traffic.m_fromMs + gap(random); at < traffic.m_untilMs;
         at += gap(random)) {
      arriving.push_back(
        { static_cast<int>(at), run(random), traffic.m_tenant });
    }
  }
  std::ranges::stable_sort(arriving, {}, &Job::m_acceptedAtMs);
  const TenantDirectory directory(aLoad.m_tenants);
  PoolUsage usage;
  std::vector<int> used(kMachines, 0);
  std::vector<Job> waiting;
  std::vector<Job> running;
  auto next = arriving.begin();
  for (int now = 0; now < kEndMs; now += kStepMs) {
    for (; next != arriving.end() && next->m_acceptedAtMs <= now; ++next) {
      ++results[next->m_tenant].m_sent;
      waiting.push_back(*next);
    }
    std::erase_if(running, [&](const Job& aJob) {
      if (aJob.m_endsAtMs > now) {
        return false;
      }
      usage.Subtract("pool", aJob.m_tenant, false, kTask);
      --used[static_cast<std::size_t>(aJob.m_machine)];
      results[aJob.m_tenant].m_inTime +=
        aJob.m_endsAtMs <= aJob.ObjectiveMs() ? 1 : 0;
      results[aJob.m_tenant].m_useful +=
        aJob.m_endsAtMs <= aJob.OverdueMs() ? 1 : 0;
      return true;
    });
    TenantShares shares(
      directory,
      { .m_cpu = kMachines * kTasksPerMachine * kTask.m_cpu,
        .m_memoryMb = kMachines * kTasksPerMachine * kTask.m_memoryMb });
    for (const std::string& tenant : usage.ByTenant("pool").Tenants()) {
      shares.SetUsed(shares.Add(tenant), usage.ByTenant("pool").Of(tenant));
    }
    std::vector<RankedJob> ranks;
    for (std::size_t i = 0; i < waiting.size(); ++i) {
      const Job& job = waiting[i];
      ranks.push_back(
        { .m_tier = ChooseTier(
            { job.m_runMs, job.m_acceptedAtMs, job.ObjectiveMs() }, now),
          .m_objectiveMs = job.ObjectiveMs(),
          .m_order = i,
          .m_tenant = shares.Add(job.m_tenant),
          .m_index = i });
    }
    VisitByRank(ranks,
                aLoad.m_hasShares ? &shares : nullptr,
                [&](const RankedJob& aRank) {
                  const auto machine = std::ranges::find_if(
                    used, [](int aUsed) { return aUsed < kTasksPerMachine; });
                  if (machine == used.end()) {
                    return;
                  }
                  ++*machine;
                  Job& job = waiting[aRank.m_index];
                  job.m_machine = static_cast<int>(machine - used.begin());
                  job.m_endsAtMs = now + job.m_runMs;
                  usage.Add("pool", job.m_tenant, false, kTask);
                  shares.SetUsed(*aRank.m_tenant,
                                 usage.ByTenant("pool").Of(job.m_tenant));
                  results[job.m_tenant].m_runMs +=
                    std::max(0,
                             std::min(job.m_endsAtMs, kMeasured[1]) -
                               std::max(now, kMeasured[0]));
                  running.push_back(job);
                });
    std::erase_if(waiting, [](const Job& aJob) { return aJob.m_endsAtMs > 0; });
  }
  return results;
}

/** Five tenants of equal weight take 0.8 of the pool's 60 jobs a second. */
Load
MakeFlood(unsigned aSeed)
{
  constexpr double kUsual = 9.6;
  Load load{ .m_seed = aSeed };
  for (int i = 0; i < 5; ++i) {
    const std::string name = absl::StrCat("tenant", i);
    load.m_tenants.push_back({ .m_name = name, .m_weight = 12 });
    load.m_traffic.push_back({ name, kUsual, 0, 24'000 });
  }
  load.m_traffic.push_back({ "tenant0", 6 * kUsual, 2000, 8000 });
  return load;
}

/** What callers get of the same flood with shares and in the previous order. */
struct FloodResult
{
  std::map<std::string, TenantResult> m_shared;
  std::map<std::string, TenantResult> m_previous;

  static TenantResult Sum(const std::map<std::string, TenantResult>& aResults)
  {
    TenantResult sum;
    for (const auto& [name, result] : aResults) {
      sum.Add(result);
    }
    return sum;
  }
};

constexpr unsigned kSeeds = 10;

FloodResult
PlayFlood(unsigned aSeed)
{
  Load load = MakeFlood(aSeed);
  FloodResult result{ .m_shared = Play(load), .m_previous = {} };
  load.m_hasShares = false;
  result.m_previous = Play(load);
  return result;
}

}

// Guards against a tenant that sends seven times its usual load for 6 s and so
// makes the others' jobs late, as with the order by objective alone, and
// against capacity that the shares leave unused.
TEST_CASE("A flood costs the tenant that sends it", "[scheduler][tenants]")
{
  // Target of docs/design.md for other work in a flood.
  constexpr double kLeastOfOthers = 0.99;
  constexpr double kLeastRunTime = 0.99;
  TenantResult total;
  TenantResult totalBefore;
  TenantResult others;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    const FloodResult flood = PlayFlood(seed);
    total.Add(FloodResult::Sum(flood.m_shared));
    totalBefore.Add(FloodResult::Sum(flood.m_previous));
    for (const auto& [name, result] : flood.m_shared) {
      const double share = result.InTimeShare();
      const double before = flood.m_previous.at(name).InTimeShare();
      INFO("seed " << seed << " " << name << " in time " << share << ", before "
                   << before);
      if (name == "tenant0") {
        CHECK(share < before);
        continue;
      }
      others.Add(result);
      CHECK(share > before);
    }
  }
  CHECK(others.InTimeShare() >= kLeastOfOthers);
  CHECK(total.m_sent == totalBefore.m_sent);
  CHECK(total.m_inTime >= totalBefore.m_inTime);
  CHECK(static_cast<double>(total.m_runMs) >=
        kLeastRunTime * static_cast<double>(totalBefore.m_runMs));
}

// Guards against a flood that costs a single other tenant more than 2% of its
// jobs, or all tenants together some of theirs. Known to fail (KNOWN-RED.txt).
TEST_CASE("A flood costs no other tenant and not the whole",
          "[scheduler][tenants]")
{
  constexpr double kLeastOfTenant = 0.98;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    const FloodResult flood = PlayFlood(seed);
    INFO("seed " << seed);
    for (const auto& [name, result] : flood.m_shared) {
      INFO(name << " in time " << result.InTimeShare());
      CHECK((name == "tenant0" || result.InTimeShare() >= kLeastOfTenant));
    }
    const TenantResult total = FloodResult::Sum(flood.m_shared);
    const TenantResult totalBefore = FloodResult::Sum(flood.m_previous);
    CHECK(total.m_inTime >= totalBefore.m_inTime);
    CHECK(total.m_useful >= totalBefore.m_useful);
  }
}

// Guards against shares that do not follow the weights while the pool is full.
TEST_CASE("Weights of 1 to 3 give 1 to 3 of a full pool",
          "[scheduler][tenants]")
{
  Load load{ .m_tenants = { { .m_name = "one", .m_weight = 10 },
                            { .m_name = "three", .m_weight = 30 } },
             .m_traffic = { { "one", 80, 0, 10'000 },
                            { "three", 80, 0, 10'000 } } };
  const auto results = Play(load);
  const double ratio = static_cast<double>(results.at("three").m_runMs) /
                       static_cast<double>(results.at("one").m_runMs);
  CHECK(ratio == Approx(3).epsilon(0.1));
  load.m_hasShares = false;
  const auto previous = Play(load);
  CHECK(previous.at("three").m_runMs < 2 * previous.at("one").m_runMs);
}

// Guards against machines that are idle because a tenant has reached its share,
// although nobody else asks for them.
TEST_CASE("What no other tenant asks for is lent", "[scheduler][tenants]")
{
  Load load{ .m_tenants = { { .m_name = "one", .m_weight = 1 },
                            { .m_name = "three", .m_weight = 99 },
                            { .m_name = "zero", .m_weight = 0 } },
             .m_traffic = { { "one", 80, 0, 10'000 },
                            { "three", 1, 0, 10'000 } } };
  constexpr double kPoolMs =
    kMachines * kTasksPerMachine * (kMeasured[1] - kMeasured[0]);
  const auto full = Play(load);
  CHECK(static_cast<double>(full.at("one").m_runMs + full.at("three").m_runMs) >
        0.97 * kPoolMs);
  CHECK(full.at("three").InTimeShare() == 1);

  // Tenants of weight 0, and unknown ones, run in the room that is left.
  load.m_traffic = { { "zero", 10, 0, 10'000 },
                     { "gone", 10, 0, 10'000 },
                     { "one", 10, 0, 10'000 } };
  for (const auto& [tenant, result] : Play(load)) {
    INFO(tenant);
    CHECK(result.InTimeShare() > 0.98);
  }
}
