#include "jobs/job_codec.h"
#include "jobs/job_entry.h"
#include "scheduler/job_keys.h"
#include "scheduler/shard_status.h"
#include "tests/fakes/captured_log.h"
#include "tests/fakes/job_request_fixture.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <vector>

using namespace bramleystall;

namespace {

const std::string kId = "5c0e7a21d94b36f8";
const std::string kOtherId = "5c0e7a21d94b36f9";
const std::string kJob = "/q/" + kId;
const std::string kPublicJob = "/open/" + kId;
const std::string kBody = R"({"spec":"text","phases":[{"count":1,"cpu":500}]})";
const std::string kAcmeKey = "secret-of-acme";
const std::string kAcmeNewKey = "new-secret-of-acme";
const std::string kZestKey = "secret-of-zest";
const std::string kUnknownKey = "secret-of-nobody";
const keys::ShardKeys kKeys(0);

TenantSpec
MakeTenant(const std::string& aName, const std::vector<std::string>& aKeys)
{
  return { .m_name = aName, .m_apiKeys = aKeys, .m_weight = 1 };
}

/** A deployment with the tenants acme and zest, and a public queue at h/open/.
 */
struct TenantFixture : JobRequestFixture
{
  TenantFixture()
  {
    QueueSpec open = m_configuration->m_queues.front();
    open.m_name = "open";
    open.m_prefix = "/open/";
    open.m_isPublic = true;
    m_configuration->m_queues.push_back(open);
    SetTenants(
      { MakeTenant("acme", { kAcmeKey }), MakeTenant("zest", { kZestKey }) });
  }

  void SetTenants(const std::vector<TenantSpec>& aTenants)
  {
    m_configuration->m_tenants = TenantDirectory(aTenants);
  }

  int Status(const std::string& aMethod,
             const std::string& aPath,
             const std::string& aApiKey)
  {
    return Send(aMethod, aPath, aMethod == "POST" ? kBody : "", aApiKey)
      .m_status;
  }

  JobEntry Entry() const
  {
    const auto entry = DecodeJobEntry(m_store.Value(kKeys.Entry(kId)));
    REQUIRE(entry);
    return *entry;
  }

  std::uint64_t Refusals(const MetricLabels& aLabels) const
  {
    return m_metrics.CounterValue("bramleystall_job_refusals_total", aLabels);
  }

  const CapturedLog m_log;
};

}

// Guards against requests with a key that no configuration holds, or with a
// revoked one, that are run, and against store calls that such callers cause
// (rule R1).
TEST_CASE_METHOD(TenantFixture,
                 "A request without a known key gets 401 and no store call",
                 "[tenants]")
{
  SetTenants({ MakeTenant("acme", { kAcmeNewKey }) });
  // The second key was revoked; the last two are not quite the new key.
  for (const std::string& key : std::vector<std::string>{
         "", kAcmeKey, kUnknownKey, "new-secret-of-acm", kAcmeNewKey + " " }) {
    CAPTURE(key);
    CHECK(Status("POST", kJob, key) == 401);
    CHECK(Status("GET", kJob, key) == 401);
    CHECK(Status("DELETE", kJob, key) == 401);
    CHECK(Status("GET", "/q/", key) == 401);
    CHECK(Status("PUT", "/q/short", key) == 401);
  }
  CHECK(m_client.m_callCount == 0);
  CHECK(Refusals({ { "reason", "missing_key" } }) == 5);
  CHECK(Refusals({ { "reason", "unknown_key" } }) == 20);
  CHECK(Status("GET", "/other/", "") == 404);
  CHECK(Status("POST", kJob, kAcmeNewKey) == 200);
}

// Guards against a log that untrusted callers fill.
TEST_CASE_METHOD(TenantFixture,
                 "Refusals for a key are logged once a second",
                 "[tenants]")
{
  for (int i = 0; i < 100; ++i) {
    m_handler.Handle({ "POST", kJob, "h", kBody, kUnknownKey },
                     [](const ListenerResponse&) {});
  }
  m_loop.AdvanceBy(absl::Seconds(1));
  m_handler.Handle({ "POST", kJob, "h", kBody, kUnknownKey },
                   [](const ListenerResponse&) {});
  const std::string text = m_log.Text();
  CHECK(std::ranges::count(text, '\n') == 2);
  CHECK(text.find("reason=unknown_key status=401 count=100") !=
        std::string::npos);
}

