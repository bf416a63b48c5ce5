#include "tests/measure/takeover_measure.h"

#include "tests/fakes/job_cluster.h"
#include "tests/fakes/quiet_log.h"

#include <absl/strings/str_cat.h>

#include <array>
#include <utility>

namespace bramleystall {

namespace {

constexpr int kWorkers = 40;
constexpr std::size_t kPayloadBytes = 1000;
constexpr std::array<std::pair<int, int>, 5> kSizes = {
  { { 25, 0 }, { 25, 400 }, { 25, 1600 }, { 100, 0 }, { 100, 1600 } }
};
constexpr std::array kLinksMbps = { 2, 10, 20, 200 };

void
SubmitJobs(JobCluster& aCluster, const std::string& aPrefix, int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    JobRecord record = JobCluster::MakeJob(absl::StrCat(aPrefix, i), 8, 2);
    record.m_payload = std::string(kPayloadBytes, 'x');
    aCluster.Submit(record);
  }
}

TakeoverCost
MeasureTakeover(int aAlive, int aEnded)
{
  JobCluster cluster(kWorkers);
  cluster.m_workers.SetPlan({ .m_time = absl::Milliseconds(100) });
  cluster.AddDaemon("one");
  cluster.Run(absl::Seconds(1));
  SubmitJobs(cluster, "ended", aEnded);
  while (aEnded > 0 && cluster.m_store.Has(cluster.m_keys.JobPrefix() +
                                           absl::StrCat("ended", aEnded - 1))) {
    cluster.Run(absl::Seconds(1));
  }
  cluster.Run(absl::Seconds(2));
  cluster.m_workers.SetPlan({ .m_time = absl::Seconds(60) });
  SubmitJobs(cluster, "alive", aAlive);
  cluster.Run(absl::Seconds(2));
  cluster.KillDaemon("one");
  cluster.AddDaemon("two");
  cluster.Run(absl::Seconds(5));
  const FakeStoreClient& store = cluster.At("two").m_store;
  return { .m_aliveJobs = aAlive,
           .m_endedJobs = aEnded,
           .m_items = store.m_listedItems,
           .m_bytes = store.m_listedBytes };
}

}

std::vector<TakeoverCost>
MeasureTakeovers()
{
  const QuietLog quiet;
  std::vector<TakeoverCost> costs;
  costs.reserve(kSizes.size());
  for (const auto& [alive, ended] : kSizes) {
    costs.push_back(MeasureTakeover(alive, ended));
  }
  return costs;
}

void
PrintTakeovers(std::ostream& aOut)
{
  for (const TakeoverCost& cost : MeasureTakeovers()) {
    aOut << "takeover alive=" << cost.m_aliveJobs
         << " ended=" << cost.m_endedJobs << " items=" << cost.m_items
         << " bytes=" << cost.m_bytes;
    for (const int mbps : kLinksMbps) {
      aOut << " ms_at_" << mbps << "_mbps="
           << static_cast<double>(cost.m_bytes) * 8 / (mbps * 1000.0);
    }
    aOut << std::endl;
  }
}

}
