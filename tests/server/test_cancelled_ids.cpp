#include "jobs/job_codec.h"
#include "jobs/job_entry.h"
#include "scheduler/job_keys.h"
#include "scheduler/shard_status.h"
#include "tests/fakes/captured_log.h"
#include "tests/fakes/job_request_fixture.h"
#include "tests/fakes/quiet_log.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <array>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace bramleystall;

namespace {

const std::string kId = "5c0e7a21d94b36f8";
const std::string kJob = "/q/" + kId;
const std::string kBody = R"({"spec":"text","phases":[{"count":1}]})";
const std::string kAcmeKey = "secret-of-acme";
const std::string kZestKey = "secret-of-zest";
const keys::ShardKeys kKeys(0);
/** Longer than the store takes to apply a write without response. */
constexpr absl::Duration kSettleTime = absl::Seconds(10);

/** Two daemons that share a store, in a deployment with two tenants. */
struct TwoDaemons
  : QuietLog
  , JobRequestFixture
{
  TwoDaemons()
  {
    m_configuration->m_tenants = TenantDirectory(
      { { .m_name = "acme", .m_apiKeys = { kAcmeKey }, .m_weight = 1 },
        { .m_name = "zest", .m_apiKeys = { kZestKey }, .m_weight = 1 } });
    Restart();
  }

  /** Replaces the second daemon, as if it was killed. */
  void Restart()
  {
    m_second.reset();
    m_secondClient = std::make_unique<FakeStoreClient>(m_loop, m_store);
    m_second.reset(new JobRequestHandler(MakeHandler(*m_secondClient)));
  }

  /** Sends a request of acme, or of zest, to the first daemon. */
  int First(const std::string& aMethod, const std::string& aKey = kAcmeKey)
  {
    return StatusAt(m_handler, aMethod, aKey);
  }
  int Second(const std::string& aMethod, const std::string& aKey = kAcmeKey)
  {
    return StatusAt(*m_second, aMethod, aKey);
  }
  int StatusAt(JobRequestHandler& aHandler,
               const std::string& aMethod,
               const std::string& aKey)
  {
    int status = 0;
    aHandler.Handle(
      { aMethod, kJob, "h", aMethod == "POST" ? kBody : "", aKey },
      [&status](const ListenerResponse& aResponse) {
        status = aResponse.m_status;
      });
    m_loop.AdvanceBy(absl::Seconds(3));
    REQUIRE(status != 0);
    return status;
  }

  bool HasJob() const { return m_store.Has(kKeys.Job(kId)); }

  std::unique_ptr<FakeStoreClient> m_secondClient;
  std::unique_ptr<JobRequestHandler> m_second;
};

/** Lets the coming commit of a client be applied after a time, without a
 * response. */
void
DelayNextCommit(FakeStoreClient& aClient, absl::Duration aTime)
{
  aClient.m_commitLateness = [coming = 1,
                              aTime](const StoreTransaction&) mutable {
    return coming-- > 0 ? std::optional(aTime) : std::nullopt;
  };
}

}

// Guards against a job that starts after its caller got 504, cancelled it and
// was told that there is no such job (rule UNASKED, review case 14).
TEST_CASE_METHOD(TwoDaemons,
                 "A late submission is not stored after its cancel",
                 "[front]")
{
  const bool isSameDaemon = GENERATE(true, false);
  const bool isKilled = GENERATE(false, true);
  CAPTURE(isSameDaemon, isKilled);
  DelayNextCommit(*m_secondClient, absl::Milliseconds(5800));
  REQUIRE(Second("POST") == 504);
  if (isKilled) {
    Restart();
  }
  CHECK((isSameDaemon ? Second("DELETE") : First("DELETE")) == 410);
  m_loop.AdvanceBy(kSettleTime);
  CHECK_FALSE(HasJob());
  CHECK(First("GET") == 410);
  CHECK(Second("GET") == 410);
  CHECK(Second("DELETE") == 410);
}

// Guards against a submission that is stored after its cancel was acknowledged,
// because the cancel overtook it (rule UNASKED).
TEST_CASE_METHOD(TwoDaemons,
                 "A submission after the cancel of its id is refused",
                 "[front]")
{
  CHECK(First("DELETE") == 410);
  CHECK(Second("POST") == 409);
  CHECK(First("POST") == 409);
  m_client.m_lostCommitResponses = 1;
  CHECK(First("POST") == 409);
  m_client.m_areConflictValuesCut = true;
  CHECK(First("POST") == 409);
  CHECK_FALSE(HasJob());
  CHECK(First("GET") == 410);
}

