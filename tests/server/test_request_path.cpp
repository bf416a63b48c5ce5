#include "core/clock.h"
#include "core/configuration.h"
#include "core/error.h"
#include "core/metrics.h"
#include "server/request_id.h"
#include "server/request_path.h"
#include "tests/fakes/fake_target.h"
#include "tests/fakes/test_caller.h"

#include <absl/time/clock.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <future>
#include <mutex>
#include <set>

using namespace bramleystall;

namespace {

ServiceSpec
MakeService(const std::string& aName, const std::string& aPrefix)
{
  ServiceSpec service;
  service.m_name = aName;
  service.m_team = "team";
  service.m_pool = "pool";
  service.m_pathPrefix = aPrefix;
  service.m_idempotentMethods = { "GET", "HEAD" };
  service.m_defaultDeadline = absl::Seconds(5);
  service.m_maxDeadline = absl::Seconds(10);
  service.m_declared.m_runTime = absl::Milliseconds(10);
  return service;
}

std::shared_ptr<Configuration>
MakeConfiguration()
{
  auto configuration = std::make_shared<Configuration>();
  configuration->m_version = 1;
  configuration->m_services = { MakeService("renewals", "/renewals") };
  configuration->m_fleet.m_teamQuotas = { { "team", 1.0 } };
  return configuration;
}

/** Claim owner that grants each request id once. */
class FakeClaimOwner
{
public:
  ClaimOutcome Claim(const std::string& aId)
  {
    const std::lock_guard lock(m_mutex);
    return m_claimed.insert(aId).second ? ClaimOutcome::Granted
                                        : ClaimOutcome::Duplicate;
  }

private:
  std::mutex m_mutex;
  std::set<std::string> m_claimed;
};

/** Request path in the test process, with a service "renewals". */
struct PathFixture
{
  Metrics m_metrics;
  FakeClaimOwner m_claims;
  std::unique_ptr<RequestPath> m_path;
  std::shared_ptr<Configuration> m_configuration = MakeConfiguration();

  explicit PathFixture(RequestPathHooks aHooks = {})
  {
    if (!aHooks.m_claim) {
      aHooks.m_claim = [this](const std::string& aId,
                              const std::function<void(ClaimOutcome)>& aDone) {
        aDone(m_claims.Claim(aId));
      };
    }
    RequestPathSettings settings;
    settings.m_maxRequestBytes = 1000;
    settings.m_maxResponseBytes = 100000;
    settings.m_requestAttemptChart =
      BRAMLEYSTALL_SOURCE_DIR "/charts/request_attempt.json";
    m_path = std::make_unique<RequestPath>(settings, aHooks, m_metrics);
    m_path->Start();
    m_path->ApplyConfiguration(m_configuration);
  }

  void SetTargets(const std::vector<const FakeTarget*>& aTargets,
                  int aAllowance = 8)
  {
    std::vector<TargetInfo> infos;
    for (std::size_t i = 0; i < aTargets.size(); ++i) {
      const std::string vm = "vm" + std::to_string(i);
      infos.push_back({ vm, aTargets[i]->Address(), "pool", "rack" });
      m_path->SetSlotAllowance(vm, aAllowance);
    }
    m_path->ApplyTargets(infos);
  }

  CallerResult Get(const HttpHeaders& aHeaders = {})
  {
    return CallOnce(m_path->Port(), "GET", "/renewals/1", aHeaders);
  }

  CallerResult Charge(const std::string& aId, HttpHeaders aHeaders = {})
  {
    aHeaders.emplace_back("X-Request-Id", aId);
    return CallOnce(m_path->Port(), "POST", "/renewals", aHeaders, "fee=5");
  }

  std::uint64_t Count(const std::string& aName, const std::string& aReason)
  {
    return m_metrics.CounterValue(
      aName, { { "service", "renewals" }, { "reason", aReason } });
  }
};

std::string
Header(const CallerResult& aResult, const std::string& aName)
{
  const std::string* const value = FindHeader(aResult.m_headers, aName);
  return value ? *value : "";
}

/** Waits until a condition holds. Returns false after 5 s. */
template<typename Condition>
bool
Eventually(Condition aCondition)
{
  const absl::Time end = MonotonicNow() + absl::Seconds(5);
  while (!aCondition()) {
    if (MonotonicNow() > end) {
      return false;
    }
    absl::SleepFor(absl::Milliseconds(2));
  }
  return true;
}

}

