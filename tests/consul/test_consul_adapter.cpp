#include "consul/consul_store.h"
#include "consul/consul_vm_control.h"
#include "consul/consul_vm_list.h"
#include "consul/http_client.h"
#include "core/clock.h"
#include "core/metrics.h"
#include "tests/fakes/child_process.h"

#include <absl/time/clock.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <future>
#include <string>

using namespace bramleystall;

namespace {

/** Allows for a slow call on a busy machine. */
constexpr absl::Duration kCallTimeout = absl::Seconds(5);

/** Runs the platform stand-in as a process and a store adapter for it. */
class PlatformFixture
{
public:
  explicit PlatformFixture(std::vector<std::string> aFlags = {})
    : m_process(BuiltProgram("platform_stand_in"), WithPort(std::move(aFlags)))
  {
    m_settings.m_baseUrl =
      "http://127.0.0.1:" + std::to_string(m_process.WaitForPort());
    m_settings.m_timeout = kCallTimeout;
    m_store.emplace(m_settings, &m_metrics);
  }

  static std::vector<std::string> WithPort(std::vector<std::string> aFlags)
  {
    aFlags.emplace_back("--port=0");
    return aFlags;
  }

  ClientResponse Send(const std::string& aMethod,
                      const std::string& aPath,
                      const std::string& aBody = "")
  {
    ClientRequest request;
    request.m_method = aMethod;
    request.m_url = m_settings.m_baseUrl + aPath;
    request.m_body = aBody;
    return m_http.Send(request);
  }

  void SetFaults(const std::string& aJson)
  {
    REQUIRE(Send("POST", "/stand_in/faults", aJson).m_status == 200);
  }

  nlohmann::json Calls()
  {
    return nlohmann::json::parse(Send("GET", "/stand_in/calls").m_body);
  }

  /** Waits until a watch is pending at the stand-in. */
  void WaitForWatch()
  {
    for (int i = 0; i < 500 && Calls()["pending_watches"] == 0; ++i) {
      absl::SleepFor(absl::Milliseconds(5));
    }
    REQUIRE(Calls()["pending_watches"] == 1);
  }

  ConsulStore& Store() { return *m_store; }

  ChildProcess m_process;
  ConsulSettings m_settings;
  Metrics m_metrics;
  std::optional<ConsulStore> m_store;
  HttpClient m_http;
};

bool
IsUnavailable(const std::function<void()>& aCall)
{
  try {
    aCall();
  } catch (const Error& error) {
    return error.Code() == ErrorCode::Unavailable;
  }
  return false;
}

}

// Guards against a write that overwrites a change that its writer has not read,
// and against a transaction that is applied in part.
TEST_CASE("Compare-and-swap fails on an outdated revision", "[process]")
{
  PlatformFixture platform;
  auto& store = platform.Store();
  CHECK_FALSE(store.Get("a/b").has_value());
  REQUIRE(store.Write({ { "a/b", "one", 0 } }, {}) == WriteOutcome::Applied);
  const auto first = store.Get("a/b");
  REQUIRE(first.has_value());
  CHECK(first->m_value == "one");
  CHECK(first->m_revision > 0);
  CHECK(store.Write({ { "a/b", "again", 0 } }, {}) == WriteOutcome::Conflict);
  CHECK(store.Write(
          { { "other", "x", 0 }, { "a/b", "two", first->m_revision + 1 } },
          {}) == WriteOutcome::Conflict);
  CHECK_FALSE(store.Get("other").has_value());
  CHECK(store.Write({ { "other", std::string("\0\xff\n", 3), 0 },
                      { "a/b", "two", first->m_revision } },
                    {}) == WriteOutcome::Applied);
  CHECK(store.Get("other")->m_value == std::string("\0\xff\n", 3));
  CHECK(store.Get("a/b")->m_value == "two");
  CHECK(platform.m_metrics.CounterValue(
          "bramleystall_store_errors_total",
          { { "kind", "write" }, { "reason", "conflict" } }) == 2);
}

