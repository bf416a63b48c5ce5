#pragma once

#include "review/http_server.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace second_review {

class KvStore;
class CaseRecord;

/** What a worker reports about itself. */
struct WorkerDescription
{
  std::string m_id;
  std::string m_service;
  std::string m_machine;
  std::vector<std::string> m_labels;
  int m_cpu = 16000;
  int m_memoryMb = 65536;
};

/**
 * A worker as PROTOCOL.md describes it. The spec of a subtask is its run time
 * in ms; 0 stands for one that lasts.
 */
class WorkerStandIn
{
public:
  /** Whether a start with this ticket may run. */
  using TicketCheck =
    std::function<bool(const std::string& aTask, const std::string& aTicket)>;

  WorkerStandIn(KvStore& aStore,
                CaseRecord& aRecord,
                WorkerDescription aDescription);

  const std::string& Id() const { return m_description.m_id; }
  const std::string& Address() const { return m_server->Address(); }
  const WorkerDescription& Description() const { return m_description; }
  void SetTicketCheck(TicketCheck aCheck) { m_ticketCheck = std::move(aCheck); }
  /** Registers the worker in the store, from then on at each heartbeat. */
  void Register();
  /** The process is gone, with all that it ran. */
  void Crash();
  /** A new lifetime begins under the same id and at the same address, and
   * registers at once. */
  void Restart(std::vector<std::string> aLabels);
  /** Starts get no response from now on, or no longer, and are carried out
   * after this time by the lifetime that is up then; 0 ends that. */
  void DelayStarts(int aDelayMs) { m_startDelayMs = aDelayMs; }
  /** Number of starts that were delayed. */
  int DelayedStarts() const { return m_delayedStarts; }
  /** While cut off, the worker gets no bytes of any connection. */
  void SetCutOff(bool aIsCutOff) { m_server->SetCutOff(aIsCutOff); }
  /** Its open connections go silent; see HttpServer. */
  int SilenceConnections() { return m_server->SilenceOpenConnections(); }
  /** The worker has left for good. */
  void Leave();
  /** Names of the subtasks that run. */
  std::vector<std::string> Running();
  /** Number of starts that the worker has accepted. */
  int Starts();

private:
  struct Run
  {
    std::int64_t m_attempt = 0;
    std::int64_t m_startedMs = 0;
    /** 0 if it lasts. */
    std::int64_t m_timeMs = 0;
    /** Time at which a stop takes effect; 0 if there is none. */
    std::int64_t m_stopMs = 0;
  };

  struct End
  {
    std::int64_t m_number = 0;
    std::string m_task;
    std::int64_t m_attempt = 0;
    std::string m_how;
  };

  HttpResponse Handle(const HttpRequest& aRequest);
  HttpResponse Carry(const HttpRequest& aRequest,
                     std::unique_lock<std::mutex>& aLock);
  /** Carries out an order later and gives no response. */
  HttpResponse Delay(const HttpRequest& aRequest, int aDelayMs);
  HttpResponse Start(const nlohmann::json& aBody);
  HttpResponse Stop(const nlohmann::json& aBody);
  HttpResponse Hold(const nlohmann::json& aBody,
                    std::unique_lock<std::mutex>& aLock);
  bool AcceptFence(const nlohmann::json& aBody);
  void ExtendLease(const nlohmann::json& aBody);
  HttpResponse Conflict(const char* aReason);
  void EndRun(const std::string& aTask, const char* aHow);
  /** Ends the runs whose time has come. */
  void Advance();
  void WriteEntry();
  void Tick();
  std::int64_t ClockMs() const;

  KvStore& m_store;
  CaseRecord& m_record;
  WorkerDescription m_description;
  TicketCheck m_ticketCheck;
  std::atomic<int> m_startDelayMs = 0;
  std::atomic<int> m_delayedStarts = 0;
  std::unique_ptr<HttpServer> m_server;
  std::mutex m_mutex;
  std::condition_variable m_ended;
  bool m_isUp = true;
  bool m_isRegistered = false;
  std::int64_t m_heartbeatMs = 0;
  std::int64_t m_sequence = 0;
  std::int64_t m_bornMs = 0;
  std::chrono::steady_clock::time_point m_begin;
  std::int64_t m_fence = 0;
  std::int64_t m_leaseEndMs = 0;
  std::int64_t m_lastEnd = 0;
  int m_starts = 0;
  std::map<std::string, Run> m_runs;
  std::vector<End> m_ends;
  /** Highest attempt of each task that was stopped or has ended here. */
  std::map<std::string, std::int64_t> m_endedAttempts;
};

}
