#include "tests/stand_ins/target/worker.h"

#include "core/clock.h"

#include <absl/strings/numbers.h>

#include <algorithm>

namespace bramleystall {

namespace {

constexpr int kFailureStatus = 500;
constexpr absl::Duration kDefaultRebootTime = absl::Seconds(2);

std::string
HeaderOf(const StandInRequest& aRequest, const std::string& aName)
{
  const auto found = aRequest.m_headers.find(aName);
  return found == aRequest.m_headers.end() ? std::string() : found->second;
}

std::string
Dump(const nlohmann::json& aJson)
{
  return aJson.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}

Worker::Worker(const WorkerSettings& aSettings)
  : m_settings(aSettings)
{
}

void
Worker::SetFaults(const nlohmann::json& aFaults)
{
  const std::scoped_lock lock(m_mutex);
  m_faults.m_isFrozen = aFaults.value("frozen", m_faults.m_isFrozen);
  m_faults.m_refuses = aFaults.value("refuse", m_faults.m_refuses);
  m_faults.m_failsAll = aFaults.value("fail", m_faults.m_failsAll);
  m_faults.m_closesAfterRead =
    aFaults.value("close_after_read", m_faults.m_closesAfterRead);
  m_faults.m_truncates = aFaults.value("truncate", m_faults.m_truncates);
  m_faults.m_survivesReboot =
    aFaults.value("sticky", m_faults.m_survivesReboot);
  m_faults.m_responseDelay = absl::Milliseconds(aFaults.value(
    "late_ms", absl::ToInt64Milliseconds(m_faults.m_responseDelay)));
  if (aFaults.contains("refuse_ms")) {
    m_refusingUntil =
      MonotonicNow() + absl::Milliseconds(aFaults["refuse_ms"].get<int>());
  }
  m_changed.notify_all();
}

std::string
Worker::RecordJson() const
{
  const std::scoped_lock lock(m_mutex);
  const nlohmann::json record = { { "vm", m_settings.m_vm },
                                  { "requests", m_requests },
                                  { "runs", m_runs },
                                  { "max_concurrency", m_maxRunning },
                                  { "max_connections", m_maxConnections },
                                  { "slot_violations", m_slotViolations },
                                  { "connection_violations",
                                    m_connectionViolations },
                                  { "interrupted", m_interrupted },
                                  { "reboots", m_reboots } };
  return Dump(record);
}

std::optional<StandInResponse>
Worker::HandleControl(const StandInRequest& aRequest)
{
  if (aRequest.m_path == "/stand_in/record") {
    return StandInResponse{ 200, RecordJson() };
  }
  const auto body = aRequest.m_body.empty()
                      ? nlohmann::json::object()
                      : nlohmann::json::parse(aRequest.m_body, nullptr, false);
  if (!body.is_object()) {
    return StandInResponse{ 400, "malformed" };
  }
  if (aRequest.m_path == "/stand_in/faults") {
    SetFaults(body);
    return StandInResponse{ 200, "true" };
  }
  if (aRequest.m_path == "/stand_in/reboot") {
    const std::scoped_lock lock(m_mutex);
    m_requestedReboot = absl::Milliseconds(
      body.value("ms", absl::ToInt64Milliseconds(kDefaultRebootTime)));
    return StandInResponse{ 200, "true" };
  }
  return StandInResponse{ 404, "" };
}

void
Worker::CountConnection(std::uint64_t aConnection)
{
  // Control calls do not count, so a connection counts after its first request.
  if (!m_connections.insert(aConnection).second) {
    return;
  }
  m_maxConnections = std::max(m_maxConnections, m_connections.size());
  if (m_connections.size() >
      static_cast<std::size_t>(m_settings.m_connections)) {
    ++m_connectionViolations;
  }
}

void
Worker::ForgetConnection(std::uint64_t aConnection)
{
  const std::scoped_lock lock(m_mutex);
  m_connections.erase(aConnection);
}

void
Worker::StartRun(const std::string& aId)
{
  ++m_requests;
  if (!aId.empty()) {
    ++m_runs[aId];
  }
  ++m_running;
  m_maxRunning = std::max(m_maxRunning, m_running);
  if (m_running > m_settings.m_slots) {
    ++m_slotViolations;
  }
}

bool
Worker::Wait(std::unique_lock<std::mutex>& aLock,
             absl::Duration aTime,
             std::uint64_t aGeneration)
{
  m_changed.wait_for(aLock, absl::ToChronoNanoseconds(aTime), [&] {
    return m_generation != aGeneration;
  });
  return m_generation == aGeneration;
}

absl::Duration
Worker::WorkTime(const StandInRequest& aRequest) const
{
  int millis = 0;
  if (absl::SimpleAtoi(HeaderOf(aRequest, "x-stand-in-work-ms"), &millis)) {
    return absl::Milliseconds(millis);
  }
  return m_settings.m_serviceTime;
}

std::string
Worker::Echo(const StandInRequest& aRequest, const std::string& aId) const
{
  return Dump({ { "request_id", aId },
                { "vm", m_settings.m_vm },
                { "method", aRequest.m_method },
                { "path", aRequest.m_path },
                { "body", aRequest.m_body } });
}

std::optional<StandInResponse>
Worker::Handle(const StandInRequest& aRequest)
{
  if (aRequest.m_path.starts_with("/stand_in/")) {
    return HandleControl(aRequest);
  }
  const std::string id = HeaderOf(aRequest, "x-request-id");
  std::unique_lock lock(m_mutex);
  const std::uint64_t generation = m_generation;
  CountConnection(aRequest.m_connection);
  m_changed.wait(
    lock, [&] { return !m_faults.m_isFrozen || m_generation != generation; });
  if (m_isDown || m_generation != generation) {
    return std::nullopt;
  }
  if (aRequest.m_path == "/healthz") {
    return m_faults.m_failsAll ? StandInResponse{ kFailureStatus, "" }
                               : StandInResponse{ 200, "true" };
  }
  StartRun(id);
  const WorkerFaults faults = m_faults;
  const bool endsAtOnce = faults.m_failsAll || faults.m_closesAfterRead;
  const bool isComplete =
    endsAtOnce || Wait(lock, WorkTime(aRequest), generation);
  --m_running;
  if (!isComplete) {
    m_interrupted.push_back(id);
    return std::nullopt;
  }
  if (faults.m_closesAfterRead) {
    return std::nullopt;
  }
  if (faults.m_responseDelay > absl::ZeroDuration() &&
      !Wait(lock, faults.m_responseDelay, generation)) {
    return std::nullopt;
  }
  StandInResponse response;
  response.m_status = faults.m_failsAll ? kFailureStatus : response.m_status;
  response.m_body = Echo(aRequest, id);
  response.m_headers["X-Request-Id"] = id;
  response.m_isTruncated = faults.m_truncates;
  return response;
}

bool
Worker::IsRefusing()
{
  const std::scoped_lock lock(m_mutex);
  return m_faults.m_refuses || MonotonicNow() < m_refusingUntil;
}

std::optional<absl::Duration>
Worker::TakeReboot()
{
  const std::scoped_lock lock(m_mutex);
  return std::exchange(m_requestedReboot, std::nullopt);
}

void
Worker::Interrupt()
{
  const std::scoped_lock lock(m_mutex);
  m_isDown = true;
  ++m_generation;
  ++m_reboots;
  if (!m_faults.m_survivesReboot) {
    m_faults = WorkerFaults{};
  }
  m_changed.notify_all();
}

void
Worker::Resume()
{
  const std::scoped_lock lock(m_mutex);
  m_isDown = false;
}

}
