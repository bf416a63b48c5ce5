#pragma once

#include "core/metrics.h"
#include "jobs/job_codec.h"
#include "net/event_loop.h"
#include "scheduler/job_keys.h"
#include "scheduler/scheduler.h"
#include "tests/fakes/delayed_worker_gateway.h"
#include "tests/fakes/fake_store.h"
#include "tests/fakes/fake_workers.h"
#include "tests/fakes/held_worker_gateway.h"
#include "tests/fakes/job_cluster.h"
#include "tests/fakes/quiet_log.h"

#include <memory>

namespace bramleystall {

/** A scheduler alone, with two workers whose orders and responses can be held
 * back and delayed. */
struct SchedulerFixture
{
  SchedulerFixture()
  {
    m_store.Set(m_keys.Owner(), "{}");
    QueueSpec queue;
    queue.m_name = "quotes";
    queue.m_pool = "counter";
    m_configuration.m_queues = { queue };
    m_workers.Add(JobCluster::MakeReport(0));
    m_workers.Add(JobCluster::MakeReport(1));
  }

  void StartScheduler()
  {
    const std::int64_t fence =
      m_store.List(m_keys.Owner(), "").m_items.front().m_revision;
    m_scheduler = std::make_unique<Scheduler>(
      Scheduler::Environment{
        .m_loop = m_loop,
        .m_store = m_storeClient,
        .m_workers = m_gateway,
        .m_metrics = m_metrics,
        .m_configuration = [this]() -> const JobConfiguration& {
          return m_configuration;
        },
        .m_mayOrder = [] { return true; },
        .m_ordersEndAt = [] { return absl::InfiniteFuture(); },
        .m_holdsLease = [this] { return m_holdsLease; },
        .m_onSuperseded = [this] { m_isSuperseded = true; } },
      SchedulerSettings{},
      m_keys,
      OwnershipGrant{ .m_fencingToken = fence,
                      .m_term = 1,
                      .m_previousOwnersExpireAt = m_loop.Now() });
  }

  void Submit(const JobRecord& aRecord)
  {
    m_store.Set(m_keys.Job(aRecord.m_id), EncodeJobRecord(aRecord));
  }

  /** Whether the scheduler holds the store's lease. */
  bool m_holdsLease = true;
  const QuietLog m_quiet;
  const keys::ShardKeys m_keys{ 0 };
  EventLoop m_loop{ EventLoop::ClockMode::Simulated };
  FakeStore m_store{ m_loop };
  FakeStoreClient m_storeClient{ m_loop, m_store };
  FakeWorkers m_workers{ m_loop };
  FakeWorkerClient m_client{ m_loop, m_workers };
  DelayedWorkerGateway m_delayed{ m_loop, m_client };
  HeldWorkerGateway m_gateway{ m_delayed };
  Metrics m_metrics;
  JobConfiguration m_configuration;
  /** A worker has seen the fencing token of a later owner. */
  bool m_isSuperseded = false;
  std::unique_ptr<Scheduler> m_scheduler;
};

}