// Guards against a definite outcome being reported when the response was lost,
// and against libcurl repeating a write.
TEST_CASE("A write without a response is reported as unknown and sent once",
          "[process]")
{
  PlatformFixture platform;
  auto& store = platform.Store();
  // Opens a connection that libcurl could reuse.
  store.Get("a");
  platform.SetFaults(R"({"lose_write_responses":1})");
  CHECK(store.Write({ { "a", "one", 0 } }, {}) == WriteOutcome::Unknown);
  CHECK(platform.Calls()["write"] == 1);
  CHECK(store.Get("a")->m_value == "one");
  platform.SetFaults(R"({"lose_write_responses":1})");
  CHECK(IsUnavailable([&] { store.CreateSession("s", absl::Seconds(10)); }));
  CHECK(platform.Calls()["write"] == 2);
}

// Guards against a value over the store's limit being reported as unknown or as
// a conflict, which would make the writer retry indefinitely.
TEST_CASE("A value over the size limit is rejected as invalid", "[process]")
{
  PlatformFixture platform;
  const std::string large((1U << 20U) + 1, 'x');
  const std::string fitting(1U << 20U, 'x');
  CHECK(platform.Store().Write({ { "fits", fitting, 0 } }, {}) ==
        WriteOutcome::Applied);
  CHECK(platform.Store().Get("fits")->m_value.size() == fitting.size());
  try {
    platform.Store().Write({ { "large", large, 0 } }, {});
    FAIL("the write was not rejected");
  } catch (const Error& error) {
    CHECK(error.Code() == ErrorCode::InvalidInput);
  }
}

// Guards against a watch that misses a change or returns without waiting.
TEST_CASE("A watch returns on the change of its key", "[process]")
{
  PlatformFixture platform;
  auto& store = platform.Store();
  const auto wait = [&](std::uint64_t aRevision) {
    return std::async(std::launch::async, [&store, aRevision] {
      return store.WaitForChange("k", aRevision, absl::Seconds(5));
    });
  };
  auto creation = wait(0);
  platform.WaitForWatch();
  REQUIRE(store.Write({ { "other", "x", 0 } }, {}) == WriteOutcome::Applied);
  REQUIRE(store.Write({ { "k", "one", 0 } }, {}) == WriteOutcome::Applied);
  const auto created = creation.get();
  REQUIRE(created.has_value());
  CHECK(created->m_value == "one");
  auto change = wait(created->m_revision);
  platform.WaitForWatch();
  REQUIRE(store.Write({ { "k", "two", created->m_revision } }, {}) ==
          WriteOutcome::Applied);
  CHECK(change.get()->m_value == "two");

  const absl::Time start = MonotonicNow();
  const auto revision = store.Get("k")->m_revision;
  const auto unchanged =
    store.WaitForChange("k", revision, absl::Milliseconds(200));
  CHECK(unchanged->m_revision == revision);
  CHECK(MonotonicNow() - start >= absl::Milliseconds(200));
  CHECK_FALSE(
    store.WaitForChange("missing", 0, absl::Milliseconds(50)).has_value());
}

// Guards against a watch whose connection was closed being reported as an
// unchanged or a deleted key.
TEST_CASE("A watch throws when its connection is closed", "[process]")
{
  PlatformFixture platform;
  auto& store = platform.Store();
  REQUIRE(store.Write({ { "k", "one", 0 } }, {}) == WriteOutcome::Applied);
  const auto revision = store.Get("k")->m_revision;
  auto watch = std::async(std::launch::async, [&] {
    return IsUnavailable(
      [&] { store.WaitForChange("k", revision, absl::Seconds(5)); });
  });
  platform.WaitForWatch();
  platform.SetFaults(R"({"cut_watches":true})");
  CHECK(watch.get());
  CHECK(store.Get("k")->m_value == "one");
}

