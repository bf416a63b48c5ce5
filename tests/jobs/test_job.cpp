#include "core/error.h"
#include "jobs/demand_estimator.h"
#include "jobs/job.h"
#include "jobs/job_codec.h"
#include "jobs/placement.h"
#include "tests/fakes/job_cluster.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <malloc.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

using namespace bramleystall;

namespace {

/** Usable workers with 4 cores each, two in a rack. */
struct Pool
{
  explicit Pool(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      Worker worker;
      worker.m_report = JobCluster::MakeReport(i);
      worker.m_isListed = true;
      worker.m_isLeaseRecorded = true;
      worker.m_clockReadAt = m_now;
      m_workers.push_back(worker);
    }
  }

  Placement MakePlacement()
  {
    std::vector<Worker*> workers;
    for (Worker& worker : m_workers) {
      workers.push_back(&worker);
    }
    return { workers, m_now };
  }

  void Put(Task& aTask, Worker& aWorker)
  {
    aWorker.m_tasks.insert(&aTask);
    aWorker.m_used.Add(OccupiedBy(aTask.m_job->Spec(aTask)));
  }

  absl::Time m_now = absl::FromUnixSeconds(1000);
  std::deque<Worker> m_workers;
};

const WorkerFilter kAnyWorker = [](const Worker&) { return true; };

}

// Guards against lost failure counts when a new owner receives task ends out
// of order after a takeover (BUDGET, trouble-3 of cavefraiche-sched).
TEST_CASE("Each failed attempt counts once, in any order", "[jobs]")
{
  Job job(JobCluster::MakeJob("job1", 1, 1));
  Task& task = job.Tasks(0, 0).front();
  job.MarkFailed(task, 3);
  job.MarkFailed(task, 2);
  job.MarkFailed(task, 3);
  REQUIRE(task.Failures() == 2);
  REQUIRE(job.State() == JobState::Running);
  job.MarkFailed(task, 1);
  REQUIRE(job.State() == JobState::Failed);
}

TEST_CASE("A job's progress is restored after a restart", "[jobs]")
{
  Job job(JobCluster::MakeJob("job1", 3, 2));
  job.MarkDone(job.Tasks(0, 0)[0]);
  job.MarkFailed(job.Tasks(0, 0)[1], 1);
  job.Tasks(0, 0)[2].m_checkpoint = "saved";
  job.AddWorker("worker-1");
  Job copy(DecodeJobRecord("job1", EncodeJobRecord(job.Record())));
  copy.ApplyProgress(job.EncodeProgress());
  REQUIRE(copy.Tasks(0, 0)[0].m_phase == TaskPhase::Done);
  REQUIRE(copy.Tasks(0, 0)[1].Failures() == 1);
  REQUIRE(copy.Tasks(0, 0)[2].m_checkpoint == "saved");
  REQUIRE(copy.IsWorkerRecorded("worker-1"));
  REQUIRE_FALSE(copy.IsStepReady(0, 1));
  REQUIRE(copy.State() == JobState::Running);
  REQUIRE_THROWS_AS(copy.ApplyProgress("{]"), Error);
  REQUIRE_THROWS_AS(DecodeJobRecord("job1", "[]"), Error);
}

TEST_CASE("A repeated job completes with its last occurrence", "[jobs]")
{
  JobRecord record = JobCluster::MakeJob("job1", 1, 1);
  record.m_repeats = 2;
  record.m_firstDueMs = 5000;
  record.m_intervalMs = 1000;
  Job job(record);
  REQUIRE(job.DueMs(1) == 6000);
  job.MarkDone(job.Tasks(0, 0).front());
  REQUIRE(job.State() == JobState::Running);
  job.MarkDone(job.Tasks(1, 0).front());
  REQUIRE(job.State() == JobState::Completed);
}