// Guards against an accepted job that is stored without its tenant.
TEST_CASE_METHOD(TenantFixture,
                 "A job keeps the tenant that submitted it",
                 "[tenants]")
{
  REQUIRE(Status("POST", kJob, kAcmeKey) == 200);
  CHECK(Entry().m_tenant == "acme");
  const JobRecord record = DecodeJobRecord(kId, m_store.Value(kKeys.Job(kId)));
  CHECK(record.m_tenant == "acme");
  CHECK(m_metrics.CounterValue("bramleystall_jobs_accepted_total",
                               { { "how", "stored" }, { "tenant", "acme" } }) ==
        1);
}

// Guards against ids of a tenant that another one can probe, read or cancel.
TEST_CASE_METHOD(TenantFixture,
                 "A job of another tenant looks like no job",
                 "[tenants]")
{
  REQUIRE(Status("POST", kJob, kAcmeKey) == 200);
  for (const char* method : { "GET", "DELETE" }) {
    const ListenerResponse foreign = Send(method, kJob, "", kZestKey);
    const ListenerResponse none = Send(method, "/q/" + kOtherId, "", kZestKey);
    CHECK(foreign.m_status == 410);
    CHECK(foreign.m_body == none.m_body);
    // The public queue shows no more of it.
    CHECK(Send(method, kPublicJob).m_status == 410);
    CHECK(Status(method, kPublicJob, kZestKey) == 410);
  }
  CHECK_FALSE(m_store.Has(kKeys.Cancel(kId)));
  CHECK(Status("GET", kJob, kAcmeKey) == 200);
  CHECK(Status("DELETE", kJob, kAcmeKey) == 200);
  m_store.Set(kKeys.Entry(kId),
              EncodeJobEntry(
                { .m_finalState = JobState::Completed, .m_tenant = "acme" }));
  CHECK(Status("GET", kJob, kZestKey) == 410);
  CHECK(Status("GET", kJob, kAcmeKey) == 200);
}

// Guards against a caller that is told that its job was accepted, while the id
// is another tenant's job, on each way on which a stored job is found.
TEST_CASE_METHOD(TenantFixture,
                 "An id of another tenant's job gets 409",
                 "[tenants]")
{
  REQUIRE(Status("POST", kJob, kAcmeKey) == 200);
  const std::string record = m_store.Value(kKeys.Job(kId));
  CHECK(Status("POST", kJob, kZestKey) == 409);
  CHECK(Status("POST", kPublicJob, "") == 409);
  m_client.m_lostCommitResponses = 1;
  CHECK(Status("POST", kJob, kZestKey) == 409);
  m_client.m_lostCommitResponses = 1;
  CHECK(Status("POST", kJob, kAcmeKey) == 200);
  m_store.Set(
    kKeys.Status(),
    EncodeShardStatus(
      { .m_capacity = 1, .m_memory = kMaxShardMemory, .m_sequence = 1 }));
  REQUIRE(Status("GET", "/q/", kZestKey) == 200);
  CHECK(Status("POST", kJob, kZestKey) == 409);
  CHECK(Status("POST", kJob, kAcmeKey) == 200);
  CHECK(m_store.Value(kKeys.Job(kId)) == record);
  CHECK(Refusals(
          { { "reason", "id_of_other_tenant" }, { "tenant", "zest" } }) == 3);
}

// Guards against a tenant that loses its jobs when it rotates its keys.
TEST_CASE_METHOD(TenantFixture, "A job outlives its key", "[tenants]")
{
  REQUIRE(Status("POST", kJob, kAcmeKey) == 200);
  SetTenants(
    { MakeTenant("zest", { kZestKey }), MakeTenant("acme", { kAcmeNewKey }) });
  CHECK(Status("GET", kJob, kAcmeKey) == 401);
  CHECK(Status("GET", kJob, kAcmeNewKey) == 200);
  CHECK(Status("POST", kJob, kAcmeNewKey) == 200);
  // A removed tenant's job stays stored and closed to others.
  SetTenants({ MakeTenant("zest", { kZestKey }) });
  CHECK(Status("GET", kJob, kAcmeNewKey) == 401);
  CHECK(Status("GET", kJob, kZestKey) == 410);
  CHECK(m_store.Has(kKeys.Job(kId)));
}

