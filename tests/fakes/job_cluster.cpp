#include "tests/fakes/job_cluster.h"

#include "jobs/job_codec.h"
#include "jobs/job_entry.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include <cmath>
#include <utility>

namespace bramleystall {

namespace {

/** Time after which the store drops the entry of a silent worker. */
constexpr absl::Duration kEntryTimeout = absl::Milliseconds(4500);
constexpr absl::Duration kRestartTime = absl::Milliseconds(300);
/** Time from the write of a worker's entry until the daemons have it. */
constexpr absl::Duration kEntryLatency = absl::Milliseconds(20);

}

JobCluster::Daemon::Daemon(JobCluster& aCluster, const std::string& aName)
  : m_cluster(aCluster)
  , m_store(aCluster.m_loop, aCluster.m_store)
  , m_workers(aCluster.m_loop, aCluster.m_workers)
  , m_delayed(aCluster.m_loop, m_workers)
{
  m_delayed.m_delays = [&aCluster](WorkerOrderKind aKind) {
    return aCluster.m_delays(aKind);
  };
  WorkerGateway* gateway = &m_workers;
  if (aCluster.m_delays) {
    gateway = &m_delayed;
  }
  m_ownership = std::make_unique<Ownership>(
    aCluster.m_loop,
    m_store,
    aCluster.m_keys,
    StateChart::Load(BRAMLEYSTALL_SOURCE_DIR "/charts/owner_term.json"),
    aName,
    [] { return absl::ZeroDuration(); },
    [this, gateway](const OwnershipGrant& aGrant) {
      m_scheduler = std::make_unique<Scheduler>(
        Scheduler::Environment{
          .m_loop = m_cluster.m_loop,
          .m_store = m_store,
          .m_workers = *gateway,
          .m_metrics = m_cluster.m_metrics,
          .m_configuration = [this]() -> const JobConfiguration& {
            return m_cluster.m_configuration;
          },
          .m_mayOrder = [this] { return MayOrder(); },
          .m_ordersEndAt = [this] { return m_ownership->OrdersEndAt(); },
          .m_holdsLease = [this] { return m_ownership->HoldsLease(); },
          .m_onSuperseded = [this] { m_ownership->StepDown(); } },
        m_cluster.m_settings,
        m_cluster.m_keys,
        aGrant);
      for (const auto& [id, report] : m_cluster.m_reports) {
        m_scheduler->OnWorkerReport(report);
      }
      m_scheduler->OnWorkersListed();
    },
    [this](const std::string&) { m_scheduler.reset(); },
    [this] { m_ownership->Release(); });
  m_ownershipMirror = std::make_unique<StoreMirror>(
    aCluster.m_loop,
    m_store,
    keys::kOwnershipPrefix,
    [this](const StoreItem& aItem) { m_ownership->OnItem(aItem); },
    [this](bool aIsSynchronized) {
      m_ownership->OnSynchronized(aIsSynchronized);
    });
}

bool
JobCluster::Daemon::MayOrder()
{
  const bool mayOrder = m_mayOrder && m_ownership->MayOrder();
  if (mayOrder) {
    m_cluster.m_loop.AddIterationTime(
      std::exchange(m_freezeAfterCheck, absl::ZeroDuration()));
  }
  return mayOrder;
}

JobCluster::JobCluster(int aWorkers)
{
  QueueSpec queue;
  queue.m_name = "quotes";
  queue.m_pool = "counter";
  queue.m_maxAttempts = 3;
  queue.m_stretch = 2.0;
  queue.m_objectiveSlackMs = 500;
  m_configuration.m_queues = { queue };
  m_configuration.m_pools["counter"] = { .m_name = "counter" };
  for (int i = 0; i < aWorkers; ++i) {
    const WorkerReport report = MakeReport(i);
    m_reports[report.m_id] = report;
    m_workers.Add(report);
  }
}

WorkerReport
JobCluster::MakeReport(int aIndex)
{
  WorkerReport report;
  report.m_id = absl::StrCat("worker-", aIndex);
  report.m_pool = "counter";
  report.m_address = absl::StrCat("10.0.0.", aIndex, ":80");
  report.m_machine = absl::StrCat("machine-", aIndex);
  report.m_capacity = { .m_cpu = 4000, .m_memoryMb = 8000 };
  report.m_labels = { "a", absl::StrCat("rack-", aIndex / 2) };
  report.m_startTimeMs = 1;
  return report;
}

JobRecord
JobCluster::MakeJob(const std::string& aId, int aTasks, int aSteps)
{
  JobRecord record;
  record.m_id = aId;
  record.m_queue = "quotes";
  record.m_pool = "counter";
  record.m_acceptedAtMs = absl::ToUnixMillis(absl::Now());
  record.m_payload = "payload";
  record.m_maxAttempts = 3;
  for (int s = 0; s < aSteps; ++s) {
    StepSpec step;
    step.m_count = aTasks;
    step.m_need = { .m_cpu = 1000, .m_memoryMb = 500 };
    step.m_estimateMs = 300;
    if (s > 0) {
      step.m_after = { s - 1 };
    }
    record.m_steps.push_back(step);
  }
  return record;
}

void
JobCluster::AddDaemon(const std::string& aName)
{
  m_daemons[aName] = std::make_unique<Daemon>(*this, aName);
}

std::string
JobCluster::Owner() const
{
  for (const auto& [name, daemon] : m_daemons) {
    if (daemon->m_ownership->HoldsLease()) {
      return name;
    }
  }
  return "";
}

int
JobCluster::Owners() const
{
  int owners = 0;
  for (const auto& [name, daemon] : m_daemons) {
    owners += daemon->m_ownership->HoldsLease() ? 1 : 0;
  }
  return owners;
}

void
JobCluster::CrashWorker(const std::string& aWorkerId)
{
  m_workers.Crash(aWorkerId);
  m_loop.After(kEntryTimeout, [this, aWorkerId] { UnlistWorker(aWorkerId); });
}

void
JobCluster::ListWorker(const WorkerReport& aReport)
{
  m_unlisted.erase(aReport.m_id);
  m_reports[aReport.m_id] = aReport;
  for (const auto& [name, daemon] : m_daemons) {
    if (daemon->m_scheduler != nullptr && !daemon->m_store.m_isPartitioned) {
      daemon->m_scheduler->OnWorkerReport(aReport);
    }
  }
}

void
JobCluster::RestartWorker(const std::string& aWorkerId)
{
  if (!m_workers.IsUp(aWorkerId)) {
    return;
  }
  m_workers.Crash(aWorkerId);
  m_loop.After(kRestartTime, [this, aWorkerId] {
    const auto listed = m_reports.find(aWorkerId);
    WorkerReport& report =
      listed == m_reports.end() ? m_unlisted.at(aWorkerId) : listed->second;
    report.m_startTimeMs += 1000;
    m_workers.Add(report);
  });
}

void
JobCluster::RestartListedWorker(const std::string& aWorkerId)
{
  RestartWorker(aWorkerId);
  m_loop.After(kRestartTime + kEntryLatency, [this, aWorkerId] {
    if (m_workers.IsUp(aWorkerId)) {
      ListWorker(aWorkerId);
    }
  });
}

void
JobCluster::UnlistWorker(const std::string& aWorkerId)
{
  const auto listed = m_reports.find(aWorkerId);
  if (listed == m_reports.end()) {
    return;
  }
  m_unlisted[aWorkerId] = listed->second;
  m_reports.erase(listed);
  for (const auto& [name, daemon] : m_daemons) {
    if (daemon->m_scheduler != nullptr && !daemon->m_store.m_isPartitioned) {
      daemon->m_scheduler->OnWorkerRemoved(aWorkerId);
    }
  }
}

void
JobCluster::ListWorker(const std::string& aWorkerId)
{
  const auto unlisted = m_unlisted.find(aWorkerId);
  const WorkerReport report =
    unlisted == m_unlisted.end() ? m_reports.at(aWorkerId) : unlisted->second;
  ListWorker(report);
}

void
JobCluster::Submit(const JobRecord& aRecord)
{
  // A test may have let the job be accepted some seconds ago.
  const absl::Duration age =
    absl::Now() - absl::FromUnixMillis(aRecord.m_acceptedAtMs);
  const auto wholeAge = absl::Seconds(std::llround(absl::ToDoubleSeconds(age)));
  JobRecord record = aRecord;
  record.m_acceptedAtMs =
    m_createdAtMs +
    absl::ToInt64Milliseconds(m_loop.Now() - m_createdAt - wholeAge);
  m_store.Set(m_keys.Entry(aRecord.m_id), EncodeJobEntry({}));
  m_store.Set(m_keys.Job(aRecord.m_id), EncodeJobRecord(record));
}

void
JobCluster::CancelJob(const std::string& aId)
{
  m_store.Set(m_keys.Cancel(aId), "{}");
}

std::string
JobCluster::State(const std::string& aId) const
{
  const auto entry = DecodeJobEntry(m_store.Value(m_keys.Entry(aId)));
  if (entry && entry->m_finalState) {
    return std::string(NameOf(kJobStateNames, *entry->m_finalState));
  }
  const auto body =
    nlohmann::json::parse(m_store.Value(m_keys.Progress(aId)), nullptr, false);
  return body.is_object() ? body.value("state", "") : "";
}

}