namespace {

/** A scheduled job of one task; occurrence K is due at K s after 1970. */
JobRecord
MakeScheduled(int aRepeats, int aTasks = 1)
{
  JobRecord record = JobCluster::MakeJob("job1", aTasks, 1);
  record.m_repeats = aRepeats;
  record.m_firstDueMs = 0;
  record.m_intervalMs = 1000;
  return record;
}

void
OpenDue(Job& aJob, std::int64_t aNowMs)
{
  while (aJob.MayOpenNext(aNowMs)) {
    aJob.OpenNext();
  }
}

}

// Guards against memory for occurrences that are still to come, with which a
// few scheduled jobs stop their shard (rule LOST, review/7).
TEST_CASE("Scheduled jobs take memory for due occurrences only", "[jobs]")
{
  constexpr std::size_t kJobs = 12;
  const std::size_t before = mallinfo2().uordblks;
  std::vector<std::unique_ptr<Job>> jobs;
  jobs.reserve(kJobs);
  for (std::size_t i = 0; i < kJobs; ++i) {
    jobs.push_back(std::make_unique<Job>(MakeScheduled(86'400)));
  }
  CHECK(mallinfo2().uordblks < before + 1024 * 1024);
}

// Guards against jobs whose dependencies take memory that no limit counts.
TEST_CASE("The memory of a job includes its dependencies", "[jobs]")
{
  JobRecord record;
  record.m_steps.resize(1);
  const std::size_t without = LargestMemory(record);
  record.m_steps.front().m_after.resize(1'000);
  CHECK(LargestMemory(record) == without + 1'000 * sizeof(int));
}

// Guards against the same for occurrences that are all due at once, as after a
// long outage.
TEST_CASE("Due occurrences are opened as far as there is room", "[jobs]")
{
  constexpr std::int64_t kLongAfterMs = 1'000'000'000;
  Job job(MakeScheduled(100'000, 900));
  OpenDue(job, 500);
  CHECK(job.OpenOccurrences() == std::vector{ 0 });
  OpenDue(job, kLongAfterMs);
  CHECK(job.OpenOccurrences() == std::vector{ 0, 1 });
  for (Task& task : job.Tasks(0, 0)) {
    job.MarkDone(task);
  }
  CHECK(job.DropFinished() == std::vector{ 0 });
  OpenDue(job, kLongAfterMs);
  CHECK(job.OpenOccurrences() == std::vector{ 1, 2 });
  CHECK(job.Find({ "job1", 0, 0, 0 }) == nullptr);
  CHECK(job.IsStepDone(0, 0));
  CHECK_FALSE(job.IsStepDone(1, 0));
}

// Guards against a next owner that finds later occurrences running and has no
// room for the earlier ones, for good (rule LOST).
TEST_CASE("Occurrences opened out of order take no room from the next one",
          "[jobs]")
{
  Job job(MakeScheduled(10, 900));
  for (const int k : { 5, 7, 9 }) {
    REQUIRE(job.Find({ "job1", k, 0, 0 }) != nullptr);
    for (Task& task : job.Tasks(k, 0)) {
      job.MarkDone(task);
    }
  }
  for (int k = 0; k < 10; ++k) {
    job.DropFinished();
    REQUIRE(job.MayOpenNext(9000));
    job.OpenNext();
    for (Task& task : job.Tasks(k, 0)) {
      job.MarkDone(task);
    }
  }
  CHECK(job.State() == JobState::Completed);
}

// Guards against dropping a task that a worker may still run.
TEST_CASE("An occurrence with a placed task is not dropped", "[jobs]")
{
  Job job(MakeScheduled(2));
  OpenDue(job, 0);
  Task& task = job.Tasks(0, 0).front();
  task.m_worker = "worker-0";
  job.MarkDone(task);
  CHECK(job.DropFinished().empty());
  task.m_worker.clear();
  CHECK(job.DropFinished().size() == 1);
}

// Guards against a next owner that runs finished occurrences again, or skips
// open ones (rules TWICE and LOST), and against progress that grows with them.
TEST_CASE("Progress tells finished occurrences from open ones", "[jobs]")
{
  Job job(MakeScheduled(1000));
  OpenDue(job, 499'000);
  std::size_t size = 0;
  for (int k = 0; k < 500; ++k) {
    if (k != 7) {
      job.MarkDone(job.Tasks(k, 0).front());
    }
    if (k == 100) {
      job.DropFinished();
      size = job.EncodeProgress().size();
    }
  }
  CHECK(job.EncodeProgress().size() < size);
  // A worker has listed a task of an occurrence that is not open yet.
  job.MarkDone(*job.Find({ "job1", 600, 0, 0 }));

  Job copy(MakeScheduled(1000));
  copy.ApplyProgress(job.EncodeProgress());
  CHECK(copy.State() == JobState::Running);
  CHECK(copy.Find({ "job1", 6, 0, 0 }) == nullptr);
  REQUIRE(copy.Find({ "job1", 7, 0, 0 }) != nullptr);
  CHECK(copy.Find({ "job1", 7, 0, 0 })->m_phase == TaskPhase::Waiting);
  CHECK(copy.Find({ "job1", 600, 0, 0 })->m_phase == TaskPhase::Done);
  copy.MarkDone(*copy.Find({ "job1", 7, 0, 0 }));
  OpenDue(copy, 999'000);
  for (const int k : copy.OpenOccurrences()) {
    copy.MarkDone(copy.Tasks(k, 0).front());
  }
  CHECK(copy.State() == JobState::Completed);
}

// Guards against progress of an earlier version, which lists each finished
// task, and against impossible values.
TEST_CASE("Progress without or with impossible occurrences is handled",
          "[jobs]")
{
  Job job(MakeScheduled(3));
  job.ApplyProgress(
    R"({"state":"running","tasks":[[0,0,0,1,[],""],[1,0,0,1,[],""]]})");
  OpenDue(job, 2000);
  CHECK(job.DropFinished() == std::vector{ 0, 1 });
  CHECK(job.OpenOccurrences() == std::vector{ 2 });
  const std::string text =
    GENERATE(R"({"state":"running","next":4,"open":[]})",
             R"({"state":"running","next":-1,"open":[]})",
             R"({"state":"running","next":2,"open":[2]})",
             R"({"state":"running","next":2,"open":[-1]})");
  Job broken(MakeScheduled(3));
  CHECK_THROWS_AS(broken.ApplyProgress(text), Error);
}

TEST_CASE("Malformed and unknown task names are rejected", "[jobs]")
{
  TaskName name;
  REQUIRE(TaskName::Parse("ab.1.2.3", name));
  REQUIRE(name.m_step == 2);
  REQUIRE_FALSE(TaskName::Parse("ab.1.2", name));
  REQUIRE_FALSE(TaskName::Parse("ab.x.2.3", name));
  Job job(JobCluster::MakeJob("ab", 1, 1));
  REQUIRE(job.Find({ "ab", 0, 0, 5 }) == nullptr);
  REQUIRE(job.Find({ "ab", 0, -1, 0 }) == nullptr);
}

TEST_CASE("Placement respects capacity, labels and the limit per worker",
          "[jobs]")
{
  Pool pool(2);
  JobRecord record = JobCluster::MakeJob("job1", 4, 1);
  record.m_steps[0].m_maxPerWorker = 1;
  Job job(record);
  std::vector<Task>& tasks = job.Tasks(0, 0);
  Worker* first = pool.MakePlacement().Choose(tasks[0], kAnyWorker);
  REQUIRE(first != nullptr);
  pool.Put(tasks[0], *first);
  Worker* second = pool.MakePlacement().Choose(tasks[1], kAnyWorker);
  REQUIRE(second != nullptr);
  REQUIRE(second != first);
  pool.Put(tasks[1], *second);
  REQUIRE(pool.MakePlacement().Choose(tasks[2], kAnyWorker) == nullptr);

  JobRecord labelled = JobCluster::MakeJob("job2", 1, 1);
  labelled.m_steps[0].m_requiredLabel = "missing";
  Job other(labelled);
  REQUIRE(pool.MakePlacement().Choose(other.Tasks(0, 0)[0], kAnyWorker) ==
          nullptr);

  JobRecord large = JobCluster::MakeJob("job3", 1, 1);
  large.m_steps[0].m_need.m_cpu = 3500;
  Job big(large);
  REQUIRE(pool.MakePlacement().Choose(big.Tasks(0, 0)[0], kAnyWorker) ==
          nullptr);
}

TEST_CASE("Placement prefers the rack with the data", "[jobs]")
{
  Pool pool(6);
  JobRecord record = JobCluster::MakeJob("job1", 1, 1);
  record.m_steps[0].m_dataRack = "rack-2";
  Job job(record);
  REQUIRE(pool.MakePlacement().Choose(job.Tasks(0, 0)[0], kAnyWorker)->Rack() ==
          "rack-2");
}

TEST_CASE("Draining, evacuated and unresponsive workers get no task", "[jobs]")
{
  Pool pool(4);
  pool.m_workers[0].m_report.m_isDraining = true;
  pool.m_workers[1].m_isEvacuating = true;
  pool.m_workers[2].m_unansweredRenewals = 1;
  pool.m_workers[3].m_avoidUntil = pool.m_now + absl::Seconds(1);
  Job job(JobCluster::MakeJob("job1", 1, 1));
  REQUIRE(pool.MakePlacement().Choose(job.Tasks(0, 0)[0], kAnyWorker) ==
          nullptr);
}

// Guards against a gang that starts partially and blocks capacity while it
// waits for its other members.
TEST_CASE("A gang is placed as a whole, in one rack if preferred", "[jobs]")
{
  Pool pool(6);
  JobRecord record = JobCluster::MakeJob("job1", 6, 1);
  record.m_steps[0].m_isGang = true;
  record.m_steps[0].m_prefersOneRack = true;
  Job job(record);
  const std::vector<Worker*> chosen =
    pool.MakePlacement().ChooseGang(job.Tasks(0, 0), kAnyWorker);
  REQUIRE(chosen.size() == 6);
  for (const Worker* worker : chosen) {
    REQUIRE(worker->Rack() == chosen.front()->Rack());
  }
  record.m_steps[0].m_count = 25;
  Job large(record);
  REQUIRE(
    pool.MakePlacement().ChooseGang(large.Tasks(0, 0), kAnyWorker).empty());
}

// Guards against fillers on the same worker as tasks with a tail latency limit
// (HARM).
TEST_CASE("Fillers are kept apart from serving tasks", "[jobs]")
{
  Pool pool(1);
  JobRecord serving = JobCluster::MakeJob("job1", 1, 1);
  serving.m_steps[0].m_tailTargetMs = 50;
  Job server(serving);
  pool.Put(server.Tasks(0, 0)[0], pool.m_workers[0]);
  JobRecord filling = JobCluster::MakeJob("job2", 1, 1);
  filling.m_steps[0].m_isFiller = true;
  Job filler(filling);
  REQUIRE(pool.MakePlacement().Choose(filler.Tasks(0, 0)[0], kAnyWorker) ==
          nullptr);
}

TEST_CASE("Estimated demand follows arrivals and measured run times", "[jobs]")
{
  DemandEstimator demand;
  const absl::Time start = absl::FromUnixSeconds(1000);
  for (int i = 0; i < 200; ++i) {
    demand.AddArrival("counter", 0.1, start + absl::Milliseconds(20) * i);
  }
  const absl::Time end = start + absl::Seconds(4);
  REQUIRE(demand.ArrivingLoad("counter", end) == Approx(5.0).epsilon(0.1));
  REQUIRE(demand.ArrivingLoad("counter", end + absl::Seconds(4)) < 0.1);
  REQUIRE(demand.ArrivingLoad("other", end) == 0.0);
  // A grossly overestimated run time must not demand the whole fleet.
  REQUIRE(demand.ExpectedRunTime("quotes", absl::Hours(1)) <= absl::Seconds(3));
  for (int i = 0; i < 200; ++i) {
    demand.AddRunTime("quotes", absl::Seconds(2));
  }
  REQUIRE(absl::ToDoubleSeconds(demand.ExpectedRunTime(
            "quotes", absl::Hours(1))) == Approx(2.0).epsilon(0.1));
}
