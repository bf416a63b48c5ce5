#include "review/worker_stand_in.h"

#include "review/case_record.h"
#include "review/kv_store.h"

#include <algorithm>
#include <cstdlib>
#include <thread>

namespace second_review {

namespace {

using nlohmann::json;

// Bounds of lican-gt.
constexpr std::int64_t kMaxLeaseMs = 10'000;
constexpr std::int64_t kStopMs = 200;
constexpr std::int64_t kHeartbeatMs = 1500;
constexpr std::int64_t kMaxWaitMs = 2000;
constexpr std::size_t kMaxListedEnds = 500;
constexpr std::chrono::milliseconds kTickInterval{ 5 };
/** Longer than any client waits. */
constexpr std::chrono::milliseconds kNoResponseTime{ 5000 };

std::int64_t
UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

}

WorkerStandIn::WorkerStandIn(KvStore& aStore,
                             CaseRecord& aRecord,
                             WorkerDescription aDescription)
  : m_store(aStore)
  , m_record(aRecord)
  , m_description(std::move(aDescription))
  , m_bornMs(UnixMs())
  , m_begin(std::chrono::steady_clock::now())
{
  m_server = std::make_unique<HttpServer>(
    [this](const HttpRequest& aRequest) { return Handle(aRequest); });
  std::thread([this] {
    while (true) {
      std::this_thread::sleep_for(kTickInterval);
      Tick();
    }
  }).detach();
}

std::int64_t
WorkerStandIn::ClockMs() const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now() - m_begin)
    .count();
}

void
WorkerStandIn::Register()
{
  const std::lock_guard lock(m_mutex);
  m_isRegistered = true;
  WriteEntry();
}

void
WorkerStandIn::WriteEntry()
{
  m_heartbeatMs = ClockMs();
  const json entry = { { "service", m_description.m_service },
                       { "addr", Address() },
                       { "zone", "gt-a" },
                       { "version", "v1" },
                       { "slots", 8 },
                       { "state", "ready" },
                       { "cold_left_ms", 0 },
                       { "capacity",
                         { { "cpu", m_description.m_cpu },
                           { "mem_mb", m_description.m_memoryMb },
                           { "gpu", 0 } } },
                       { "labels", m_description.m_labels },
                       { "machine", m_description.m_machine },
                       { "clock_ms", m_heartbeatMs },
                       { "born", m_bornMs },
                       { "seq", ++m_sequence } };
  m_store.Put("servers/" + Id(), entry.dump());
}

void
WorkerStandIn::Crash()
{
  {
    const std::lock_guard lock(m_mutex);
    m_isUp = false;
    m_isRegistered = false;
    for (const auto& [task, run] : m_runs) {
      m_record.Add("worker " + Id() + " crashes; lost " + task + " run " +
                   std::to_string(run.m_attempt));
    }
    m_runs.clear();
    m_ends.clear();
    m_endedAttempts.clear();
    m_ended.notify_all();
  }
  m_record.Add("worker " + Id() + " crashed");
  m_server->SetDown(true);
}

void
WorkerStandIn::Restart(std::vector<std::string> aLabels)
{
  {
    const std::lock_guard lock(m_mutex);
    m_description.m_labels = std::move(aLabels);
    m_begin = std::chrono::steady_clock::now();
    m_bornMs = UnixMs();
    m_fence = 0;
    m_leaseEndMs = 0;
    m_lastEnd = 0;
    m_sequence = 0;
    m_isUp = true;
    m_isRegistered = true;
    m_record.Add("worker " + Id() + " is up again, labels " +
                 json(m_description.m_labels).dump());
    WriteEntry();
  }
  m_server->SetDown(false);
}

void
WorkerStandIn::Leave()
{
  Crash();
  m_store.Remove("servers/" + Id());
  m_record.Add("worker " + Id() + " is gone for good");
}

std::vector<std::string>
WorkerStandIn::Running()
{
  const std::lock_guard lock(m_mutex);
  std::vector<std::string> names;
  for (const auto& [task, run] : m_runs) {
    names.push_back(task);
  }
  return names;
}