// Guards against a holder that keeps its lock after its session has expired,
// and against two holders with the same term.
TEST_CASE("A session that expires loses its lock to the next one", "[process]")
{
  PlatformFixture platform({ "--min_ttl_ms=100" });
  auto& store = platform.Store();
  const auto first = store.CreateSession("first", absl::Seconds(3));
  const auto second = store.CreateSession("second", absl::Seconds(20));
  REQUIRE(store.AcquireLock("lock", "1", first) == WriteOutcome::Applied);
  CHECK(store.AcquireLock("lock", "2", second) == WriteOutcome::Conflict);
  CHECK(store.Get("lock")->m_session == first);
  CHECK(store.Get("lock")->m_lockCount == 1);
  CHECK(store.RenewSession(first));
  CHECK(store.AcquireLock("lock", "1b", first) == WriteOutcome::Applied);
  CHECK(store.Get("lock")->m_lockCount == 1);

  const auto held = store.Get("lock");
  const auto released =
    store.WaitForChange("lock", held->m_revision, absl::Seconds(15));
  REQUIRE(released.has_value());
  CHECK(released->m_session.empty());
  CHECK(released->m_value == "1b");
  CHECK_FALSE(store.RenewSession(first));
  CHECK(store.AcquireLock("lock", "2", second) == WriteOutcome::Applied);
  CHECK(store.Get("lock")->m_lockCount == 2);
}

// Guards against a write by a paused lock holder that takes effect after
// another process has acquired the lock.
TEST_CASE("A write under a session that lost its lock is rejected", "[process]")
{
  PlatformFixture platform;
  auto& store = platform.Store();
  const auto session = store.CreateSession("s", absl::Seconds(10));
  CHECK(
    store.Write({ { "doc", "early", 0 } }, LockCondition{ "lock", session }) ==
    WriteOutcome::Conflict);
  REQUIRE(store.AcquireLock("lock", "1", session) == WriteOutcome::Applied);
  CHECK(store.Write({ { "doc", "one", 0 } },
                    LockCondition{ "lock", session }) == WriteOutcome::Applied);
  const auto revision = store.Get("doc")->m_revision;
  store.DestroySession(session);
  CHECK(store.Write({ { "doc", "stale", revision } },
                    LockCondition{ "lock", session }) ==
        WriteOutcome::Conflict);
  CHECK(store.Get("doc")->m_value == "one");
  // The API responds to an unknown session with a server error.
  CHECK(store.AcquireLock("lock", "2", session) == WriteOutcome::Unknown);
  CHECK(store.Get("lock")->m_session.empty());
}

// Guards against calls to a store that cannot be reached being reported as a
// key that does not exist or as an applied write.
TEST_CASE("A failing or terminated store is unavailable", "[process]")
{
  PlatformFixture platform;
  auto& store = platform.Store();
  platform.SetFaults(R"({"down":true})");
  CHECK(IsUnavailable([&] { store.Get("k"); }));
  CHECK(store.Write({ { "k", "one", 0 } }, {}) == WriteOutcome::Unknown);
  platform.SetFaults(R"({"down":false})");
  CHECK_FALSE(store.Get("k").has_value());

  platform.m_process.Signal(SIGKILL);
  REQUIRE(platform.m_process.Wait(absl::Seconds(5)).has_value());
  // No connection can be made any more, so the write certainly has no effect.
  CHECK(IsUnavailable([&] { store.Write({ { "k", "one", 0 } }, {}); }));
  CHECK(IsUnavailable([&] { store.Get("k"); }));
  CHECK(IsUnavailable([&] { ConsulVmList(platform.m_settings).Read(); }));
  CHECK(platform.m_metrics.CounterValue(
          "bramleystall_store_errors_total",
          { { "kind", "write" }, { "reason", "not_connected" } }) == 1);
}

// Guards against a slow store blocking its callers beyond the time-out, and
// against a write that takes effect after it being reported as failed.
TEST_CASE("Calls to a slow store end at the time-out", "[process]")
{
  PlatformFixture platform;
  ConsulSettings settings = platform.m_settings;
  settings.m_timeout = absl::Milliseconds(300);
  ConsulStore shortTimeoutStore(settings);
  platform.SetFaults(R"({"slow_ms":2500})");
  const absl::Time start = MonotonicNow();
  CHECK(IsUnavailable([&] { shortTimeoutStore.Get("k"); }));
  CHECK(shortTimeoutStore.Write({ { "k", "late", 0 } }, {}) ==
        WriteOutcome::Unknown);
  CHECK(MonotonicNow() - start < absl::Milliseconds(2500));
  platform.SetFaults(R"({"slow_ms":0})");
  // The write takes effect after its writer has timed out.
  const auto late = platform.Store().WaitForChange("k", 0, absl::Seconds(10));
  REQUIRE(late.has_value());
  CHECK(late->m_value == "late");
}