// Guards against a method, path, header, body or status that is changed or lost
// between caller and target.
TEST_CASE("A request reaches the target and its response the caller",
          "[server]")
{
  PathFixture fixture;
  FakeTarget target;
  target.SetBody("licence 7");
  fixture.SetTargets({ &target });
  const std::string id = NewRequestId();
  const auto result = fixture.Charge(id, { { "X-Clinic", "12" } });
  CHECK(result.m_status == 200);
  CHECK(result.m_body == "licence 7");
  CHECK(Header(result, "x-target") == "fake");
  CHECK(Header(result, "x-request-id") == id);
  CHECK(Header(result, "x-bramleystall-outcome").empty());
  REQUIRE(target.RunCount() == 1);
  const FakeRequest request = target.Requests().front();
  CHECK(request.m_method == "POST");
  CHECK(request.m_target == "/renewals");
  CHECK(request.m_body == "fee=5");
  CHECK(request.m_headers.at("x-clinic") == "12");
  CHECK(request.m_headers.at("x-request-id") == id);
  CHECK(fixture.m_path->Status().m_services.at(0).m_started == 1);
  CHECK(Eventually([&] { return fixture.m_path->InFlightByVm().empty(); }));
}

// Guards against a truncated response appearing complete (P3), and against a
// request that is not idempotent being sent twice (P5).
TEST_CASE("A charge without complete response is run once and its outcome is "
          "unknown",
          "[server]")
{
  const auto [behaviour, reason] = GENERATE(table<FakeBehaviour, std::string>({
    { FakeBehaviour::ReadAndClose, "connection_closed" },
    { FakeBehaviour::Freeze, "timed_out" },
    { FakeBehaviour::TruncateLength, "response_truncated" },
    { FakeBehaviour::TruncateChunked, "response_truncated" },
    { FakeBehaviour::TruncateHeaders, "response_truncated" },
    { FakeBehaviour::CloseDelimited, "response_truncated" },
  }));
  CAPTURE(reason);
  PathFixture fixture;
  const auto choose = [chosen = behaviour](const FakeRequest&) {
    return chosen;
  };
  FakeTarget first(choose);
  FakeTarget second(choose);
  fixture.SetTargets({ &first, &second });
  const std::string id = NewRequestId();
  const auto result = fixture.Charge(id, { { "X-Deadline-Ms", "300" } });
  CHECK(result.m_status == 504);
  CHECK(Header(result, "x-bramleystall-outcome") == "outcome-unknown");
  CHECK(Header(result, "x-bramleystall-reason") == reason);
  CHECK(nlohmann::json::parse(result.m_body).at("request_id") == id);
  CHECK(first.RunCount(id) + second.RunCount(id) == 1);
  CHECK(fixture.Count("bramleystall_unknown_outcomes_total", reason) == 1);
}

// Guards against a request that is refused, or treated as possibly run, after a
// target refused the connection: no byte was sent, so another target may run
// it.
TEST_CASE("A charge whose connection was refused runs at another target",
          "[server]")
{
  PathFixture fixture;
  FakeTarget refusing;
  refusing.StopListening();
  FakeTarget working;
  fixture.SetTargets({ &refusing, &working });
  for (int i = 0; i < 20; ++i) {
    const std::string id = NewRequestId();
    CHECK(fixture.Charge(id).m_status == 200);
    CHECK(working.RunCount(id) == 1);
  }
  CHECK(refusing.RunCount() == 0);
  CHECK(fixture.Count("bramleystall_retries_total", "connect_failed") >= 1);
}

// Guards against a false "not run" (P4): a request that is refused must not
// have reached a target.
TEST_CASE("A charge that no target accepts is refused and not run", "[server]")
{
  PathFixture fixture;
  FakeTarget refusing;
  refusing.StopListening();
  fixture.SetTargets({ &refusing });
  const auto result = fixture.Charge(NewRequestId());
  CHECK(result.m_status == 503);
  CHECK(Header(result, "x-bramleystall-outcome") == "refused-not-run");
  CHECK(refusing.RunCount() == 0);
}

