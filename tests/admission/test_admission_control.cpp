#include "admission/admission_control.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace bramleystall;

namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);

/** A pool with 10 machines behind 100 machine-seconds of work, and none that
 * can move there. */
PublishedLoad
MakeLoad()
{
  PublishedLoad load{ .m_machines = 10 };
  PublishedPool& pool = load.m_pools["counter"];
  pool.m_machines = 10;
  pool.m_waiting = { { 1, 2000, 50 }, { 1, kLateBoundMs, 50 } };
  pool.m_tenants["a"] = { .m_waiting = 50 };
  pool.m_tenants["b"] = { .m_waiting = 50 };
  return load;
}

AdmissionJob
MakeJob(const std::string& aTenant = "a")
{
  return { .m_id = "5c0e7a21d94b36f8",
           .m_pool = "counter",
           .m_tenant = aTenant,
           .m_priority = 1,
           .m_objective = absl::Seconds(2),
           .m_inTimeWait = absl::Seconds(1),
           .m_lateObjective = absl::Seconds(6),
           .m_leastRunTime = absl::Milliseconds(400),
           .m_work = 1 };
}

std::optional<double>
EqualWeights(const std::string&)
{
  return 5.0;
}

std::optional<AdmissionRefusal>
Decide(const PublishedLoad& aLoad,
       const AdmissionJob& aJob,
       absl::Duration aAge = absl::Milliseconds(100))
{
  AdmissionControl control;
  return control.Decide(
    aJob, 0, { { 0, { &aLoad, kNow - aAge } } }, EqualWeights, kNow);
}

}

// Guards against a job that is accepted although it cannot be served, and
// against a refusal without a time to come again.
TEST_CASE("A job that cannot be completed in time is refused", "[admission]")
{
  const auto refusal = Decide(MakeLoad(), MakeJob());
  REQUIRE(refusal);
  CHECK(refusal->m_reason == AdmissionReason::TooLate);
  CHECK(refusal->m_retryAfterS >= 1);
}

// Guards against refusals by a view that says nothing about the present load.
TEST_CASE("Without a recent view nothing is refused", "[admission]")
{
  const PublishedLoad load = MakeLoad();
  AdmissionControl control;
  CHECK_FALSE(control.Decide(MakeJob(), 0, {}, EqualWeights, kNow));
  CHECK_FALSE(control.Decide(
    MakeJob(), 1, { { 0, { &load, kNow } } }, EqualWeights, kNow));
  CHECK_FALSE(control.Decide(MakeJob(), 0, { { 0, {} } }, EqualWeights, kNow));
  CHECK(Decide(load, MakeJob(), absl::Milliseconds(2900)));
  CHECK_FALSE(Decide(load, MakeJob(), absl::Milliseconds(3100)));
}

// Guards against refusals while the pool or its machines are not known.
TEST_CASE("A pool without known machines refuses nothing", "[admission]")
{
  PublishedLoad load = MakeLoad();
  AdmissionJob other = MakeJob();
  other.m_pool = "other";
  CHECK_FALSE(Decide(load, other));
  load.m_machines = 0;
  load.m_pools["counter"].m_machines = 0;
  CHECK_FALSE(Decide(load, MakeJob()));
}

// Guards against refusals by the capacity that a pool has now, while machines
// that can move to it make up for the backlog.
TEST_CASE("Machines that can move count for a pool", "[admission]")
{
  PublishedLoad load = MakeLoad();
  load.m_machines = 60;
  CHECK_FALSE(Decide(load, MakeJob()));
  // Another pool that is behind as well keeps its machines.
  PublishedPool& other = load.m_pools["other"];
  other.m_machines = 50;
  other.m_waiting = { { 1, 2000, 300 } };
  CHECK(Decide(load, MakeJob()));
  // One that will have served its work does not.
  other.m_waiting = { { 1, 2000, 20 } };
  CHECK_FALSE(Decide(load, MakeJob()));
}

// Guards against refusals of urgent jobs by work that is placed after them.
TEST_CASE("Only work that is placed before a job delays it", "[admission]")
{
  PublishedLoad load = MakeLoad();
  AdmissionJob urgent = MakeJob();
  urgent.m_priority = 0;
  CHECK_FALSE(Decide(load, urgent));
  load.m_pools["counter"].m_waiting = { { 1, 16'000, 100 } };
  CHECK_FALSE(Decide(load, MakeJob()));
  load.m_pools["counter"].m_waiting = { { 0, 16'000, 100 } };
  CHECK(Decide(load, MakeJob()));
}

// Guards against refusals of a tenant whose share of the pool is free because
// another tenant has filled it.
TEST_CASE("A tenant without waiting work is not refused", "[admission]")
{
  CHECK_FALSE(Decide(MakeLoad(), MakeJob("c")));
}

// Guards against a tenant that keeps its rate above its weight in a pool that
// is behind, and against a refusal for this while the pool is not.
TEST_CASE("Jobs beyond the weight are refused first", "[admission]")
{
  PublishedLoad load = MakeLoad();
  load.m_pools["counter"].m_waiting = { { 1, 2000, 20 } };
  load.m_pools["counter"].m_tenants["a"] = { .m_waiting = 15 };
  load.m_arrivals["a"] = 4;
  CHECK_FALSE(Decide(load, MakeJob()));
  load.m_arrivals["a"] = 6;
  const auto refusal = Decide(load, MakeJob());
  REQUIRE(refusal);
  CHECK(refusal->m_reason == AdmissionReason::OverWeight);
  load.m_pools["counter"].m_waiting = { { 1, 2000, 5 } };
  CHECK_FALSE(Decide(load, MakeJob()));
}

// Guards against accepting a burst that no owner has published yet.
TEST_CASE("What this daemon accepted since the view counts", "[admission]")
{
  PublishedLoad load = MakeLoad();
  load.m_pools["counter"].m_waiting.clear();
  load.m_pools["counter"].m_tenants.clear();
  const std::map<int, LoadView> views = { { 0, { &load, kNow } } };
  AdmissionControl control;
  int accepted = 0;
  while (accepted < 1000 &&
         !control.Decide(MakeJob(), 0, views, EqualWeights, kNow)) {
    ++accepted;
  }
  // 10 machines serve 10 jobs of 1 machine-second each second.
  CHECK(accepted >= 10);
  CHECK(accepted <= 70);
  // A view that is seen later contains them.
  const absl::Time later = kNow + absl::Milliseconds(800);
  const std::map<int, LoadView> next = { { 0, { &load, later } } };
  CHECK_FALSE(control.Decide(MakeJob(), 0, next, EqualWeights, later));
}

// Guards against jobs that were refused together and are all told to come back
// in the same second, and against a time that is no whole second from 1 to 8.
TEST_CASE("Retry-After is spread by the job's id", "[admission]")
{
  std::map<int, int> counts;
  for (int i = 0; i < 1000; ++i) {
    ++counts[RetryAfterSeconds(
      absl::StrCat("job", i), absl::Milliseconds(500), absl::Seconds(6))];
  }
  CHECK(counts.size() >= 3);
  CHECK(counts.begin()->first >= 1);
  CHECK(std::ranges::all_of(
    counts, [](const auto& aEntry) { return aEntry.second < 500; }));
  CHECK(RetryAfterSeconds("job", absl::ZeroDuration(), absl::ZeroDuration()) ==
        1);
  CHECK(RetryAfterSeconds("job", absl::Hours(1), absl::Hours(1)) == 8);
}
