#pragma once

#include "core/job_settings.h"
#include "core/metrics.h"
#include "daemon/shard_runner.h"
#include "jobs/job_configuration.h"
#include "jobs/maintenance_wave.h"
#include "net/event_loop.h"
#include "net/http_fetcher.h"
#include "net/http_listener.h"
#include "platform/kv_store_client.h"
#include "platform/machine_client.h"
#include "platform/worker_client.h"
#include "scheduler/layout_reader.h"
#include "server/job_request_handler.h"
#include "store/store_mirror.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bramleystall {

/**
 * Daemon that manages jobs on the users' platform: accepts jobs from callers,
 * and schedules the jobs of the shards that it owns. Everything runs on one
 * thread.
 */
class JobDaemon
{
public:
  /** Takes the paths of the settings file, which SIGHUP reloads, and of the
   * folder of the state charts. Throws Error. */
  JobDaemon(std::string aSettingsPath, std::string aChartsFolder);
  ~JobDaemon();
  JobDaemon(const JobDaemon&) = delete;
  JobDaemon& operator=(const JobDaemon&) = delete;

  /** Runs until SIGTERM or SIGINT, then finishes the requests in flight. */
  void Run();

private:
  void OnOperatorItem(const StoreItem& aItem);
  void ApplyConfiguration(const StoreItem& aItem);
  void ApplyWave(const StoreItem& aItem);
  void OnLayout(const ShardLayout& aLayout);
  /** How long this daemon delays its candidacy for a shard, so that a better
   * candidate acquires it first: one with more resources or fewer shards. */
  absl::Duration PriorityDelay() const;
  /** Number of shards that this daemon owns or is about to own. */
  std::int64_t OwnedShardCount() const;
  void ResignAll();
  void HandleReady(const ListenerRequest& aRequest,
                   const HttpListener::Responder& aRespond);
  bool IsReady() const;
  /** Limits of the callers' connections. */
  RequestBudgetLimits CallerLimits() const;
  /** Largest request body in bytes by the configuration in effect. */
  std::size_t MaxBodyBytes() const;
  void Reload();
  void Shutdown();
  void ExitWhenIdle();

  std::string m_settingsPath;
  JobSettings m_settings;
  Metrics m_metrics;
  EventLoop m_loop;
  HttpFetcher m_storeFetcher;
  HttpFetcher m_workerFetcher;
  HttpFetcher m_serviceFetcher;
  KvStoreClient m_store;
  WorkerClient m_workers;
  MachineClient m_machines;
  std::optional<JobConfiguration> m_configuration;
  std::map<std::int64_t, MaintenanceWave> m_waves;
  std::string m_chartsFolder;
  std::optional<ShardLayout> m_layout;
  std::vector<std::unique_ptr<ShardRunner>> m_shards;
  std::unique_ptr<StoreMirror> m_operatorMirror;
  std::unique_ptr<StoreMirror> m_ownershipMirror;
  std::unique_ptr<LayoutReader> m_layoutReader;
  std::unique_ptr<JobRequestHandler> m_jobRequestHandler;
  std::unique_ptr<HttpListener> m_callerListener;
  std::unique_ptr<HttpListener> m_readyListener;
  bool m_isStopping = false;
  absl::Time m_shutdownDeadline = absl::InfiniteFuture();
};

}