// Guards against a charge being run twice when the caller repeats it with the
// same id.
TEST_CASE("A repeated charge is not run again", "[server]")
{
  PathFixture fixture;
  FakeTarget target;
  fixture.SetTargets({ &target });
  const std::string id = NewRequestId();
  CHECK(fixture.Charge(id).m_status == 200);
  const auto repeated = fixture.Charge(id);
  CHECK(repeated.m_status == 504);
  CHECK(Header(repeated, "x-bramleystall-reason") == "duplicate_id");
  CHECK(target.RunCount(id) == 1);
}

// Guards against a caller receiving another caller's response (P3).
TEST_CASE("Each of many concurrent callers receives its own response",
          "[server]")
{
  PathFixture fixture;
  FakeTarget first;
  FakeTarget second;
  fixture.SetTargets({ &first, &second });
  constexpr int kCallers = 8;
  std::vector<std::future<int>> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.push_back(std::async(std::launch::async, [&fixture] {
      int wrong = 0;
      for (int i = 0; i < 25; ++i) {
        const std::string id = NewRequestId();
        const auto result = i % 2 == 0
                              ? fixture.Charge(id)
                              : fixture.Get({ { "X-Request-Id", id } });
        wrong += result.m_status != 200 || Header(result, "x-request-id") != id;
      }
      return wrong;
    }));
  }
  for (auto& caller : callers) {
    CHECK(caller.get() == 0);
  }
  CHECK(first.RunCount() + second.RunCount() == 200);
  CHECK(first.MostConnections() <= 8);
  CHECK(second.MostConnections() <= 8);
}

// Guards against unlimited retries, and against idempotent requests that fail
// although another target works.
TEST_CASE("Idempotent requests are retried within the budget", "[server]")
{
  PathFixture fixture;
  std::atomic<bool> failing = false;
  const auto choose = [&failing](const FakeRequest& aRequest) {
    const bool isPlanned = aRequest.m_headers.contains("x-fail");
    return failing && isPlanned ? FakeBehaviour::ReadAndClose
                                : FakeBehaviour::Respond;
  };
  FakeTarget first(choose);
  FakeTarget second;
  fixture.SetTargets({ &first, &second });
  for (int i = 0; i < 40; ++i) {
    REQUIRE(fixture.Get().m_status == 200);
  }
  failing = true;
  int unknown = 0;
  for (int i = 0; i < 40; ++i) {
    unknown += fixture.Get({ { "X-Fail", "1" } }).m_status == 504 ? 1 : 0;
  }
  const auto retries =
    fixture.Count("bramleystall_retries_total", "connection_closed");
  CHECK(retries >= 1);
  CHECK(retries <= 8);
  CHECK(first.RunCount() + second.RunCount() == 80 + static_cast<int>(retries));
  CHECK(
    fixture.Count("bramleystall_unknown_outcomes_total", "connection_closed") ==
    static_cast<std::uint64_t>(unknown));
}

// Guards against an invalid request being queued or run.
TEST_CASE("Invalid requests are rejected and not run", "[server]")
{
  PathFixture fixture;
  FakeTarget target;
  fixture.SetTargets({ &target });
  const auto [method, path, headers, status, reason] =
    GENERATE(table<std::string, std::string, HttpHeaders, int, std::string>({
      { "GET", "/other", {}, 404, "unknown_service" },
      { "POST", "/renewals", {}, 400, "request_id_required" },
      { "GET", "/renewals/../x", {}, 400, "malformed" },
      { "GET", "/renewals", { { "X-Deadline-Ms", "0" } }, 400, "malformed" },
      { "GET", "/renewals", { { "X-Deadline-Ms", "1s" } }, 400, "malformed" },
      { "GET",
        "/renewals",
        { { "X-Request-Id", std::string(200, 'x') } },
        400,
        "malformed" },
      { "GET",
        "/renewals",
        { { "X-Request-Id", "a" }, { "X-Request-Id", "b" } },
        400,
        "malformed" },
    }));
  CAPTURE(method, path, reason);
  const auto result = CallOnce(fixture.m_path->Port(), method, path, headers);
  CHECK(result.m_status == status);
  CHECK(Header(result, "x-bramleystall-outcome") == "refused-not-run");
  CHECK(Header(result, "x-bramleystall-reason") == reason);
  CHECK(target.RunCount() == 0);
}