// Guards against callers of a public queue that need a key, and against jobs
// that they cannot ask for without the key that they submitted them with.
TEST_CASE_METHOD(TenantFixture, "A public queue needs no key", "[tenants]")
{
  const auto key =
    GENERATE(as<std::string>{}, "secret-of-acme", "secret-of-nobody", "");
  CAPTURE(key);
  REQUIRE(Status("POST", kPublicJob, key) == 200);
  const JobRecord record = DecodeJobRecord(kId, m_store.Value(kKeys.Job(kId)));
  CHECK(record.m_tenant == (key == kAcmeKey ? "acme" : ""));
  CHECK(Entry().m_tenant.empty());
  CHECK(TenantOfEntry(record).empty());
  CHECK(Status("POST", kPublicJob, "") == 200);
  CHECK(Status("GET", "/open/", "") == 200);
  CHECK(Status("GET", kPublicJob, "") == 200);
  CHECK(Status("GET", kPublicJob, kZestKey) == 200);
  CHECK(Status("DELETE", kPublicJob, kUnknownKey) == 200);
  // It is the job's queue that is public, not its id elsewhere.
  CHECK(Status("GET", kJob, "") == 401);
}

// Guards against an accepted job that can never run, and against a refused one
// that is stored (rules R2 and R5).
TEST_CASE_METHOD(TenantFixture,
                 "A job above its tenant's whole cap gets 400",
                 "[tenants]")
{
  REQUIRE(Status("POST", kJob, kAcmeKey) == 200);
  TenantSpec acme = MakeTenant("acme", { kAcmeKey });
  acme.m_cap.m_cpu = 499;
  SetTenants({ acme, MakeTenant("zest", { kZestKey }) });
  const ListenerResponse response =
    Send("POST", "/q/" + kOtherId, kBody, kAcmeKey);
  CHECK(response.m_status == 400);
  CHECK(
    response.m_body ==
    R"({"detail":"step 0: 1 task with cpu 500 each; the tenant's cap is 499","error":"step_exceeds_cap"})");
  CHECK_FALSE(m_store.Has(kKeys.Entry(kOtherId)));
  CHECK_FALSE(m_store.Has(kKeys.Job(kOtherId)));
  // A job that was accepted under another cap is still known.
  CHECK(Status("POST", kJob, kAcmeKey) == 200);
  CHECK(Status("POST", "/q/" + kOtherId, kZestKey) == 200);
}

// Guards against deployments without tenants that are served differently.
TEST_CASE_METHOD(TenantFixture,
                 "Without tenants a key has no effect",
                 "[tenants]")
{
  m_configuration->m_tenants.reset();
  for (const std::string& key : { std::string(), kUnknownKey }) {
    CHECK(Status("POST", kJob, key) == 200);
    CHECK(Status("GET", kJob, key) == 200);
    CHECK(Status("GET", "/q/", key) == 200);
    CHECK(Status("DELETE", kJob, key) == 200);
  }
  CHECK(m_store.Value(kKeys.Entry(kId)) == R"({"shard":0})");
  CHECK(m_metrics.CounterValue("bramleystall_jobs_accepted_total",
                               { { "how", "stored" } }) == 1);
  CHECK(m_log.Text().find("tenant") == std::string::npos);
}

// Guards against a list of tenants that lets everyone in because it is empty.
TEST_CASE_METHOD(TenantFixture,
                 "With an empty list of tenants no key is known",
                 "[tenants]")
{
  SetTenants({});
  CHECK(Status("POST", kJob, "") == 401);
  CHECK(Status("POST", kJob, kAcmeKey) == 401);
  CHECK(Status("POST", kPublicJob, kAcmeKey) == 200);
}

// Guards against keys in what operators see and in what is stored.
TEST_CASE_METHOD(TenantFixture,
                 "No key is logged, counted, stored or returned",
                 "[tenants]")
{
  std::string seen;
  for (const std::string& key : { kAcmeKey, kZestKey, kUnknownKey }) {
    for (const char* method : { "POST", "GET", "DELETE", "PUT" }) {
      for (const std::string& path :
           { kJob, kPublicJob, std::string("/q/"), "/q/" + key }) {
        seen += Send(method, path, "{\"spec\":\"" + key, key).m_body;
        seen += Send(method, path, kBody, key).m_body;
      }
    }
  }
  absl::StrAppend(&seen,
                  m_log.Text(),
                  m_metrics.Render(),
                  m_store.Value(kKeys.Job(kId)),
                  m_store.Value(kKeys.Entry(kId)));
  CHECK(seen.find("job accepted") != std::string::npos);
  CHECK(seen.find("tenant=acme") != std::string::npos);
  CHECK(seen.find("secret") == std::string::npos);
}

// Guards against a known job that is reported as refused although it runs
// (rule R5).
TEST_CASE_METHOD(TenantFixture,
                 "A refusal is certain only if the job cannot be stored",
                 "[tenants]")
{
  REQUIRE(Status("POST", kJob, kAcmeKey) == 200);
  TenantSpec acme = MakeTenant("acme", { kAcmeKey });
  acme.m_cap.m_cpu = 499;
  SetTenants({ acme });
  m_client.m_isRefusing = true;
  CHECK(Status("POST", kJob, kAcmeKey) == 504);
  m_client.m_isRefusing = false;
  CHECK(Status("POST", kJob, kAcmeKey) == 200);
  CHECK(Status("POST", "/q/" + kOtherId, kAcmeKey) == 400);
}

// Guards against a refusal while an earlier attempt of the same job is queued
// or in a commit that the store may still carry out (rule R5).
TEST_CASE_METHOD(TenantFixture,
                 "A repeated job is not refused while its commit is open",
                 "[tenants]")
{
  TenantSpec limited = MakeTenant("acme", { kAcmeKey });
  limited.m_cap.m_cpu = 499;
  m_client.m_isCommitStalled = [](const StoreTransaction&) { return true; };
  m_handler.Handle({ "POST", kJob, "h", kBody, kAcmeKey },
                   [](const ListenerResponse&) {});
  SetTenants({ limited });
  CHECK(Status("POST", kJob, kAcmeKey) == 504);
  CHECK(Status("POST", "/q/" + kOtherId, kAcmeKey) == 400);
  m_client.m_isCommitStalled = nullptr;
  // Once a submission has its outcome, a later one may be refused.
  SetTenants({ MakeTenant("acme", { kAcmeKey }) });
  m_client.m_isRefusing = true;
  CHECK(Status("POST", "/q/" + kOtherId, kAcmeKey) == 503);
  m_client.m_isRefusing = false;
  m_client.m_isPartitioned = true;
  CHECK(Status("POST", "/q/" + kOtherId, kAcmeKey) == 504);
  m_client.m_isPartitioned = false;
  SetTenants({ limited });
  CHECK(Status("POST", "/q/" + kOtherId, kAcmeKey) == 400);
}

// Guards against an id that is taken as the caller's own because the entry
// could not be read or the conflict did not carry it.
TEST_CASE_METHOD(TenantFixture,
                 "A job is accepted as known only with its entry",
                 "[tenants]")
{
  REQUIRE(Status("POST", kJob, kAcmeKey) == 200);
  m_client.m_areConflictValuesCut = true;
  CHECK(Status("POST", kJob, kZestKey) == 409);
  CHECK(Status("POST", kJob, kAcmeKey) == 200);
  m_client.m_areConflictValuesCut = false;
  for (const char* entry : { "[]", R"({"shard":"x"})" }) {
    m_store.Set(kKeys.Entry(kId), entry);
    CHECK(Status("POST", kJob, kZestKey) == 504);
    CHECK(Status("POST", kJob, kAcmeKey) == 504);
  }
  CHECK(m_log.Text().find("cannot parse the stored entry") !=
        std::string::npos);
}

// Guards against a log that callers of a public queue fill.
TEST_CASE_METHOD(
  TenantFixture,
  "Refusals of callers without a tenant are logged once a second",
  "[tenants]")
{
  for (int i = 0; i < 100; ++i) {
    m_handler.Handle({ "POST", "/open/x", "h", kBody, "" },
                     [](const ListenerResponse&) {});
  }
  m_loop.AdvanceBy(absl::Seconds(1));
  m_handler.Handle({ "POST", "/open/x", "h", kBody, "" },
                   [](const ListenerResponse&) {});
  const std::string text = m_log.Text();
  CHECK(std::ranges::count(text, '\n') == 2);
  CHECK(text.find("reason=bad_job_id status=400 count=100") !=
        std::string::npos);
  CHECK(Refusals({ { "reason", "bad_job_id" } }) == 101);
  for (int i = 0; i < 100; ++i) {
    m_handler.Handle({ "POST", kPublicJob, "h", "{", "" },
                     [](const ListenerResponse&) {});
  }
  CHECK(std::ranges::count(m_log.Text(), '\n') == 4);
}