int
WorkerStandIn::Starts()
{
  const std::lock_guard lock(m_mutex);
  return m_starts;
}

void
WorkerStandIn::Tick()
{
  const std::lock_guard lock(m_mutex);
  if (!m_isUp) {
    return;
  }
  Advance();
  if (m_isRegistered && ClockMs() >= m_heartbeatMs + kHeartbeatMs) {
    WriteEntry();
  }
}

void
WorkerStandIn::Advance()
{
  const std::int64_t now = ClockMs();
  std::vector<std::pair<std::string, const char*>> over;
  for (const auto& [task, run] : m_runs) {
    if (run.m_stopMs != 0 && now >= run.m_stopMs) {
      over.emplace_back(task, "stopped");
    } else if (run.m_timeMs != 0 && now >= run.m_startedMs + run.m_timeMs) {
      over.emplace_back(task, "done");
    } else if (now >= m_leaseEndMs) {
      over.emplace_back(task, "lapsed");
    }
  }
  for (const auto& [task, how] : over) {
    EndRun(task, how);
  }
}

void
WorkerStandIn::EndRun(const std::string& aTask, const char* aHow)
{
  const Run run = m_runs.at(aTask);
  m_runs.erase(aTask);
  m_endedAttempts[aTask] = std::max(m_endedAttempts[aTask], run.m_attempt);
  m_ends.push_back({ ++m_lastEnd, aTask, run.m_attempt, aHow });
  m_record.Add("worker " + Id() + " ended " + aTask + " run " +
               std::to_string(run.m_attempt) + " " + aHow);
  m_ended.notify_all();
}

HttpResponse
WorkerStandIn::Conflict(const char* aReason)
{
  return { 409,
           json{ { "clock_ms", ClockMs() }, { "reason", aReason } }.dump() };
}

HttpResponse
WorkerStandIn::Handle(const HttpRequest& aRequest)
{
  const int delayMs = m_startDelayMs;
  if (delayMs > 0 && aRequest.m_path == "/bramleystall/run-start") {
    return Delay(aRequest, delayMs);
  }
  std::unique_lock lock(m_mutex);
  return Carry(aRequest, lock);
}

HttpResponse
WorkerStandIn::Delay(const HttpRequest& aRequest, int aDelayMs)
{
  ++m_delayedStarts;
  m_record.Add("worker " + Id() +
               " gives no response to a start, which is "
               "carried out in " +
               std::to_string(aDelayMs) + " ms: " + aRequest.m_body);
  std::thread([this, aRequest, aDelayMs] {
    std::this_thread::sleep_for(std::chrono::milliseconds(aDelayMs));
    std::unique_lock lock(m_mutex);
    const HttpResponse response = Carry(aRequest, lock);
    m_record.Add("worker " + Id() + " has carried out the late start: " +
                 std::to_string(response.m_status) + " " + response.m_body);
  }).detach();
  std::this_thread::sleep_for(kNoResponseTime);
  return {};
}

HttpResponse
WorkerStandIn::Carry(const HttpRequest& aRequest,
                     std::unique_lock<std::mutex>& aLock)
{
  if (!m_isUp) {
    return {};
  }
  if (aRequest.m_path == "/health") {
    return { 200, "{}" };
  }
  const auto expected = aRequest.m_headers.find("bramleystall-expect-instance");
  if (expected != aRequest.m_headers.end() && expected->second != Id()) {
    return { 421, "{}" };
  }
  const json body = json::parse(aRequest.m_body, nullptr, false);
  if (!body.is_object()) {
    return { 400, "{}" };
  }
  Advance();
  if (!AcceptFence(body)) {
    return Conflict("fence");
  }
  if (aRequest.m_path == "/bramleystall/run-start") {
    return Start(body);
  }
  if (aRequest.m_path == "/bramleystall/run-stop") {
    return Stop(body);
  }
  if (aRequest.m_path == "/bramleystall/hold") {
    return Hold(body, aLock);
  }
  return { 404, "{}" };
}

