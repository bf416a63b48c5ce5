#include "tests/fakes/overload_simulation.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

using namespace bramleystall;

namespace {

using Outcome = OverloadOutcome;
using JobResult = OverloadResult::JobResult;
using Filter = std::function<bool(const JobResult&)>;

/** Both rules over the same jobs. */
struct Comparison
{
  OverloadResult m_acceptAll;
  OverloadResult m_admission;

  /** Jobs that were refused at least once, and those of them that the earlier
   * rule completes in time. */
  int RefusedJobs() const { return CountRefused(false); }
  int WrongRefusals() const { return CountRefused(true); }

private:
  int CountRefused(bool aOnlyWrong) const
  {
    int count = 0;
    for (std::size_t i = 0; i < m_admission.m_jobs.size(); ++i) {
      const bool isWrong = m_acceptAll.m_jobs[i].m_outcome == Outcome::InTime;
      const bool isCounted =
        m_admission.m_jobs[i].m_wasRefusedOnce && (isWrong || !aOnlyWrong);
      count += isCounted ? 1 : 0;
    }
    return count;
  }
};

Comparison
Compare(OverloadScenario aScenario)
{
  Comparison comparison;
  aScenario.m_hasAdmissionControl = false;
  comparison.m_acceptAll = OverloadSimulation(aScenario).Run();
  aScenario.m_hasAdmissionControl = true;
  comparison.m_admission = OverloadSimulation(aScenario).Run();
  return comparison;
}

int
Count(const OverloadResult& aResult, Outcome aOutcome, const Filter& aFilter)
{
  return static_cast<int>(
    std::ranges::count_if(aResult.m_jobs, [&](const JobResult& aJob) {
      return aJob.m_outcome == aOutcome && aFilter(aJob);
    }));
}

bool
IsAny(const JobResult&)
{
  return true;
}

bool
IsFlooding(const JobResult& aJob)
{
  return aJob.m_tenant == 0;
}

bool
IsInsideWeight(const JobResult& aJob)
{
  return aJob.m_tenant != 0;
}

bool
IsLarge(const JobResult& aJob)
{
  return aJob.m_isLarge;
}

std::string
Describe(const OverloadResult& aResult)
{
  const auto text = [&aResult](const Filter& aFilter) {
    return absl::StrCat("in time ",
                        Count(aResult, Outcome::InTime, aFilter),
                        ", late ",
                        Count(aResult, Outcome::Late, aFilter),
                        ", wrongly accepted ",
                        Count(aResult, Outcome::WronglyAccepted, aFilter),
                        ", refused ",
                        Count(aResult, Outcome::Refused, aFilter));
  };
  return absl::StrCat("flooding tenant: ",
                      text(IsFlooding),
                      "; others: ",
                      text(IsInsideWeight),
                      "; large jobs: ",
                      text(IsLarge),
                      "; refused requests ",
                      aResult.m_refusedRequests,
                      ", retries ",
                      aResult.m_retries,
                      ", most in 100 ms ",
                      aResult.m_mostRetriesAtOnce);
}

}

// Guards against admission control that costs callers more than it gains in the
// worst seconds: too many jobs accepted that cannot be served, jobs refused
// that would have been in time, tenants inside their weight that lose by a
// flood.
TEST_CASE("A flood of one tenant costs the others nothing", "[admission]")
{
  const auto seed = GENERATE(1U, 2U);
  const Comparison both = Compare({ .m_seed = seed });
  const OverloadResult& before = both.m_acceptAll;
  const OverloadResult& after = both.m_admission;
  INFO("accept all: " << Describe(before));
  INFO("admission: " << Describe(after));
  INFO("jobs refused " << both.RefusedJobs() << ", wrongly "
                       << both.WrongRefusals());
  const int failedBefore = Count(before, Outcome::WronglyAccepted, IsAny);
  const int failedAfter = Count(after, Outcome::WronglyAccepted, IsAny);
  const int inTimeBefore = Count(before, Outcome::InTime, IsAny);
  const int inTimeAfter = Count(after, Outcome::InTime, IsAny);
  // The load is as in the worst seconds: the earlier rule fails a third.
  REQUIRE(failedBefore > static_cast<int>(before.m_jobs.size()) / 4);
  CHECK(inTimeAfter > inTimeBefore * 11 / 10);
  CHECK(failedAfter < failedBefore * 3 / 4);
  for (const Filter& filter : { Filter(IsFlooding), Filter(IsInsideWeight) }) {
    CHECK(Count(after, Outcome::InTime, filter) >=
          Count(before, Outcome::InTime, filter));
  }
  // Callers retry, so hardly any job is refused for good.
  CHECK(Count(after, Outcome::Refused, IsAny) <= inTimeAfter / 100);
  CHECK(both.WrongRefusals() <= both.RefusedJobs() / 4);
}

