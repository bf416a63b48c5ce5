#include "jobs/job_entry.h"
#include "tests/fakes/scheduler_fixture.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace bramleystall;

namespace {

constexpr int kMaxWorkers = 3;
constexpr int kRounds = 50;
constexpr int kMaxAttempts = 3;
/** Within this time all jobs have to end once nothing is delayed any more. */
constexpr int kMaxSettleSeconds = 30;

/**
 * A history of renewals, starts and stops that are under way side by side,
 * whose orders and responses overtake each other; each seed is one of its own.
 * The workers stay up.
 */
class Interleavings : private SchedulerFixture
{
public:
  explicit Interleavings(int aSeed)
    : m_random(static_cast<unsigned>(aSeed))
    , m_workerCount(2 + Pick(kMaxWorkers - 1))
    , m_longDelayOdds(16 << Pick(4))
    , m_mediumDelayOdds(1 + Pick(3))
  {
    for (int i = 2; i < m_workerCount; ++i) {
      m_workers.Add(JobCluster::MakeReport(i));
    }
    m_workers.SetMaxListedEnds(Pick(4) == 0 ? 2 : 500);
    m_workers.SetClockRate(Pick(2) == 0 ? 0.98 : 1);
    m_workers.SetPlanner([this](const std::string& aTask, std::int64_t) {
      return DrawPlan(aTask);
    });
    StartScheduler();
    for (int i = 0; i < m_workerCount; ++i) {
      m_scheduler->OnWorkerReport(JobCluster::MakeReport(i));
    }
    m_scheduler->OnWorkersListed();
    m_loop.AdvanceBy(absl::Milliseconds(300));
    m_delayed.m_delays = [this](WorkerOrderKind) {
      return OrderDelays{ .m_request = DrawDelay(), .m_response = DrawDelay() };
    };
  }

  void Play()
  {
    for (int round = 0; round < kRounds; ++round) {
      SubmitJobs(round);
      Disturb();
      m_loop.AdvanceBy(absl::Milliseconds(20 + Pick(300)));
    }
    m_delayed.m_delays = [](WorkerOrderKind) { return OrderDelays{}; };
    m_client.m_lostStartResponses = 0;
    for (int i = 0; i < m_workerCount; ++i) {
      m_scheduler->SetEvacuating(absl::StrCat("worker-", i), false);
    }
    for (int i = 0; i < kMaxSettleSeconds && !HaveJobsEnded(); ++i) {
      m_loop.AdvanceBy(absl::Seconds(1));
    }
    m_loop.AdvanceBy(absl::Seconds(2));
  }

  void Check()
  {
    for (const std::string& broken : m_workers.Violations()) {
      FAIL_CHECK(broken);
    }
    CHECK_FALSE(m_isSuperseded);
    CHECK(m_startedAfterEnd.empty());
    // The workers stay up and in reach, so each run ends with a listed end.
    CHECK(m_metrics.CounterValue("bramleystall_unexpected_runs_total") == 0);
    CHECK(m_metrics.CounterValue("bramleystall_tasks_lost_total",
                                 { { "reason", "not_listed" } }) == 0);
    CHECK(m_metrics.CounterValue("bramleystall_tasks_lost_total",
                                 { { "reason", "lease_lapsed" } }) == 0);
    for (const JobRecord& job : m_jobs) {
      CheckJob(job);
    }
    for (const JobRecord& job : m_jobs) {
      if (IsLongRunning(job)) {
        Cancel(job);
      }
    }
    m_loop.AdvanceBy(absl::Seconds(3));
    CHECK(m_scheduler->UsedLoad("counter") == 0);
    for (const JobRecord& job : m_jobs) {
      INFO(job.m_id);
      CHECK(FinalStateOf(job.m_id).has_value());
      for (const std::string& task : TasksOf(job)) {
        INFO(task);
        CHECK(m_workers.RunningOn(task).empty());
      }
    }
  }

private:
  int Pick(int aBelow)
  {
    return static_cast<int>(m_random() % static_cast<unsigned>(aBelow));
  }

  absl::Duration DrawDelay()
  {
    const bool isLong = Pick(m_longDelayOdds) == 0;
    const bool isMedium = Pick(m_mediumDelayOdds) == 0;
    return absl::Milliseconds(Pick(isLong ? 900 : isMedium ? 350 : 15));
  }

  /** Called for each start that a worker carries out. */
  FakeRunPlan DrawPlan(const std::string& aTask)
  {
    if (FinalStateOf(aTask.substr(0, aTask.find('.')))) {
      m_startedAfterEnd.push_back(aTask);
    }
    if (aTask.starts_with("long")) {
      return { .m_isLongRunning = true };
    }
    return { .m_time = absl::Milliseconds(20 + Pick(Pick(4) == 0 ? 2500 : 400)),
             .m_end = Pick(25) == 0 ? TaskEndKind::Failed : TaskEndKind::Done,
             .m_isStalled = Pick(50) == 0 };
  }

  void Submit(const JobRecord& aJob)
  {
    m_jobs.push_back(aJob);
    m_store.Set(m_keys.Entry(aJob.m_id), EncodeJobEntry({}));
    SchedulerFixture::Submit(aJob);
  }