// Guards against bytes that are not valid HTTP being forwarded to a target or
// ending the daemon.
TEST_CASE("Malformed bytes get status 400", "[server]")
{
  PathFixture fixture;
  FakeTarget target;
  fixture.SetTargets({ &target });
  for (const char* const bytes :
       { "GET /renewals HTTP/1.1\r\n\r\n",
         "GET /renewals HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
         "GET renewals HTTP/1.1\r\nHost: a\r\n\r\n",
         "nonsense\r\n\r\n" }) {
    CAPTURE(bytes);
    const std::string received =
      SendRaw(fixture.m_path->Port(), bytes, absl::Milliseconds(300));
    CHECK((received.empty() || received.starts_with("HTTP/1.1 400") ||
           received.starts_with("HTTP/1.0 400")));
  }
  CHECK(target.RunCount() == 0);
  CHECK(fixture.Get().m_status == 200);
}

// Guards against a large request body, declared or chunked, that exhausts the
// daemon's memory.
TEST_CASE("A body above the limit gets status 413", "[server]")
{
  PathFixture fixture;
  FakeTarget target;
  fixture.SetTargets({ &target });
  const std::string id = NewRequestId();
  const HttpHeaders headers = { { "X-Request-Id", id } };
  const int port = fixture.m_path->Port();
  const std::string fits(1000, 'x');
  CHECK(CallOnce(port, "POST", "/renewals", headers, fits).m_status == 200);
  const auto declared =
    CallOnce(port, "POST", "/renewals", headers, fits + "x");
  CHECK(declared.m_status == 413);
  CHECK(Header(declared, "x-request-id") == id);
  const std::string chunked = SendRaw(
    port,
    "POST /renewals HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
    "Connection: close\r\n\r\n3e9\r\n" +
      fits + "x\r\n0\r\n\r\n",
    absl::Seconds(2));
  CHECK(chunked.starts_with("HTTP/1.1 413"));
  CHECK(target.RunCount() == 1);
}

// Guards against a claim result that is reported as "not run" although its
// outcome is unknown, or the reverse.
TEST_CASE("Claim results decide the response", "[server]")
{
  const auto [outcome, status, reason] =
    GENERATE(table<ClaimOutcome, int, std::string>({
      { ClaimOutcome::Duplicate, 504, "duplicate_id" },
      { ClaimOutcome::OwnerUnreachable, 504, "owner_unreachable" },
      { ClaimOutcome::TooOld, 504, "id_too_old" },
      { ClaimOutcome::FromFuture, 400, "request_id_from_future" },
      { ClaimOutcome::InvalidId, 400, "request_id_invalid" },
    }));
  CAPTURE(reason);
  RequestPathHooks hooks;
  hooks.m_claim = [chosen =
                     outcome](const std::string&,
                              const std::function<void(ClaimOutcome)>& aDone) {
    aDone(chosen);
  };
  PathFixture fixture(hooks);
  FakeTarget target;
  fixture.SetTargets({ &target }, 1);
  for (int i = 0; i < 3; ++i) {
    const auto result = fixture.Charge(NewRequestId());
    CHECK(result.m_status == status);
    CHECK(Header(result, "x-bramleystall-reason") == reason);
  }
  CHECK(target.RunCount() == 0);
  CHECK(fixture.m_path->InFlightByVm().empty());
  CHECK(fixture.Get().m_status == 200);
}

// Guards against a charge being sent to a target that started to drain while
// the claim was in progress (P6), and against a refusal after the grant.
TEST_CASE("A target that is removed during a claim gets no work", "[server]")
{
  std::mutex mutex;
  std::vector<std::function<void(ClaimOutcome)>> pending;
  RequestPathHooks hooks;
  hooks.m_claim = [&](const std::string&,
                      std::function<void(ClaimOutcome)> aDone) {
    const std::lock_guard lock(mutex);
    pending.push_back(std::move(aDone));
  };
  PathFixture fixture(hooks);
  FakeTarget leaving;
  FakeTarget staying;
  fixture.SetTargets({ &leaving });
  auto call = std::async(std::launch::async,
                         [&] { return fixture.Charge(NewRequestId()); });
  REQUIRE(Eventually([&] {
    const std::lock_guard lock(mutex);
    return !pending.empty();
  }));
  CHECK(fixture.m_path->InFlightByVm().at("vm0") == 1);
  fixture.m_path->SetSlotAllowance("other", 1);
  fixture.m_path->ApplyTargets(
    { { "other", staying.Address(), "pool", "rack" } });
  pending.front()(ClaimOutcome::Granted);
  CHECK(call.get().m_status == 200);
  CHECK(leaving.RunCount() == 0);
  CHECK(staying.RunCount() == 1);
}