// Guards against refusals that fall on tenants inside their weight as often as
// on the one that floods.
TEST_CASE("Refusals fall on the flooding tenant first", "[admission]")
{
  const OverloadResult result = OverloadSimulation({}).Run();
  const auto refusedShare = [&result](const Filter& aFilter) {
    const auto all = std::ranges::count_if(result.m_jobs, aFilter);
    const auto refused =
      std::ranges::count_if(result.m_jobs, [&aFilter](const JobResult& aJob) {
        return aFilter(aJob) && aJob.m_wasRefusedOnce;
      });
    return static_cast<double>(refused) / static_cast<double>(all);
  };
  INFO("flooding " << refusedShare(IsFlooding) << ", others "
                   << refusedShare(IsInsideWeight));
  CHECK(refusedShare(IsFlooding) > 4 * refusedShare(IsInsideWeight));
}

// Guards against a tenant inside its weight that gets less by admission control
// than without, although the sum over all tenants is higher.
TEST_CASE("No tenant inside its weight loses by admission control",
          "[admission]")
{
  std::map<int, int> before;
  std::map<int, int> after;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const Comparison both = Compare({ .m_seed = seed });
    for (int tenant = 1; tenant < OverloadScenario().m_tenants; ++tenant) {
      const Filter filter = [tenant](const JobResult& aJob) {
        return aJob.m_tenant == tenant;
      };
      before[tenant] += Count(both.m_acceptAll, Outcome::InTime, filter);
      after[tenant] += Count(both.m_admission, Outcome::InTime, filter);
    }
  }
  for (const auto& [tenant, count] : before) {
    INFO("tenant " << tenant);
    CHECK(after.at(tenant) >= count);
  }
}

// Guards against refusals while the pool can follow its load.
TEST_CASE("Nothing is refused in a turn that the pool can serve", "[admission]")
{
  const OverloadResult result =
    OverloadSimulation({ .m_floodFactor = 1, .m_movableMachines = 60 }).Run();
  INFO(Describe(result));
  CHECK(result.m_refusedRequests == 0);
}

// Guards against large jobs that are refused again and again while small ones
// pass.
TEST_CASE("Large jobs are not refused for ever", "[admission]")
{
  const Comparison both = Compare({ .m_bigJobShare = 0.05 });
  INFO("accept all: " << Describe(both.m_acceptAll));
  INFO("admission: " << Describe(both.m_admission));
  const auto large =
    static_cast<int>(std::ranges::count_if(both.m_admission.m_jobs, IsLarge));
  REQUIRE(large > 50);
  CHECK(Count(both.m_admission, Outcome::Refused, IsLarge) <= large / 50);
}

// Guards against jobs that were refused in the same second and come back at the
// same time.
TEST_CASE("Retries after refusals do not arrive together", "[admission]")
{
  const OverloadResult result = OverloadSimulation({}).Run();
  INFO(Describe(result));
  REQUIRE(result.m_retries > 200);
  // 100 ms of the turn bring some 50 new jobs.
  CHECK(result.m_mostRetriesAtOnce <= 25);
}
