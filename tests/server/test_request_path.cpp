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

/** Owner of ids that grants each id once, as the claim messages do. */
class ClaimOnce
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

/** A request path in this process, with a service "renewals". */
struct PathFixture
{
  Metrics m_metrics;
  ClaimOnce m_claims;
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

/** Waits until a condition holds, at most 5 s. */
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

// Guards against requests or responses being changed on their way.
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

// Guards against a retry after a refused connection being lost or counted as a
// second run: no byte was sent, so another target may run the request.
TEST_CASE("A charge whose connection was refused runs at another target",
          "[server]")
{
  PathFixture fixture;
  FakeTarget refusing;
  refusing.Refuse();
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

// Guards against a refusal that is not truthful (P4): when it says that the
// request was not run, the target must not have seen it.
TEST_CASE("A charge that no target accepts is refused and not run", "[server]")
{
  PathFixture fixture;
  FakeTarget refusing;
  refusing.Refuse();
  fixture.SetTargets({ &refusing });
  const auto result = fixture.Charge(NewRequestId());
  CHECK(result.m_status == 503);
  CHECK(Header(result, "x-bramleystall-outcome") == "refused-not-run");
  CHECK(refusing.RunCount() == 0);
}

// Guards against the same charge being run twice when the caller repeats it.
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

// Guards against callers getting another caller's response (P3).
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