// Guards against a charge that is sent after its caller was told that it was
// not run (P4): a claim may be granted after the deadline has passed.
TEST_CASE("A claim that is granted too late sends nothing", "[server]")
{
  std::promise<std::function<void(ClaimOutcome)>> pending;
  RequestPathHooks hooks;
  hooks.m_claim = [&](const std::string&,
                      std::function<void(ClaimOutcome)> aDone) {
    pending.set_value(std::move(aDone));
  };
  PathFixture fixture(hooks);
  FakeTarget target;
  fixture.SetTargets({ &target });
  const auto result =
    fixture.Charge(NewRequestId(), { { "X-Deadline-Ms", "100" } });
  CHECK(result.m_status == 503);
  CHECK(Header(result, "x-bramleystall-reason") == "deadline_passed");
  pending.get_future().get()(ClaimOutcome::Granted);
  absl::SleepFor(absl::Milliseconds(50));
  CHECK(target.RunCount() == 0);
  CHECK(fixture.m_path->InFlightByVm().empty());
}

// Guards against more requests in flight at a worker than its slots (with one
// slot, 8 requests must run one after the other), and against a low allowance
// being ignored.
TEST_CASE("Requests at a target stay within the slot allowance", "[server]")
{
  const int allowance = GENERATE(1, 3);
  PathFixture fixture;
  FakeTarget target;
  target.SetDelay(absl::Milliseconds(5));
  fixture.SetTargets({ &target }, allowance);
  constexpr int kCallers = 8;
  std::vector<std::future<CallerResult>> calls;
  calls.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    calls.push_back(
      std::async(std::launch::async, [&] { return fixture.Get(); }));
  }
  for (auto& call : calls) {
    CHECK(call.get().m_status == 200);
  }
  CHECK(target.MostRunning() <= allowance);
  CHECK(target.RunCount() == kCallers);
}

// Guards against a queued request being run after its caller was told that it
// was not run.
TEST_CASE("A request that waits past its deadline is refused", "[server]")
{
  PathFixture fixture;
  FakeTarget target;
  fixture.SetTargets({ &target }, 0);
  const std::string id = NewRequestId();
  const auto result = fixture.Charge(id, { { "X-Deadline-Ms", "100" } });
  CHECK(result.m_status == 503);
  CHECK(Header(result, "x-bramleystall-reason") == "deadline_passed");
  CHECK(fixture.m_path->SlotUsages().at(0).m_waiting == 0);
  fixture.m_path->SetSlotAllowance("vm0", 8);
  absl::SleepFor(absl::Milliseconds(50));
  CHECK(target.RunCount(id) == 0);
  CHECK(fixture.Count("bramleystall_refusals_total", "deadline_passed") == 1);
}

// Guards against a queue that grows beyond the limit of its service.
TEST_CASE("A full queue refuses at once", "[server]")
{
  PathFixture fixture;
  auto configuration = MakeConfiguration();
  configuration->m_services[0].m_queueLimit = 2;
  fixture.m_path->ApplyConfiguration(configuration);
  FakeTarget target;
  fixture.SetTargets({ &target }, 0);
  auto waitingCall = [&] { return fixture.Get(); };
  auto first = std::async(std::launch::async, waitingCall);
  auto second = std::async(std::launch::async, waitingCall);
  REQUIRE(Eventually(
    [&] { return fixture.m_path->Status().m_services.at(0).m_queued == 2; }));
  const auto third = fixture.Get();
  CHECK(third.m_status == 503);
  CHECK(Header(third, "x-bramleystall-reason") == "queue_full");
  CHECK(fixture.m_path->SlotUsages().at(0).m_waiting == 2);
  fixture.m_path->SetSlotAllowance("vm0", 8);
  CHECK(first.get().m_status == 200);
  CHECK(second.get().m_status == 200);
}