  void SubmitJobs(int aRound)
  {
    if (aRound % 20 == 0) {
      JobRecord job =
        JobCluster::MakeJob(absl::StrCat("long", m_jobs.size()), 2, 1);
      StepSpec& step = job.m_steps.front();
      step.m_isLongRunning = true;
      step.m_maxDisrupted = 1 + Pick(2);
      step.m_need = { .m_cpu = 300, .m_memoryMb = 100 };
      Submit(job);
    }
    for (int i = Pick(4); i > 0; --i) {
      JobRecord job = JobCluster::MakeJob(
        absl::StrCat("job", m_jobs.size()), 1 + Pick(4), 1 + Pick(2));
      for (StepSpec& step : job.m_steps) {
        step.m_need = { .m_cpu = 400, .m_memoryMb = 200 };
      }
      Submit(job);
    }
  }

  void Cancel(const JobRecord& aJob)
  {
    m_cancelled.push_back(aJob.m_id);
    m_store.Set(m_keys.Cancel(aJob.m_id), "{}");
  }

  void Disturb()
  {
    const int worker = Pick(m_workerCount);
    const std::string id = absl::StrCat("worker-", worker);
    switch (Pick(8)) {
      case 0:
        // The worker is watched with several renewals at a time afterwards.
        m_client.m_lostStartResponses = 1;
        break;
      case 1:
        if (!m_jobs.empty()) {
          Cancel(m_jobs[Pick(static_cast<int>(m_jobs.size()))]);
        }
        break;
      case 2:
        m_scheduler->SetEvacuating(id, true);
        m_scheduler->EvacuateLongRunning(
          *m_scheduler->WorkerOnMachine(absl::StrCat("machine-", worker)));
        break;
      case 3:
        m_scheduler->SetEvacuating(id, false);
        break;
      case 4:
        m_loop.After(absl::Milliseconds(Pick(200)),
                     [this, time = absl::Milliseconds(50 + Pick(700))] {
                       m_loop.AddIterationTime(time);
                     });
        break;
      default:
        break;
    }
  }

  static bool IsLongRunning(const JobRecord& aJob)
  {
    return aJob.m_steps.front().m_isLongRunning;
  }

  static std::vector<std::string> TasksOf(const JobRecord& aJob)
  {
    std::vector<std::string> tasks;
    for (std::size_t step = 0; step < aJob.m_steps.size(); ++step) {
      for (int index = 0; index < aJob.m_steps[step].m_count; ++index) {
        tasks.push_back(absl::StrCat(aJob.m_id, ".0.", step, ".", index));
      }
    }
    return tasks;
  }

  /** Final state of a job; unset if it has none. */
  std::optional<JobState> FinalStateOf(const std::string& aId) const
  {
    const auto entry = DecodeJobEntry(m_store.Value(m_keys.Entry(aId)));
    return entry ? entry->m_finalState : std::nullopt;
  }

  bool IsCancelled(const JobRecord& aJob) const
  {
    return std::ranges::find(m_cancelled, aJob.m_id) != m_cancelled.end();
  }

  bool HaveJobsEnded() const
  {
    return std::ranges::all_of(m_jobs, [this](const JobRecord& aJob) {
      return FinalStateOf(aJob.m_id).has_value() ||
             (IsLongRunning(aJob) && !IsCancelled(aJob));
    });
  }

  void CheckJob(const JobRecord& aJob)
  {
    INFO(aJob.m_id);
    const bool isCancelled = IsCancelled(aJob);
    const std::optional<JobState> state = FinalStateOf(aJob.m_id);
    if (IsLongRunning(aJob) && !isCancelled) {
      CHECK_FALSE(state.has_value());
    } else {
      REQUIRE(state.has_value());
    }
    CHECK((state != JobState::Cancelled || isCancelled));
    int mostFailures = 0;
    for (const std::string& task : TasksOf(aJob)) {
      INFO(task);
      const int failures = m_workers.EndCount(task, TaskEndKind::Failed);
      mostFailures = std::max(mostFailures, failures);
      CHECK(m_workers.EndCount(task, TaskEndKind::Done) <= 1);
      if (state == JobState::Completed) {
        CHECK(m_workers.EndCount(task, TaskEndKind::Done) == 1);
      }
      if (!state) {
        CHECK(m_workers.RunningOn(task).size() == 1);
      }
    }
    CHECK(mostFailures <= kMaxAttempts);
    CHECK((state != JobState::Failed || mostFailures == kMaxAttempts));
  }

  std::mt19937 m_random;
  int m_workerCount;
  /** One of this many orders or responses takes so long that it may time out.
   */
  int m_longDelayOdds;
  /** One of this many takes longer than the interval of a watched worker's
   * renewals. */
  int m_mediumDelayOdds;
  std::vector<JobRecord> m_jobs;
  std::vector<std::string> m_cancelled;
  /** Tasks that were started although their job had a final state. */
  std::vector<std::string> m_startedAfterEnd;
};

}

// Guards against a list, a stop's acknowledgement or a start's response that is
// taken for a later one than it is, so that a task runs twice or never again
// (rule TWICE, issue 34).
TEST_CASE("Tasks run once through orders that overtake each other",
          "[scheduler]")
{
  const int seed = GENERATE(range(1, 201));
  INFO("seed " << seed);
  Interleavings history(seed);
  history.Play();
  history.Check();
}
