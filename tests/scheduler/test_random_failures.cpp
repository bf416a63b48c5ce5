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

/** A history of random losses; each seed is one of its own. */
class RandomFailures
{
public:
  RandomFailures(int aSeed, std::size_t aMaxListedEnds)
    : m_random(static_cast<unsigned>(aSeed))
  {
    m_cluster.m_workers.SetMaxListedEnds(aMaxListedEnds);
    m_cluster.m_workers.SetPlanner([this](const std::string&, std::int64_t) {
      return FakeRunPlan{ .m_time = absl::Milliseconds(100 + Pick(900)),
                          .m_end = Pick(30) == 0 ? TaskEndKind::Failed
                                                 : TaskEndKind::Done };
    });
  }

  /** Delays orders and responses and slows iterations of the event loop. */
  void SlowDown(int aSeed)
  {
    m_cluster.m_workers.IgnoreUnrefusableStarts();
    m_slowNetwork = std::make_unique<SlowNetwork>(m_cluster, aSeed);
  }

  void Play()
  {
    for (; m_nextDaemon < 3; ++m_nextDaemon) {
      m_cluster.AddDaemon(absl::StrCat("daemon-", m_nextDaemon));
    }
    m_cluster.Run(absl::Milliseconds(300));
    for (int round = 0; round < kRounds; ++round) {
      for (int i = Pick(3); i > 0; --i) {
        m_jobs.push_back(absl::StrCat("job", m_jobs.size()));
        m_cluster.Submit(
          JobCluster::MakeJob(m_jobs.back(), 1 + Pick(4), 1 + Pick(3)));
      }
      Disturb();
      m_cluster.Run(absl::Milliseconds(100 + Pick(1500)));
      REQUIRE(m_cluster.Owners() <= 1);
    }
    for (auto& [name, daemon] : m_cluster.m_daemons) {
      daemon->m_store.m_isPartitioned = false;
      daemon->m_store.m_isRefusing = false;
      daemon->m_workers.m_unreachableWorkers.clear();
    }
    m_slowNetwork.reset();
    m_cluster.Run(absl::Seconds(40));
  }

  void Check()
  {
    for (const std::string& job : m_jobs) {
      INFO(job);
      const std::string state = m_cluster.State(job);
      CHECK((state == "completed" || state == "failed"));
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

  void Disturb()
  {
    auto found = m_cluster.m_daemons.begin();
    std::advance(found, Pick(static_cast<int>(m_cluster.m_daemons.size())));
    JobCluster::Daemon& daemon = *found->second;
    const std::string worker = absl::StrCat("worker-", Pick(kWorkers));
    switch (Pick(9)) {
      case 0:
        m_cluster.KillDaemon(found->first);
        m_cluster.AddDaemon(absl::StrCat("daemon-", m_nextDaemon++));
        break;
      case 1:
        daemon.m_store.m_isPartitioned = !daemon.m_store.m_isPartitioned;
        break;
      case 2:
        daemon.m_store.m_isRefusing = !daemon.m_store.m_isRefusing;
        break;
      case 3:
        daemon.m_workers.m_unreachableWorkers.insert(worker);
        break;
      case 4:
        daemon.m_workers.m_unreachableWorkers.clear();
        break;
      case 5:
        m_cluster.RestartWorker(worker);
        break;
      case 6:
        daemon.m_store.m_lostCommitResponses = 1 + Pick(2);
        break;
      case 7:
        daemon.m_workers.m_lostStartResponses = 1 + Pick(2);
        daemon.m_workers.m_delayedStarts = Pick(2);
        break;
      default:
        m_cluster.m_store.Compact();
        break;
    }
  }

  std::mt19937 m_random;
  JobCluster m_cluster{ kWorkers };
  std::unique_ptr<SlowNetwork> m_slowNetwork;
  int m_nextDaemon = 0;
  std::vector<std::string> m_jobs;
};

}

// Guards against violations of any invariant under random losses of owners,
// workers, connections and responses. Each seed is a history of its own.
TEST_CASE("Invariants hold through random failures", "[scheduler]")
{
  const int seed = GENERATE(range(1, 201));
  const std::size_t maxListedEnds = GENERATE(500, 2);
  const QuietLog quiet;
  INFO("seed " << seed << ", ends listed at once " << maxListedEnds);
  RandomFailures history(seed, maxListedEnds);
  history.Play();
  history.Check();
}

// Guards against violations of any invariant under the same losses while orders
// and responses overtake each other and iterations of the event loop are slow
// (rule TWICE, issue 34).
TEST_CASE("Invariants hold through random failures in a slow network",
          "[scheduler]")
{
  const int seed = GENERATE(range(1, 101));
  const QuietLog quiet;
  INFO("seed " << seed);
  RandomFailures history(seed, 500);
  history.SlowDown(seed);
  history.Play();
  history.Check();
}