// Guards against a confirmed cancel that was not stored (rule UNASKED).
TEST_CASE_METHOD(TwoDaemons,
                 "An unknown id is reported only once its tombstone is stored",
                 "[front]")
{
  m_client.m_isRefusing = true;
  CHECK(First("DELETE") == 503);
  m_client.m_isRefusing = false;
  m_client.m_isPartitioned = true;
  CHECK(First("DELETE") == 503);
  m_client.m_isPartitioned = false;
  // The outcome of the tombstone is unknown, and it is not stored yet.
  DelayNextCommit(m_client, absl::Seconds(2));
  CHECK(First("DELETE") == 504);
  m_client.m_lostCommitResponses = 1;
  CHECK(First("DELETE") == 410);
}

// Guards against a cancel that is answered as if there was no job, although a
// job was stored meanwhile (rule UNASKED).
TEST_CASE_METHOD(TwoDaemons, "A tombstone does not replace a job", "[front]")
{
  int cancelled = 0;
  int submitted = 0;
  m_handler.Handle(
    { "DELETE", kJob, "h", "", kAcmeKey },
    [&](const ListenerResponse& aResponse) { cancelled = aResponse.m_status; });
  // The submission is stored between the read and the write of the cancel.
  m_loop.AdvanceBy(absl::Milliseconds(1));
  m_second->Handle(
    { "POST", kJob, "h", kBody, kAcmeKey },
    [&](const ListenerResponse& aResponse) { submitted = aResponse.m_status; });
  m_loop.AdvanceBy(absl::Seconds(3));
  CHECK(submitted == 200);
  CHECK(cancelled == 200);
  CHECK(HasJob());
  CHECK(m_store.Has(kKeys.Cancel(kId)));
}

// Guards against a tenant that blocks the ids of another one by cancelling
// them.
TEST_CASE_METHOD(TwoDaemons,
                 "A tombstone refuses only the jobs of its tenants",
                 "[tenants]")
{
  CHECK(First("DELETE", kZestKey) == 410);
  CHECK(First("POST", kZestKey) == 409);
  SECTION("another tenant's job is stored")
  {
    m_client.m_areConflictValuesCut = GENERATE(false, true);
    CHECK(First("POST", kAcmeKey) == 200);
    CHECK(HasJob());
    CHECK(First("POST", kZestKey) == 409);
    CHECK(First("GET", kZestKey) == 410);
    CHECK(First("DELETE", kZestKey) == 410);
    CHECK(First("GET", kAcmeKey) == 200);
    CHECK_FALSE(m_store.Has(kKeys.Cancel(kId)));
    CHECK(First("DELETE", kAcmeKey) == 200);
  }
  SECTION("both tenants have cancelled the id")
  {
    CHECK(Second("DELETE", kAcmeKey) == 410);
    CHECK(First("POST", kZestKey) == 409);
    CHECK(First("POST", kAcmeKey) == 409);
    CHECK_FALSE(HasJob());
  }
  SECTION("the tombstone is removed while it is replaced")
  {
    int status = 0;
    m_handler.Handle({ "POST", kJob, "h", kBody, kAcmeKey },
                     [&status](const ListenerResponse& aResponse) {
                       status = aResponse.m_status;
                     });
    // The first commit has shown the tombstone, the second is under way.
    m_loop.AdvanceBy(absl::Milliseconds(5));
    m_store.Remove(kKeys.Entry(kId));
    m_loop.AdvanceBy(absl::Seconds(3));
    CHECK(status == 200);
    CHECK(HasJob());
    CHECK(m_client.m_commitCount >= 3);
  }
}

// Guards against callers that fill the store and the owner's memory, or keep
// out the others, with cancels of ids that have no job, and against a limit
// that answers them with an untrue 410.
TEST_CASE_METHOD(TwoDaemons,
                 "A crowd of cancels of unknown ids is limited",
                 "[tenants]")
{
  constexpr int kCancels = 10'000;
  constexpr int kSeconds = 10;
  int unknown = 0;
  int refused = 0;
  for (int i = 0; i < kCancels; ++i) {
    const std::string path =
      absl::StrCat("/q/", absl::Hex(i, absl::kZeroPad16));
    m_handler.Handle({ "DELETE", path, "h", "", kZestKey },
                     [&](const ListenerResponse& aResponse) {
                       unknown += aResponse.m_status == 410 ? 1 : 0;
                       refused += aResponse.m_status == 503 &&
                                      aResponse.m_retryAfterS > 0
                                    ? 1
                                    : 0;
                     });
    if (i % (kCancels / kSeconds) == 0) {
      m_loop.AdvanceBy(absl::Seconds(1));
      CHECK(First("DELETE", kAcmeKey) == 410);
    }
  }
  m_loop.AdvanceBy(absl::Seconds(3));
  CHECK(unknown + refused == kCancels);
  // A burst of 50 and 5 a second, over the 43 s of this test.
  CHECK(unknown <= 50 + 5 * 43);
  CHECK(unknown >= 50);
  CHECK(m_client.m_commitCount < unknown);
  CHECK(m_metrics.CounterValue("bramleystall_tombstones_stored_total", {}) ==
        static_cast<std::uint64_t>(unknown) + 1);
  m_handler.Handle({ "POST", "/q/00000000000f0000", "h", kBody, kAcmeKey },
                   [&](const ListenerResponse& aResponse) {
                     CHECK(aResponse.m_status == 200);
                   });
  m_loop.AdvanceBy(absl::Seconds(1));
  CHECK(m_store.Has(kKeys.Job("00000000000f0000")));
}