// Guards against running a queued request whose caller no longer waits.
TEST_CASE("A queued request of a caller that hung up is dropped", "[server]")
{
  PathFixture fixture;
  FakeTarget target;
  fixture.SetTargets({ &target }, 0);
  const int connection = OpenAndSend(
    fixture.m_path->Port(), "GET /renewals HTTP/1.1\r\nHost: a\r\n\r\n");
  const auto queued = [&] {
    return fixture.m_path->Status().m_services.at(0).m_queued;
  };
  REQUIRE(Eventually([&] { return queued() == 1; }));
  close(connection);
  CHECK(Eventually([&] { return queued() == 0; }));
  CHECK(fixture.m_metrics.CounterValue(
          "bramleystall_caller_disconnects_total") == 1);
  fixture.m_path->SetSlotAllowance("vm0", 8);
  CHECK(fixture.Get().m_status == 200);
  CHECK(target.RunCount() == 1);
}

// Guards against a caller's hang-up that aborts a request in flight.
TEST_CASE("A request in flight ends although its caller hung up", "[server]")
{
  PathFixture fixture;
  FakeTarget target;
  target.SetDelay(absl::Milliseconds(100));
  fixture.SetTargets({ &target });
  const int connection = OpenAndSend(
    fixture.m_path->Port(), "GET /renewals HTTP/1.1\r\nHost: a\r\n\r\n");
  REQUIRE(Eventually([&] { return target.RunCount() == 1; }));
  close(connection);
  CHECK(Eventually([&] {
    return fixture.m_metrics.CounterValue(
             "bramleystall_caller_disconnects_total") == 1;
  }));
  CHECK(fixture.m_path->InFlightByVm().at("vm0") == 1);
  CHECK(Eventually([&] { return fixture.m_path->InFlightByVm().empty(); }));
}

// Guards against a late response being sent to the next caller (P3).
TEST_CASE("A response after the deadline is dropped", "[server]")
{
  PathFixture fixture;
  FakeTarget target([](const FakeRequest& aRequest) {
    if (aRequest.m_headers.contains("x-slow")) {
      absl::SleepFor(absl::Milliseconds(200));
    }
    return FakeBehaviour::Respond;
  });
  fixture.SetTargets({ &target });
  const auto late =
    fixture.Get({ { "X-Slow", "1" }, { "X-Deadline-Ms", "50" } });
  CHECK(late.m_status == 504);
  for (int i = 0; i < 10; ++i) {
    const std::string id = "id" + std::to_string(i);
    const auto result = fixture.Get({ { "X-Request-Id", id } });
    CHECK(result.m_status == 200);
    CHECK(Header(result, "x-request-id") == id);
    absl::SleepFor(absl::Milliseconds(25));
  }
}

// Guards against a planned stop that aborts accepted requests (P7).
TEST_CASE("Draining finishes accepted requests and refuses new ones",
          "[server]")
{
  PathFixture fixture;
  FakeTarget target;
  target.SetDelay(absl::Milliseconds(200));
  fixture.SetTargets({ &target }, 1);
  auto running = std::async(std::launch::async, [&] { return fixture.Get(); });
  REQUIRE(Eventually([&] { return target.RunCount() == 1; }));
  auto queued = std::async(std::launch::async, [&] { return fixture.Get(); });
  REQUIRE(Eventually(
    [&] { return fixture.m_path->Status().m_services.at(0).m_queued == 1; }));
  auto drained = std::async(std::launch::async,
                            [&] { fixture.m_path->Drain(absl::Seconds(5)); });
  // Before the drain starts, a request is queued and then refused at its
  // deadline, since the only slot is in use.
  CHECK(Eventually([&] {
    const auto refused = fixture.Get({ { "X-Deadline-Ms", "30" } });
    CHECK(refused.m_status == 503);
    return Header(refused, "x-bramleystall-reason") == "shutting_down";
  }));
  CHECK(running.get().m_status == 200);
  CHECK(queued.get().m_status == 200);
  drained.get();
  CHECK_THROWS(OpenAndSend(fixture.m_path->Port(), "x"));
}

// Guards against a planned stop that resets connections: each call must get a
// response or find the port closed.
TEST_CASE("Callers that arrive while draining get a response", "[server]")
{
  PathFixture fixture;
  FakeTarget target;
  fixture.SetTargets({ &target });
  const int port = fixture.m_path->Port();
  std::atomic<int> broken = 0;
  std::atomic<int> answered = 0;
  constexpr int kCallers = 4;
  std::vector<std::future<void>> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(std::async(std::launch::async, [&] {
      const std::string request =
        "GET /renewals HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
      try {
        for (int call = 0; call < 5000; ++call) {
          const std::string received = SendRaw(port, request, absl::Seconds(2));
          ++(received.starts_with("HTTP/1.1 ") ? answered : broken);
        }
      } catch (const std::runtime_error&) {
        // The port is closed, so the caller knows that nothing was run.
      }
    }));
  }
  REQUIRE(Eventually([&] { return answered > 20; }));
  fixture.m_path->Drain(absl::Seconds(5));
  for (auto& caller : callers) {
    caller.get();
  }
  CHECK(broken == 0);
}