// Guards against a refused connection being reported as an unknown outcome,
// although nothing was sent, and against calls without a time-out.
TEST_CASE("A refused connection is not an unknown outcome", "[process]")
{
  ConsulSettings settings;
  // Port 1 of the loopback interface has no listener.
  settings.m_baseUrl = "http://127.0.0.1:1";
  ConsulStore store(settings);
  CHECK(IsUnavailable([&] { store.Write({ { "k", "v", 0 } }, {}); }));
  CHECK(IsUnavailable([&] { store.AcquireLock("k", "v", "s"); }));
}

// Guards against wrong fields of the VM list, and against a stand-in whose list
// does not lag behind a change.
TEST_CASE("The VM list is read from the lagging catalog", "[process]")
{
  PlatformFixture platform;
  const auto registerNode = [&](const std::string& aJson) {
    REQUIRE(platform.Send("PUT", "/v1/catalog/register", aJson).m_status ==
            200);
  };
  registerNode(R"({"Node":"w1","Address":"127.0.0.1","NodeMeta":{
    "data_centre":"gt1","rack":"r1","pool":"vets","kind":"target",
    "port":"9001"}})");
  registerNode(R"({"Node":"e1","Address":"127.0.0.2","Datacenter":"gt2",
    "NodeMeta":{"kind":"entry","address":"127.0.0.1:9002","leaving":"true"}})");
  registerNode(R"({"Node":"unrelated","Address":"127.0.0.3"})");
  ConsulVmList list(platform.m_settings);
  const auto listings = list.Read();
  REQUIRE(listings.size() == 2);
  const auto& entry = listings[0];
  CHECK(entry.m_name == "e1");
  CHECK(entry.m_address == "127.0.0.1:9002");
  CHECK(entry.m_dataCentre == "gt2");
  CHECK(entry.m_isEntry);
  CHECK(entry.m_isLeaving);
  const auto& worker = listings[1];
  CHECK(worker.m_name == "w1");
  CHECK(worker.m_address == "127.0.0.1:9001");
  CHECK(worker.m_dataCentre == "gt1");
  CHECK(worker.m_rack == "r1");
  CHECK(worker.m_pool == "vets");
  CHECK_FALSE(worker.m_isEntry);
  CHECK_FALSE(worker.m_isLeaving);

  platform.SetFaults(R"({"list_lag_ms":60000})");
  platform.Send("PUT", "/v1/catalog/deregister", R"({"Node":"w1"})");
  CHECK(list.Read().empty());
  platform.SetFaults(R"({"list_lag_ms":0})");
  CHECK(list.Read().size() == 1);
}

// Guards against a second reboot when a request is repeated.
TEST_CASE("A reboot happens once for each token", "[process]")
{
  PlatformFixture platform({ "--reboot_ms=100" });
  ChildProcess target(BuiltProgram("target_stand_in"), { "--port=0" });
  const auto address = "127.0.0.1:" + std::to_string(target.WaitForPort());
  const nlohmann::json node = {
    { "Node", "w1" },
    { "Address", "127.0.0.1" },
    { "NodeMeta", { { "kind", "target" }, { "address", address } } }
  };
  platform.Send("PUT", "/v1/catalog/register", node.dump());
  ConsulVmControl control(platform.m_settings);
  platform.SetFaults(R"({"lose_write_responses":1})");
  CHECK(IsUnavailable([&] { control.Reboot("w1", "token"); }));
  control.Reboot("w1", "token");
  ConsulVmList list(platform.m_settings);
  CHECK(list.Read().at(0).m_isLeaving);
  for (int i = 0; i < 500 && list.Read().at(0).m_isLeaving; ++i) {
    absl::SleepFor(absl::Milliseconds(10));
  }
  CHECK_FALSE(list.Read().at(0).m_isLeaving);
  CHECK(platform.Calls()["reboot"] == 1);

  ClientRequest request;
  request.m_url = "http://" + address + "/stand_in/record";
  nlohmann::json record;
  for (int i = 0; i < 100 && record.is_null(); ++i) {
    try {
      record = nlohmann::json::parse(platform.m_http.Send(request).m_body);
    } catch (const HttpError&) {
      absl::SleepFor(absl::Milliseconds(20));
    }
  }
  REQUIRE(record.is_object());
  CHECK(record["reboots"] == 1);
}
