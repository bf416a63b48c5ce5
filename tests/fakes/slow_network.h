#pragma once

#include "tests/fakes/job_cluster.h"

#include <absl/time/time.h>

#include <memory>
#include <random>

namespace bramleystall {

/**
 * Delays the orders and responses of all daemons of a cluster at random and
 * makes some iterations of the event loop long, as long as it exists. The
 * daemons are added afterwards.
 */
class SlowNetwork
{
public:
  SlowNetwork(JobCluster& aCluster, int aSeed)
    : m_cluster(aCluster)
    , m_random(static_cast<unsigned>(aSeed))
  {
    m_cluster.m_delays = [this](WorkerOrderKind) {
      return OrderDelays{ .m_request = DrawRequestDelay(),
                          .m_response = DrawResponseDelay() };
    };
    ScheduleSlowIteration();
  }
  ~SlowNetwork()
  {
    m_cluster.m_delays = [](WorkerOrderKind) { return OrderDelays{}; };
    *m_alive = false;
  }
  SlowNetwork(const SlowNetwork&) = delete;
  SlowNetwork& operator=(const SlowNetwork&) = delete;

private:
  int Pick(int aBelow)
  {
    return static_cast<int>(m_random() % static_cast<unsigned>(aBelow));
  }

  /** Shorter than the restart of a worker, so that the next incarnation gets
   * late orders from FakeWorkerClient::SendLate only. */
  absl::Duration DrawRequestDelay()
  {
    return absl::Milliseconds(Pick(Pick(3) == 0 ? 290 : 15));
  }

  absl::Duration DrawResponseDelay()
  {
    return absl::Milliseconds(Pick(Pick(30) == 0  ? 900
                                   : Pick(2) == 0 ? 350
                                                  : 15));
  }

  void ScheduleSlowIteration()
  {
    m_cluster.m_loop.After(
      absl::Milliseconds(Pick(3000)), [this, alive = m_alive] {
        if (*alive) {
          m_cluster.m_loop.AddIterationTime(absl::Milliseconds(50 + Pick(700)));
          ScheduleSlowIteration();
        }
      });
  }

  JobCluster& m_cluster;
  std::mt19937 m_random;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