// Guards against a caller that is told by a 503 that its job never runs, while
// an earlier write of it at another daemon may still be applied.
TEST_CASE_METHOD(TwoDaemons,
                 "A job that another daemon refuses is not stored late",
                 "[front]")
{
  DelayNextCommit(*m_secondClient, absl::Milliseconds(5800));
  REQUIRE(Second("POST") == 504);
  m_store.Set(
    kKeys.Status(),
    EncodeShardStatus(
      { .m_capacity = 1, .m_memory = kMaxShardMemory, .m_sequence = 1 }));
  m_handler.Handle({ "GET", "/q/", "h", "", kAcmeKey },
                   [](const ListenerResponse&) {});
  m_loop.AdvanceBy(absl::Milliseconds(100));
  const int status = First("POST");
  m_loop.AdvanceBy(kSettleTime);
  CHECK((status == 503 && HasJob()) == false);
}

namespace {

/** What the callers of one id were told, checked against what is stored. */
class IdHistory
{
public:
  explicit IdHistory(const FakeStore& aStore)
    : m_store(aStore)
  {
  }

  void OnResponse(const std::string& aMethod,
                  const std::string& aTenant,
                  int aStatus)
  {
    if (aMethod == "DELETE" && (aStatus == 200 || aStatus == 410)) {
      m_cancelledBy.insert(aTenant);
    }
    if (aMethod == "POST" && aStatus == 200) {
      INFO("accepted for " << aTenant);
      CHECK(StoredTenant() == aTenant);
    }
    Check();
  }

  /** A scheduler would start a job that has a record and no cancel. */
  void Check() const
  {
    if (!m_store.Has(kKeys.Cancel(kId))) {
      CHECK_FALSE(m_cancelledBy.contains(StoredTenant()));
    }
  }

private:
  /** Tenant of the stored job; empty if there is none. */
  std::string StoredTenant() const
  {
    const std::string record = m_store.Value(kKeys.Job(kId));
    return record.empty() ? "" : DecodeJobRecord(kId, record).m_tenant;
  }

  const FakeStore& m_store;
  std::set<std::string> m_cancelledBy;
};

}

// Guards against any order of submissions and cancels after which a cancelled
// job is stored, or an accepted one is not, while the store applies writes late
// or loses responses (rules UNASKED and LOST, review case 14).
TEST_CASE("A cancelled job is not stored in any order of the writes", "[front]")
{
  const int seed = GENERATE(range(1, 301));
  CAPTURE(seed);
  TwoDaemons daemons;
  std::mt19937_64 random(static_cast<std::uint64_t>(seed));
  const auto draw = [&random](int aBelow) {
    return static_cast<int>(random() % static_cast<unsigned>(aBelow));
  };
  const auto injectFault =
    [&](const StoreTransaction&) -> std::optional<absl::Duration> {
    constexpr int kMaxLatenessMs = 6000;
    if (draw(3) > 0) {
      return std::nullopt;
    }
    return draw(4) > 0 ? absl::Milliseconds(draw(kMaxLatenessMs))
                       : absl::InfiniteDuration();
  };
  struct Caller
  {
    std::string m_tenant;
    std::string m_key;
  };
  const std::array<Caller, 2> callers = { { { "acme", kAcmeKey },
                                            { "zest", kZestKey } } };
  const std::array<std::string, 3> methods = { "POST", "DELETE", "GET" };
  IdHistory history(daemons.m_store);
  for (int i = 0; i < 25; ++i) {
    daemons.m_client.m_commitLateness = injectFault;
    daemons.m_secondClient->m_commitLateness = injectFault;
    daemons.m_client.m_areConflictValuesCut = draw(2) == 0;
    const Caller& caller = callers[draw(4) == 0 ? 1 : 0];
    const std::string& method = methods[draw(3)];
    JobRequestHandler& handler =
      draw(2) == 0 ? daemons.m_handler : *daemons.m_second;
    handler.Handle(
      { method, kJob, "h", method == "POST" ? kBody : "", caller.m_key },
      [&history, &method, &caller](const ListenerResponse& aResponse) {
        history.OnResponse(method, caller.m_tenant, aResponse.m_status);
      });
    const int steps = draw(4) == 0 ? draw(300) : draw(3);
    for (int step = 0; step < steps; ++step) {
      daemons.m_loop.AdvanceBy(absl::Milliseconds(5));
      history.Check();
    }
    if (draw(10) == 0) {
      daemons.Restart();
    }
  }
  for (int step = 0; step < 100; ++step) {
    daemons.m_loop.AdvanceBy(kSettleTime / 100);
    history.Check();
  }
}
