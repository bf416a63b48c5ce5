#include "review/worker.h"

#include "review/record.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <utility>

namespace bramleystall::review {

namespace {

using nlohmann::json;

/** hold_max_ms of the site. */
constexpr std::int64_t kLongestLeaseMs = 10000;
constexpr std::int64_t kLongestWaitMs = 2000;
constexpr std::size_t kEndsPerResponse = 500;
/** Offset of the worker's clock, which is its own. */
constexpr std::int64_t kClockOffsetMs = 5000;
constexpr int kMemoryMb = 65536;

std::int64_t
DurationOf(const std::string& aSpec)
{
  const std::size_t at = aSpec.find("ms=");
  return at == std::string::npos ? 500 : std::atoll(aSpec.c_str() + at + 3);
}

}

WorkerStandIn::WorkerStandIn(Record& aRecord,
                             std::string aId,
                             std::string aMachine,
                             std::string aPool,
                             std::string aRack,
                             int aCpu,
                             int aTaskCpu)
  : m_record(aRecord)
  , m_id(std::move(aId))
  , m_machine(std::move(aMachine))
  , m_pool(std::move(aPool))
  , m_rack(std::move(aRack))
  , m_cpu(aCpu)
  , m_taskCpu(aTaskCpu)
  , m_bornMs(NowMs())
  , m_bornUnixMs(std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count())
  , m_server(std::make_unique<HttpServer>(
      [this](const HttpRequest& aRequest) { return Handle(aRequest); }))
{
}

std::string
WorkerStandIn::Entry()
{
  const std::lock_guard lock(m_mutex);
  return json{
    { "service", m_pool },
    { "addr", Address() },
    { "zone", "gt-a" },
    { "version", "v1" },
    { "slots", 8 },
    { "state", "ready" },
    { "cold_left_ms", 0 },
    { "capacity", { { "cpu", m_cpu }, { "mem_mb", kMemoryMb }, { "gpu", 0 } } },
    { "labels", { "a", m_rack } },
    { "machine", m_machine },
    { "born", m_bornUnixMs },
    { "clock_ms", ClockMs() },
    { "seq", ++m_sequence }
  }.dump();
}

void
WorkerStandIn::Terminate()
{
  const std::lock_guard lock(m_mutex);
  Advance();
  const std::vector<std::size_t> running = m_running;
  for (const std::size_t run : running) {
    End(run, NowMs(), "ended with the worker");
  }
  m_hasEnded = true;
  m_record.Add("worker " + m_id + " on " + m_machine + " has ended");
}

std::vector<Run>
WorkerStandIn::Runs()
{
  const std::lock_guard lock(m_mutex);
  Advance();
  return m_runs;
}

int
WorkerStandIn::RunningCount()
{
  const std::lock_guard lock(m_mutex);
  Advance();
  return static_cast<int>(m_running.size());
}

void
WorkerStandIn::SetBefore(Hook aHook)
{
  const std::lock_guard lock(m_mutex);
  m_before = std::move(aHook);
}

void
WorkerStandIn::SetAfter(Hook aHook)
{
  const std::lock_guard lock(m_mutex);
  m_after = std::move(aHook);
}

HttpReply
WorkerStandIn::Handle(const HttpRequest& aRequest)
{
  Hook before;
  Hook after;
  {
    const std::lock_guard lock(m_mutex);
    if (m_hasEnded) {
      return { .m_delivery = Delivery::Reset };
    }
    before = m_before;
    after = m_after;
  }
  if (before) {
    if (auto reply = before(aRequest)) {
      return *reply;
    }
  }
  HttpReply reply = Carry(aRequest);
  if (after && reply.m_status == 200) {
    if (auto other = after(aRequest)) {
      return *other;
    }
  }
  return reply;
}

HttpReply
WorkerStandIn::Carry(const HttpRequest& aRequest)
{
  if (aRequest.m_path == "/health") {
    return {};
  }
  const auto instance = aRequest.m_headers.find("bramleystall-expect-instance");
  if (instance != aRequest.m_headers.end() && instance->second != m_id) {
    return { .m_status = 421 };
  }
  const json body = json::parse(aRequest.m_body);
  if (aRequest.m_path == "/bramleystall/run-start") {
    return Start(body);
  }
  if (aRequest.m_path == "/bramleystall/run-stop") {
    return Stop(body);
  }
  if (aRequest.m_path == "/bramleystall/hold") {
    return Hold(body);
  }
  return { .m_status = 404 };
}

std::int64_t
WorkerStandIn::ClockMs() const
{
  return NowMs() - m_bornMs + kClockOffsetMs;
}

int
WorkerStandIn::UsedCpu() const
{
  int used = 0;
  for (const std::size_t run : m_running) {
    used += m_runs[run].m_cpu;
  }
  return used;
}

bool
WorkerStandIn::TakeFence(const json& aBody)
{
  const std::int64_t fence = aBody.value("fence", std::int64_t{ 0 });
  if (fence < m_fence) {
    return false;
  }
  m_fence = fence;
  return true;
}

HttpReply
WorkerStandIn::Conflict(const char* aReason) const
{
  return { .m_status = 409,
           .m_body =
             json{ { "clock_ms", ClockMs() }, { "reason", aReason } }.dump() };
}

void
WorkerStandIn::Extend(const json& aBody)
{
  const std::int64_t deadline = aBody.value("deadline_ms", std::int64_t{ 0 });
  const std::int64_t left =
    std::min(deadline - ClockMs(), std::int64_t{ kLongestLeaseMs });
  m_leaseEndMs = std::max(m_leaseEndMs, NowMs() + left);
}

void
WorkerStandIn::End(std::size_t aRun, std::int64_t aTimeMs, const char* aHow)
{
  Run& run = m_runs[aRun];
  run.m_endMs = aTimeMs;
  run.m_how = aHow;
  std::erase(m_running, aRun);
  m_ends.push_back(aRun);
  std::int64_t& closed = m_closedAttempts[run.m_task];
  closed = std::max(closed, run.m_attempt);
  m_record.AddAt(aTimeMs,
                 "end " + run.m_task + " run " + std::to_string(run.m_attempt) +
                   " on " + m_id + ": " + aHow);
  m_ended.notify_all();
}

void
WorkerStandIn::Advance()
{
  const std::int64_t now = NowMs();
  while (true) {
    const auto next =
      std::ranges::min_element(m_running, {}, [this](std::size_t aRun) {
        return m_runs[aRun].m_startMs + m_runs[aRun].m_durationMs;
      });
    const std::int64_t due =
      next == m_running.end()
        ? now + 1
        : m_runs[*next].m_startMs + m_runs[*next].m_durationMs;
    const bool lapses = m_leaseEndMs > 0 && m_leaseEndMs <= now &&
                        m_leaseEndMs < due &&
                        (m_lapses.empty() || m_lapses.back() != m_leaseEndMs);
    if (lapses) {
      m_lapses.push_back(m_leaseEndMs);
      const std::vector<std::size_t> running = m_running;
      for (const std::size_t run : running) {
        End(run, m_leaseEndMs, "lapsed");
      }
      continue;
    }
    if (due > now) {
      return;
    }
    End(*next, due, "done");
  }
}

HttpReply
WorkerStandIn::Start(const json& aBody)
{
  const std::lock_guard lock(m_mutex);
  Advance();
  if (!TakeFence(aBody)) {
    return Conflict("fence");
  }
  const auto task = aBody.at("task").get<std::string>();
  const auto attempt = aBody.at("attempt").get<std::int64_t>();
  if (aBody.value("deadline_ms", std::int64_t{ 0 }) <= ClockMs()) {
    return Conflict("late");
  }
  Extend(aBody);
  const std::string reply = json{ { "clock_ms", ClockMs() } }.dump();
  const bool isHere = std::ranges::any_of(m_running, [&](std::size_t aRun) {
    return m_runs[aRun].m_task == task && m_runs[aRun].m_attempt == attempt;
  });
  if (isHere) {
    return { .m_body = reply };
  }
  const auto closed = m_closedAttempts.find(task);
  if (closed != m_closedAttempts.end() && attempt <= closed->second) {
    return Conflict("old");
  }
  if (UsedCpu() + m_taskCpu > m_cpu) {
    return Conflict("room");
  }
  m_running.push_back(m_runs.size());
  m_runs.push_back(
    { .m_task = task,
      .m_attempt = attempt,
      .m_worker = m_id,
      .m_startMs = NowMs(),
      .m_cpu = m_taskCpu,
      .m_durationMs = DurationOf(aBody.at("spec").get<std::string>()) });
  m_record.Add("start " + task + " run " + std::to_string(attempt) + " on " +
               m_id);
  m_ended.notify_all();
  return { .m_body = reply };
}

HttpReply
WorkerStandIn::Stop(const json& aBody)
{
  const std::lock_guard lock(m_mutex);
  Advance();
  if (!TakeFence(aBody)) {
    return Conflict("fence");
  }
  const auto task = aBody.at("task").get<std::string>();
  const auto attempt = aBody.at("attempt").get<std::int64_t>();
  const std::vector<std::size_t> running = m_running;
  for (const std::size_t run : running) {
    if (m_runs[run].m_task == task && m_runs[run].m_attempt == attempt) {
      End(run, NowMs(), "stopped");
    }
  }
  std::int64_t& closed = m_closedAttempts[task];
  closed = std::max(closed, attempt);
  return { .m_body = json{ { "clock_ms", ClockMs() } }.dump() };
}

HttpReply
WorkerStandIn::Hold(const json& aBody)
{
  std::unique_lock lock(m_mutex);
  Advance();
  if (!TakeFence(aBody)) {
    return Conflict("fence");
  }
  if (aBody.contains("deadline_ms")) {
    Extend(aBody);
  }
  const std::size_t seen =
    std::min(aBody.value("last_seen", std::size_t{ 0 }), m_ends.size());
  for (; m_seen < seen; ++m_seen) {
    Run& run = m_runs[m_ends[m_seen]];
    run.m_notedMs = NowMs();
    run.m_hasLapsedBefore = std::ranges::any_of(
      m_lapses, [&run](std::int64_t aLapse) { return aLapse >= run.m_endMs; });
    m_record.Add("noted the end of " + run.m_task + " run " +
                 std::to_string(run.m_attempt) + " on " + m_id);
  }
  const std::int64_t until =
    NowMs() +
    std::min(aBody.value("wait_ms", std::int64_t{ 0 }), kLongestWaitMs);
  while (m_ends.size() == m_seen && NowMs() < until) {
    std::int64_t wake = until;
    for (const std::size_t run : m_running) {
      wake = std::min(wake, m_runs[run].m_startMs + m_runs[run].m_durationMs);
    }
    m_ended.wait_for(
      lock,
      std::chrono::milliseconds(std::max<std::int64_t>(1, wake - NowMs())));
    Advance();
  }
  json runningRows = json::array();
  for (const std::size_t index : m_running) {
    const Run& run = m_runs[index];
    const std::int64_t percent =
      std::min<std::int64_t>(99,
                             (NowMs() - run.m_startMs) * 100 /
                               std::max<std::int64_t>(1, run.m_durationMs));
    runningRows.push_back(
      { run.m_task, run.m_attempt, "", percent, run.m_cpu });
  }
  json finished = json::array();
  for (std::size_t i = m_seen;
       i < m_ends.size() && finished.size() < kEndsPerResponse;
       ++i) {
    const Run& run = m_runs[m_ends[i]];
    finished.push_back({ i + 1, run.m_task, run.m_attempt, run.m_how, "" });
  }
  return { .m_body = json{ { "clock_ms", ClockMs() },
                           { "born", m_bornUnixMs },
                           { "running", std::move(runningRows) },
                           { "finished", std::move(finished) } }
                       .dump() };
}

}
