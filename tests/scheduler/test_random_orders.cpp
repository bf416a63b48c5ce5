#include "tests/fakes/job_cluster.h"
#include "tests/fakes/quiet_log.h"
#include "tests/fakes/slow_network.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <iterator>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace bramleystall;

namespace {

constexpr int kWorkers = 5;
constexpr int kRounds = 30;

/** A history of random failures; each seed is one of its own. */
class RandomOrders
{
public:
  explicit RandomOrders(int aSeed)
    : m_random(static_cast<unsigned>(aSeed))
  {
    m_cluster.m_workers.SetPlanner(
      [this](const std::string& aTask, std::int64_t) {
        if (aTask.starts_with("long")) {
          return FakeRunPlan{ .m_isLongRunning = true };
        }
        return FakeRunPlan{ .m_time = absl::Milliseconds(100 + Pick(2500)),
                            .m_end = Pick(30) == 0 ? TaskEndKind::Failed
                                                   : TaskEndKind::Done };
      });
    m_cluster.m_workers.IgnoreUnrefusableStarts();
  }

  /** Delays orders and responses and slows iterations of the event loop. */
  void SlowDown(int aSeed)
  {
    m_slowNetwork = std::make_unique<SlowNetwork>(m_cluster, aSeed);
  }

  void Play()
  {
    for (; m_nextDaemon < 3; ++m_nextDaemon) {
      m_cluster.AddDaemon(absl::StrCat("daemon-", m_nextDaemon));
    }
    m_cluster.Run(absl::Milliseconds(300));
    for (int round = 0; round < kRounds; ++round) {
      SubmitJobs(round);
      Disturb();
      m_cluster.Run(absl::Milliseconds(50 + Pick(1200)));
      REQUIRE(m_cluster.Owners() <= 1);
    }
    for (auto& [name, daemon] : m_cluster.m_daemons) {
      daemon->m_store.m_isPartitioned = false;
      daemon->m_store.m_isRefusing = false;
      daemon->m_workers.m_unreachableWorkers.clear();
    }
    m_slowNetwork.reset();
    m_cluster.Run(absl::Seconds(1));
    for (int i = 0; i < kWorkers; ++i) {
      m_cluster.ListWorker(absl::StrCat("worker-", i));
    }
    m_cluster.Run(absl::Seconds(25));
  }

  void Check()
  {
    for (const std::string& job : m_jobs) {
      INFO(job);
      const std::string state = m_cluster.State(job);
      CHECK((state == "completed" || state == "failed"));
    }
    for (const std::string& job : m_longJobs) {
      INFO(job);
      CHECK(m_cluster.m_workers.RunningOn(job + ".0.0.0").size() == 1);
      CHECK(m_cluster.m_workers.RunningOn(job + ".0.0.1").size() == 1);
    }
    for (const std::string& broken : m_cluster.m_workers.Violations()) {
      FAIL_CHECK(broken);
    }
  }

private:
  int Pick(int aBelow)
  {
    return static_cast<int>(m_random() % static_cast<unsigned>(aBelow));
  }

  void SubmitJobs(int aRound)
  {
    if (aRound % 8 == 0) {
      m_longJobs.push_back(absl::StrCat("long", m_longJobs.size()));
      JobRecord record = JobCluster::MakeJob(m_longJobs.back(), 2, 1);
      record.m_steps.front().m_isLongRunning = true;
      record.m_steps.front().m_maxPerWorker = 1;
      record.m_steps.front().m_need = { .m_cpu = 300, .m_memoryMb = 100 };
      m_cluster.Submit(record);
    }
    for (int i = Pick(3); i > 0; --i) {
      m_jobs.push_back(absl::StrCat("job", m_jobs.size()));
      m_cluster.Submit(
        JobCluster::MakeJob(m_jobs.back(), 1 + Pick(4), 1 + Pick(3)));
    }
  }

  void Disturb()
  {
    auto found = m_cluster.m_daemons.begin();
    std::advance(found, Pick(static_cast<int>(m_cluster.m_daemons.size())));
    JobCluster::Daemon& daemon = *found->second;
    const std::string worker = absl::StrCat("worker-", Pick(kWorkers));
    switch (Pick(10)) {
      case 0:
        m_cluster.KillDaemon(found->first);
        m_cluster.AddDaemon(absl::StrCat("daemon-", m_nextDaemon++));
        break;
      case 1:
        daemon.m_store.m_isPartitioned = !daemon.m_store.m_isPartitioned;
        break;
      case 2:
        daemon.m_workers.m_unreachableWorkers.insert(worker);
        break;
      case 3:
        daemon.m_workers.m_unreachableWorkers.clear();
        break;
      case 4:
      case 5:
        m_cluster.RestartListedWorker(worker);
        break;
      case 6:
        // Cut off from the store and from the daemons, or only from the store.
        m_cluster.UnlistWorker(worker);
        if (Pick(2) == 0) {
          for (auto& [name, cutOff] : m_cluster.m_daemons) {
            cutOff->m_workers.m_unreachableWorkers.insert(worker);
          }
        }
        break;
      case 7:
        for (auto& [name, reached] : m_cluster.m_daemons) {
          reached->m_workers.m_unreachableWorkers.erase(worker);
        }
        m_cluster.ListWorker(worker);
        break;
      default:
        daemon.m_workers.m_lostStartResponses = Pick(2);
        daemon.m_workers.m_delayedStarts = Pick(3);
        daemon.m_workers.m_delayedStops = Pick(2);
        daemon.m_workers.m_delayedRenewals = Pick(3);
        daemon.m_workers.m_orderDelay = absl::Milliseconds(500 + Pick(6000));
        break;
    }
  }

  std::mt19937 m_random;
  JobCluster m_cluster{ kWorkers };
  std::unique_ptr<SlowNetwork> m_slowNetwork;
  int m_nextDaemon = 0;
  std::vector<std::string> m_jobs;
  std::vector<std::string> m_longJobs;
};

}

// Guards against violations of any invariant when orders are carried out late
// at restarted workers and entries of workers expire and return, with tasks
// that run for long.
TEST_CASE("Invariants hold through late orders and restarts", "[scheduler]")
{
  const QuietLog quiet;
  const int seed = GENERATE(range(1, 201));
  INFO("seed " << seed);
  RandomOrders history(seed);
  history.Play();
  history.Check();
}

// Guards against violations of any invariant in the same histories while orders
// and responses overtake each other and iterations of the event loop are slow
// (rule TWICE, issue 34).
TEST_CASE("Invariants hold through late orders in a slow network",
          "[scheduler]")
{
  const QuietLog quiet;
  const int seed = GENERATE(range(1, 101));
  INFO("seed " << seed);
  RandomOrders history(seed);
  history.SlowDown(seed);
  history.Play();
  history.Check();
}
