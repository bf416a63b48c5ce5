#include "tests/measure/throughput_measure.h"

#include "core/configuration.h"
#include "core/metrics.h"
#include "server/request_id.h"
#include "server/request_path.h"
#include "tests/measure/echo_server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <thread>

namespace bramleystall {

namespace {

constexpr int kCallers = 16;
constexpr int kTargets = 4;
constexpr int kSlots = 8;
// These limits for each caller bound the load on the machine. Each request on a
// new connection makes a local port unusable for a minute, and about 28,000
// ports are available for one target.
constexpr std::size_t kMaxRequests = 50000;
constexpr std::size_t kMaxRequestsOnNewConnections = 250;

using Clock = std::chrono::steady_clock;

int
Connect(int aPort)
{
  const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  const int on = 1;
  setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect(connection,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof address) != 0) {
    close(connection);
    return -1;
  }
  return connection;
}

/** Sends one request; returns whether the response has status 200. */
bool
Exchange(int aConnection, const std::string& aRequest)
{
  if (send(aConnection, aRequest.data(), aRequest.size(), MSG_NOSIGNAL) < 0) {
    return false;
  }
  // The responses of the target and of the request path both end with the
  // headers and the body "ok".
  std::string received;
  char data[4096];
  while (!received.ends_with("\r\n\r\nok")) {
    const ssize_t byteCount = recv(aConnection, data, sizeof data, 0);
    if (byteCount <= 0) {
      return false;
    }
    received.append(data, static_cast<std::size_t>(byteCount));
    if (received.size() > 12 && !received.starts_with("HTTP/1.1 200")) {
      return false;
    }
  }
  return true;
}

struct CallerResult
{
  std::vector<double> m_micros;
  int m_failed = 0;
};

CallerResult
RunCaller(int aPort, bool aIdempotent, Clock::time_point aEnd)
{
  CallerResult record;
  const std::size_t limit =
    aIdempotent ? kMaxRequests : kMaxRequestsOnNewConnections;
  const int connection = Connect(aPort);
  while (Clock::now() < aEnd && record.m_micros.size() < limit) {
    const std::string request =
      std::string(aIdempotent ? "GET" : "DELETE") +
      " /work HTTP/1.1\r\nHost: target\r\nX-Request-Id: " + NewRequestId() +
      "\r\n\r\n";
    const auto start = Clock::now();
    if (!Exchange(connection, request)) {
      ++record.m_failed;
      break;
    }
    const std::chrono::duration<double, std::micro> elapsed =
      Clock::now() - start;
    record.m_micros.push_back(elapsed.count());
  }
  close(connection);
  return record;
}

ThroughputValues
RunCallers(const std::function<int(int)>& aPortOf,
           bool aIdempotent,
           absl::Duration aDuration)
{
  std::vector<CallerResult> records(kCallers);
  const auto start = Clock::now();
  const auto end = start + absl::ToChronoMilliseconds(aDuration);
  {
    std::vector<std::jthread> callers;
    callers.reserve(kCallers);
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back(
        [&, i] { records[i] = RunCaller(aPortOf(i), aIdempotent, end); });
    }
  }
  const std::chrono::duration<double> elapsed = Clock::now() - start;
  ThroughputValues values;
  std::vector<double> micros;
  for (const CallerResult& record : records) {
    std::ranges::copy(record.m_micros, std::back_inserter(micros));
    values.m_failed += record.m_failed;
  }
  if (micros.empty()) {
    return values;
  }
  std::ranges::sort(micros);
  values.m_requestsPerSecond =
    static_cast<double>(micros.size()) / elapsed.count();
  values.m_p50Micros = micros[micros.size() / 2];
  values.m_p99Micros = micros[micros.size() * 99 / 100];
  return values;
}

std::shared_ptr<const Configuration>
MakeConfiguration()
{
  auto configuration = std::make_shared<Configuration>();
  ServiceSpec service;
  service.m_name = "work";
  service.m_team = "team";
  service.m_pool = "pool";
  service.m_pathPrefix = "/work";
  service.m_idempotentMethods = { "GET" };
  service.m_declared.m_runTime = absl::Milliseconds(1);
  configuration->m_services = { service };
  configuration->m_fleet.m_teamQuotas = { { "team", 1.0 } };
  return configuration;
}

std::unique_ptr<RequestPath>
StartPath(const std::string& aChartFile,
          int aThreads,
          const std::vector<EchoServer>& aTargets,
          Metrics& aMetrics)
{
  RequestPathSettings settings;
  settings.m_httpThreads = aThreads;
  settings.m_requestAttemptChart = aChartFile;
  RequestPathHooks hooks;
  hooks.m_claim = [](const std::string&,
                     const std::function<void(ClaimOutcome)>& aDone) {
    aDone(ClaimOutcome::Granted);
  };
  auto path = std::make_unique<RequestPath>(settings, hooks, aMetrics);
  path->Start();
  path->ApplyConfiguration(MakeConfiguration());
  std::vector<TargetInfo> targets;
  for (std::size_t i = 0; i < aTargets.size(); ++i) {
    const std::string vm = "vm" + std::to_string(i);
    const std::string address =
      "127.0.0.1:" + std::to_string(aTargets[i].Port());
    targets.push_back({ vm, address, "pool", "rack" });
    path->SetSlotAllowance(vm, kSlots);
  }
  path->ApplyTargets(targets);
  return path;
}

}

std::vector<ThroughputResult>
MeasureThroughput(const std::string& aChartFile, absl::Duration aRunDuration)
{
  std::vector<ThroughputResult> results;
  const std::vector<EchoServer> targets(kTargets);
  for (const bool idempotent : { true, false }) {
    for (const int threads : { 1, 2, 4 }) {
      ThroughputResult result;
      result.m_httpThreads = threads;
      result.m_idempotent = idempotent;
      result.m_callers = kCallers;
      result.m_direct = RunCallers(
        [&](int aCaller) { return targets[aCaller % kTargets].Port(); },
        idempotent,
        aRunDuration);
      Metrics metrics;
      const auto path = StartPath(aChartFile, threads, targets, metrics);
      result.m_path =
        RunCallers([&](int) { return path->Port(); }, idempotent, aRunDuration);
      results.push_back(result);
    }
  }
  return results;
}

}
