#pragma once

#include "review/http.h"

#include <nlohmann/json_fwd.hpp>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace bramleystall::review {

class Record;

/** One run of a subtask on a worker; times are those of NowMs(). */
struct Run
{
  std::string m_task;
  std::int64_t m_attempt = 0;
  std::string m_worker;
  std::int64_t m_startMs = 0;
  /** -1 while it runs. */
  std::int64_t m_endMs = -1;
  std::string m_how = "";
  /** Time at which last_seen reached the end; -1 before. */
  std::int64_t m_notedMs = -1;
  /** The worker's lease lapsed between the end and that time. */
  bool m_hasLapsedBefore = false;
  int m_cpu = 0;
  std::int64_t m_durationMs = 0;
};

/**
 * A worker as PROTOCOL.md describes it ("Running subtasks"), which guards its
 * capacity. A subtask runs for the time that its job's spec names, as "ms=N".
 */
class WorkerStandIn
{
public:
  using Hook = std::function<std::optional<HttpReply>(const HttpRequest&)>;

  WorkerStandIn(Record& aRecord,
                std::string aId,
                std::string aMachine,
                std::string aPool,
                std::string aRack,
                int aCpu,
                int aTaskCpu);

  const std::string& Id() const { return m_id; }
  const std::string& Machine() const { return m_machine; }
  const std::string& Pool() const { return m_pool; }
  std::string Address() const { return m_server->Address(); }
  /** The worker's entry in the store. */
  std::string Entry();
  /** Ends the worker with all that it runs; nothing answers from then on. */
  void Terminate();
  std::vector<Run> Runs();
  int RunningCount();

  /** Called before a call is carried out; what it returns is sent instead. */
  void SetBefore(Hook aHook);
  /** Called after a call was carried out with success. */
  void SetAfter(Hook aHook);

private:
  HttpReply Handle(const HttpRequest& aRequest);
  HttpReply Carry(const HttpRequest& aRequest);
  HttpReply Start(const nlohmann::json& aBody);
  HttpReply Stop(const nlohmann::json& aBody);
  HttpReply Hold(const nlohmann::json& aBody);
  /** The following need the mutex. */
  bool TakeFence(const nlohmann::json& aBody);
  HttpReply Conflict(const char* aReason) const;
  void Extend(const nlohmann::json& aBody);
  /** Carries out all ends up to now, in the order of their times. */
  void Advance();
  void End(std::size_t aRun, std::int64_t aTimeMs, const char* aHow);
  std::int64_t ClockMs() const;
  int UsedCpu() const;

  Record& m_record;
  std::string m_id;
  std::string m_machine;
  std::string m_pool;
  std::string m_rack;
  int m_cpu = 0;
  /** Processor share of each subtask of the case, in thousandths of a core. */
  int m_taskCpu = 0;
  std::int64_t m_bornMs = 0;
  std::int64_t m_bornUnixMs = 0;
  std::int64_t m_sequence = 0;
  std::mutex m_mutex;
  std::condition_variable m_ended;
  bool m_hasEnded = false;
  std::int64_t m_fence = 0;
  /** Time of NowMs() at which the lease ends. */
  std::int64_t m_leaseEndMs = 0;
  std::vector<Run> m_runs;
  std::vector<std::size_t> m_running;
  /** Index of the run of each end; the end's number is its position + 1. */
  std::vector<std::size_t> m_ends;
  std::size_t m_seen = 0;
  std::map<std::string, std::int64_t> m_closedAttempts;
  std::vector<std::int64_t> m_lapses;
  Hook m_before;
  Hook m_after;
  std::unique_ptr<HttpServer> m_server;
};

}