// Guards against callers that get no response, or a false "not run", when the
// daemon stops without draining.
TEST_CASE("Stopping at once gives every request a correct outcome", "[server]")
{
  PathFixture fixture;
  FakeTarget target([](const FakeRequest&) { return FakeBehaviour::Freeze; });
  fixture.SetTargets({ &target }, 1);
  auto running =
    std::async(std::launch::async, [&] { return fixture.Charge("run"); });
  REQUIRE(Eventually([&] { return target.RunCount("run") == 1; }));
  auto queued =
    std::async(std::launch::async, [&] { return fixture.Charge("wait"); });
  REQUIRE(Eventually(
    [&] { return fixture.m_path->Status().m_services.at(0).m_queued == 1; }));
  fixture.m_path.reset();
  CHECK(Header(running.get(), "x-bramleystall-outcome") == "outcome-unknown");
  CHECK(Header(queued.get(), "x-bramleystall-outcome") == "refused-not-run");
  CHECK(target.RunCount("wait") == 0);
}

// Guards against a failing target that keeps receiving its share of requests,
// and against a recovered target that is never used again.
TEST_CASE("A failing target leaves the rotation and returns", "[server]")
{
  PathFixture fixture;
  std::atomic<bool> failing = true;
  FakeTarget first([&failing](const FakeRequest&) {
    return failing ? FakeBehaviour::ReadAndClose : FakeBehaviour::Respond;
  });
  FakeTarget second;
  fixture.SetTargets({ &first, &second });
  const auto health = [&] {
    return fixture.m_path->Status().m_targets.at(0).m_health;
  };
  for (int i = 0; i < 100 && health() != HealthState::Out; ++i) {
    fixture.Get();
  }
  REQUIRE(health() == HealthState::Out);
  const int before = first.RunCount();
  for (int i = 0; i < 10; ++i) {
    CHECK(fixture.Get().m_status == 200);
  }
  CHECK(first.RunCount() == before);
  failing = false;
  CHECK(Eventually([&] { return health() == HealthState::Returning; }));
  CHECK(first.ProbeCount() >= TargetHealth::kProbesToReturn);
  for (int i = 0; i < 400 && health() != HealthState::Healthy; ++i) {
    CHECK(fixture.Get().m_status == 200);
  }
  CHECK(health() == HealthState::Healthy);
  CHECK(first.RunCount() > before);
}

// Guards against a worker that responds to every request with an error and
// keeps its share of requests. Its error responses still reach their callers.
TEST_CASE("A target with only error responses leaves the rotation", "[server]")
{
  PathFixture fixture;
  FakeTarget bad([](const FakeRequest&) { return FakeBehaviour::Error; });
  FakeTarget good;
  fixture.SetTargets({ &bad, &good });
  int errors = 0;
  for (int i = 0; i < 60; ++i) {
    errors += fixture.Get().m_status == 500 ? 1 : 0;
  }
  CHECK(errors == bad.RunCount());
  CHECK(errors >= TargetHealth::kErrorResponsesToTakeOut);
  CHECK(errors < 2 * TargetHealth::kErrorResponsesToTakeOut);
}

// Guards against queued requests of a removed service waiting until their
// deadline.
TEST_CASE("Requests of a removed service are refused", "[server]")
{
  PathFixture fixture;
  FakeTarget target;
  fixture.SetTargets({ &target }, 0);
  auto call = std::async(std::launch::async, [&] { return fixture.Get(); });
  REQUIRE(Eventually(
    [&] { return fixture.m_path->Status().m_services.at(0).m_queued == 1; }));
  auto configuration = std::make_shared<Configuration>();
  configuration->m_services = { MakeService("other", "/other") };
  fixture.m_path->ApplyConfiguration(configuration);
  CHECK(Header(call.get(), "x-bramleystall-reason") == "service_removed");
  CHECK(fixture.Get().m_status == 404);
}