bool
WorkerStandIn::AcceptFence(const json& aBody)
{
  const std::int64_t fence = aBody.value("fence", std::int64_t{ 0 });
  if (fence < m_fence) {
    return false;
  }
  m_fence = fence;
  return true;
}

void
WorkerStandIn::ExtendLease(const json& aBody)
{
  const std::int64_t end = aBody.value("deadline_ms", std::int64_t{ 0 });
  m_leaseEndMs = std::max(m_leaseEndMs, std::min(end, ClockMs() + kMaxLeaseMs));
}

HttpResponse
WorkerStandIn::Start(const json& aBody)
{
  const std::string task = aBody.at("task");
  const std::int64_t attempt = aBody.at("attempt");
  const std::int64_t now = ClockMs();
  if (aBody.at("deadline_ms").get<std::int64_t>() <= now) {
    return Conflict("late");
  }
  ExtendLease(aBody);
  const auto running = m_runs.find(task);
  if (running != m_runs.end() && running->second.m_attempt == attempt) {
    return { 200, json{ { "clock_ms", now } }.dump() };
  }
  if (running != m_runs.end() || attempt <= m_endedAttempts[task]) {
    return Conflict("old");
  }
  if (m_ticketCheck && !m_ticketCheck(task, aBody.value("ticket", ""))) {
    return Conflict("ticket");
  }
  m_runs[task] = { .m_attempt = attempt,
                   .m_startedMs = now,
                   .m_timeMs =
                     std::atoll(aBody.at("spec").get<std::string>().c_str()) };
  ++m_starts;
  m_record.Add("worker " + Id() + " (" + m_description.m_service + ", " +
               json(m_description.m_labels).dump() + ") started " + task +
               " run " + std::to_string(attempt) + " fence " +
               std::to_string(m_fence));
  return { 200, json{ { "clock_ms", now } }.dump() };
}

HttpResponse
WorkerStandIn::Stop(const json& aBody)
{
  const std::string task = aBody.at("task");
  const std::int64_t attempt = aBody.at("attempt");
  const auto running = m_runs.find(task);
  if (running == m_runs.end()) {
    m_endedAttempts[task] = std::max(m_endedAttempts[task], attempt);
  } else if (running->second.m_attempt <= attempt &&
             running->second.m_stopMs == 0) {
    running->second.m_stopMs = ClockMs() + kStopMs / 2;
  }
  return { 200, json{ { "clock_ms", ClockMs() } }.dump() };
}

HttpResponse
WorkerStandIn::Hold(const json& aBody, std::unique_lock<std::mutex>& aLock)
{
  ExtendLease(aBody);
  const std::int64_t seen = aBody.value("last_seen", std::int64_t{ 0 });
  std::erase_if(m_ends,
                [seen](const End& aEnd) { return aEnd.m_number <= seen; });
  const std::int64_t wait =
    std::min(kMaxWaitMs, aBody.value("wait_ms", std::int64_t{ 0 }));
  if (wait > 0) {
    m_ended.wait_for(aLock, std::chrono::milliseconds(wait), [this] {
      return !m_ends.empty() || !m_isUp;
    });
  }
  if (!m_isUp) {
    return {};
  }
  const std::int64_t now = ClockMs();
  json running = json::array();
  for (const auto& [task, run] : m_runs) {
    const std::int64_t percent =
      run.m_timeMs == 0 ? 100 : 100 * (now - run.m_startedMs) / run.m_timeMs;
    running.push_back({ task, run.m_attempt, "", percent, 1 });
  }
  json finished = json::array();
  for (const End& end : m_ends) {
    if (finished.size() == kMaxListedEnds) {
      break;
    }
    finished.push_back(
      { end.m_number, end.m_task, end.m_attempt, end.m_how, "" });
  }
  return { 200,
           json{ { "clock_ms", now },
                 { "born", m_bornMs },
                 { "running", std::move(running) },
                 { "finished", std::move(finished) } }
             .dump() };
}

}