// Guards against queued requests that stay in the queue of the previous pool.
TEST_CASE("Requests of a service that changes its pool move with it",
          "[server]")
{
  PathFixture fixture;
  FakeTarget target;
  FakeTarget other;
  fixture.SetTargets({ &target }, 0);
  auto call = std::async(std::launch::async, [&] { return fixture.Get(); });
  REQUIRE(Eventually(
    [&] { return fixture.m_path->Status().m_services.at(0).m_queued == 1; }));
  fixture.m_path->SetSlotAllowance("vm9", 1);
  fixture.m_path->ApplyTargets(
    { { "vm0", target.Address(), "pool", "rack" },
      { "vm9", other.Address(), "second", "rack" } });
  auto configuration = MakeConfiguration();
  configuration->m_services[0].m_pool = "second";
  fixture.m_path->ApplyConfiguration(configuration);
  CHECK(call.get().m_status == 200);
  CHECK(other.RunCount() == 1);
}

// Guards against a pool without targets holding requests until their deadline.
TEST_CASE("Without a target requests are refused at once", "[server]")
{
  PathFixture fixture;
  const auto result = fixture.Get();
  CHECK(result.m_status == 503);
  CHECK(Header(result, "x-bramleystall-reason") == "no_capacity");
}

// Guards against a daemon that starts without a claim hook or without its port.
TEST_CASE("A missing hook or a port in use is an error", "[server]")
{
  Metrics metrics;
  RequestPathSettings settings;
  settings.m_requestAttemptChart =
    BRAMLEYSTALL_SOURCE_DIR "/charts/request_attempt.json";
  CHECK_THROWS_AS(RequestPath(settings, {}, metrics), Error);
  PathFixture fixture;
  settings.m_listenPort = fixture.m_path->Port();
  RequestPathHooks hooks;
  hooks.m_claim = [](const std::string&,
                     const std::function<void(ClaimOutcome)>&) {};
  RequestPath second(settings, hooks, metrics);
  CHECK_THROWS_AS(second.Start(), Error);
}

// Guards against a daemon whose process was paused using slot tokens that were
// lent to other daemons meanwhile.
TEST_CASE("Work waits while the daemon may not start any", "[server]")
{
  std::atomic<bool> mayStart = false;
  RequestPathHooks hooks;
  hooks.m_mayStart = [&mayStart] { return mayStart.load(); };
  PathFixture fixture(hooks);
  const FakeTarget target;
  fixture.SetTargets({ &target });
  auto result =
    std::async(std::launch::async, [&fixture] { return fixture.Get(); });
  const auto queued = [&fixture] {
    return fixture.m_path->Status().m_services.front().m_queued;
  };
  const absl::Time end = absl::Now() + absl::Seconds(5);
  while (queued() == 0 && absl::Now() < end) {
    absl::SleepFor(absl::Milliseconds(5));
  }
  CHECK(queued() == 1);
  CHECK(fixture.m_path->InFlightByVm().empty());
  mayStart = true;
  fixture.m_path->SetSlotAllowance("vm0", 8);
  CHECK(result.get().m_status == 200);
}

// Guards against a deadlock: the cluster node holds its lock while it sets an
// allowance, and a claim that the allowance starts needs the same lock.
TEST_CASE("Setting an allowance does not claim on the same thread", "[server]")
{
  std::mutex nodeLock;
  RequestPathHooks hooks;
  hooks.m_claim = [&nodeLock](const std::string&,
                              const std::function<void(ClaimOutcome)>& aDone) {
    const std::lock_guard lock(nodeLock);
    aDone(ClaimOutcome::Granted);
  };
  PathFixture fixture(hooks);
  const FakeTarget target;
  fixture.SetTargets({ &target }, 0);
  auto result = std::async(
    std::launch::async, [&fixture] { return fixture.Charge(NewRequestId()); });
  const auto queued = [&fixture] {
    return fixture.m_path->Status().m_services.front().m_queued;
  };
  const absl::Time end = absl::Now() + absl::Seconds(5);
  while (queued() == 0 && absl::Now() < end) {
    absl::SleepFor(absl::Milliseconds(5));
  }
  REQUIRE(queued() == 1);
  {
    const std::lock_guard lock(nodeLock);
    fixture.m_path->SetSlotAllowance("vm0", 8);
  }
  CHECK(result.get().m_status == 200);
}
