#include "jobs/job_entry.h"
#include "scheduler/job_keys.h"
#include "scheduler/shard_chooser.h"
#include "scheduler/shard_layout.h"
#include "scheduler/shard_status.h"
#include "tests/fakes/job_request_fixture.h"
#include "tests/fakes/quiet_log.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <numeric>

using namespace bramleystall;

namespace {

const std::string kId = "5c0e7a21d94b36f8";
const keys::ShardKeys kKeys(0);
const std::string kBody = R"({"spec":"text","phases":[{"count":1}]})";

struct QuietRequestFixture
  : QuietLog
  , JobRequestFixture
{};

}

// Guards against an accepted job that is not stored, and against a repeated
// submission that overwrites its record.
TEST_CASE_METHOD(QuietRequestFixture, "An accepted job is stored", "[front]")
{
  REQUIRE(Send("POST", "/q/" + kId, kBody).m_status == 200);
  REQUIRE(m_store.Has(kKeys.Job(kId)));
  REQUIRE(Send("GET", "/q/" + kId).m_body == R"({"state":"queued"})");
  const std::string record = m_store.Value(kKeys.Job(kId));
  REQUIRE(Send("POST", "/q/" + kId, kBody).m_status == 200);
  REQUIRE(m_store.Value(kKeys.Job(kId)) == record);
}

// Guards against a job being reported as accepted or refused while the outcome
// of its write is unknown, after the response of the store was lost.
TEST_CASE_METHOD(QuietRequestFixture,
                 "A submission whose commit response was lost is read back",
                 "[front]")
{
  m_client.m_lostCommitResponses = 1;
  REQUIRE(Send("POST", "/q/" + kId, kBody).m_status == 200);
  m_client.m_isPartitioned = true;
  REQUIRE(Send("POST", "/q/0000000000000001", kBody).m_status == 504);
  m_client.m_isPartitioned = false;
  m_client.m_isRefusing = true;
  const ListenerResponse refused = Send("POST", "/q/0000000000000002", kBody);
  REQUIRE(refused.m_status == 503);
  REQUIRE(refused.m_retryAfterS > 0);
  REQUIRE_FALSE(m_store.Has(kKeys.Job("0000000000000002")));
}

// Guards against a cancellation that is confirmed but not stored.
TEST_CASE_METHOD(QuietRequestFixture,
                 "A cancel is stored before its response",
                 "[front]")
{
  const std::string unknown = "/q/0000000000000001";
  REQUIRE(Send("DELETE", unknown).m_status == 410);
  REQUIRE(Send("POST", unknown, kBody).m_status == 409);
  REQUIRE_FALSE(m_store.Has(kKeys.Job("0000000000000001")));
  REQUIRE(Send("POST", "/q/" + kId, kBody).m_status == 200);
  REQUIRE(Send("DELETE", "/q/" + kId).m_status == 200);
  REQUIRE(m_store.Has(kKeys.Cancel(kId)));
  REQUIRE(Send("DELETE", "/q/" + kId).m_status == 200);
}

// Guards against a cancel that is stored, but reported as unknown, after the
// response of the store was lost.
TEST_CASE_METHOD(QuietRequestFixture,
                 "A cancel whose commit response was lost is read back",
                 "[front]")
{
  REQUIRE(Send("POST", "/q/" + kId, kBody).m_status == 200);
  m_client.m_lostCommitResponses = 1;
  REQUIRE(Send("DELETE", "/q/" + kId).m_status == 200);
  REQUIRE(m_store.Has(kKeys.Cancel(kId)));
}

// Guards against a job that is unknown or runs again once its record was
// removed at its end.
TEST_CASE_METHOD(QuietRequestFixture,
                 "An ended job keeps its state and its id",
                 "[front]")
{
  REQUIRE(Send("POST", "/q/" + kId, kBody).m_status == 200);
  m_store.Remove(kKeys.Job(kId));
  m_store.Set(kKeys.Entry(kId),
              EncodeJobEntry({ .m_finalState = JobState::Completed }));
  REQUIRE(Send("GET", "/q/" + kId).m_body == R"({"state":"completed"})");
  REQUIRE(Send("POST", "/q/" + kId, kBody).m_status == 200);
  REQUIRE_FALSE(m_store.Has(kKeys.Job(kId)));
  REQUIRE(Send("DELETE", "/q/" + kId).m_status == 200);
  REQUIRE_FALSE(m_store.Has(kKeys.Cancel(kId)));
  REQUIRE(Send("GET", "/q/" + kId).m_body == R"({"state":"completed"})");
}

// Guards against a malformed stored document that ends the process or is shown
// as a state.
TEST_CASE_METHOD(QuietRequestFixture,
                 "An unreadable document of a job is refused",
                 "[front]")
{
  REQUIRE(Send("POST", "/q/" + kId, kBody).m_status == 200);
  for (const char* progress : { "", "[]", R"({"state":5})", "\xff" }) {
    m_store.Set(kKeys.Progress(kId), progress);
    REQUIRE(Send("GET", "/q/" + kId).m_status == 503);
  }
  for (const char* entry :
       { "", "[]", R"({"shard":"x"})", R"({"shard":0,"state":"odd"})" }) {
    m_store.Set(kKeys.Entry(kId), entry);
    REQUIRE(Send("GET", "/q/" + kId).m_status == 503);
    REQUIRE(Send("DELETE", "/q/" + kId).m_status == 503);
  }
  m_store.Set(kKeys.Status(), R"({"pending":{"quotes":"many"}})");
  REQUIRE(Send("GET", "/q/").m_body == R"({"pending":0})");
}

// Guards against an invalid request that is accepted or gets the status of
// another error.
TEST_CASE_METHOD(QuietRequestFixture,
                 "Invalid requests get a specific status",
                 "[front]")
{
  REQUIRE(Send("GET", "/q/" + kId).m_status == 410);
  REQUIRE(Send("GET", "/other/" + kId).m_status == 404);
  REQUIRE(Send("POST", "/q/short", kBody).m_status == 400);
  REQUIRE(Send("POST", "/q/" + kId, "{").m_status == 400);
  REQUIRE(Send("PUT", "/q/" + kId, kBody).m_status == 405);
  REQUIRE(Send("POST", "/q/" + kId, std::string(600, ' ')).m_status == 413);
  m_configuration.reset();
  REQUIRE(Send("POST", "/q/" + kId, kBody).m_status == 503);
}

// Guards against a long-running job that callers cannot query or cancel: its
// record is in the shard of its pool, not in the shard that its id maps to.
TEST_CASE_METHOD(QuietRequestFixture,
                 "A long-running job is found through its entry",
                 "[front]")
{
  std::vector<MachineEntry> machines(200);
  for (std::size_t i = 0; i < machines.size(); ++i) {
    machines[i].m_name = std::to_string(i);
    machines[i].m_pool = i % 2 == 0 ? "a" : "counter";
    machines[i].m_state = MachineState::Up;
  }
  m_layout = ShardLayout::Divide(machines, 0);
  REQUIRE(m_layout->Count() == 2);
  const int shard = m_layout->OfPool("counter");
  std::string id = kId;
  while (m_layout->OfJob(id) == shard) {
    id.back() = static_cast<char>(id.back() == '9' ? '0' : id.back() + 1);
  }
  const std::string body =
    R"({"spec":"text","phases":[{"count":1,"long_running":true}]})";
  const keys::ShardKeys keys(shard);
  const keys::ShardKeys first(m_layout->OfJob(id));
  REQUIRE(Send("POST", "/q/" + id, body).m_status == 200);
  REQUIRE(m_store.Has(keys.Job(id)));
  REQUIRE(m_store.Has(first.Entry(id)));
  REQUIRE_FALSE(m_store.Has(first.Job(id)));
  REQUIRE(Send("GET", "/q/" + id).m_body == R"({"state":"queued"})");
  m_store.Set(keys.Progress(id), R"({"state":"running"})");
  REQUIRE(Send("GET", "/q/" + id).m_body == R"({"state":"running"})");
  // A repeated submission stores no second job, even if its queue now has
  // another pool.
  m_configuration->m_queues.front().m_pool = "a";
  REQUIRE(Send("POST", "/q/" + id, body).m_status == 200);
  REQUIRE_FALSE(
    m_store.Has(keys::ShardKeys(m_layout->OfPool("a")).Job(id) + "/cancel"));
  REQUIRE(Send("DELETE", "/q/" + id).m_status == 200);
  REQUIRE(m_store.Has(keys.Cancel(id)));
  REQUIRE_FALSE(m_store.Has(first.Cancel(id)));
}

// Guards against a count that omits the jobs of a shard or includes the jobs of
// another queue.
TEST_CASE_METHOD(QuietRequestFixture,
                 "A queue's waiting jobs are counted",
                 "[front]")
{
  REQUIRE(Send("GET", "/q/").m_body == R"({"pending":0})");
  m_store.Set(kKeys.Status(),
              EncodeShardStatus({ .m_pending = { { "quotes", 12 } } }));
  m_store.Set(
    keys::ShardKeys(1).Status(),
    EncodeShardStatus({ .m_pending = { { "quotes", 3 }, { "other", 1 } } }));
  m_loop.AdvanceBy(absl::Seconds(1));
  REQUIRE(Send("GET", "/q/").m_body == R"({"pending":15})");
}

// Guards against a job that is stored in the wrong shard because the layout is
// not known yet.
TEST_CASE_METHOD(QuietRequestFixture,
                 "No job is accepted before the layout is known",
                 "[front]")
{
  m_layout.reset();
  REQUIRE(Send("POST", "/q/" + kId, kBody).m_status == 503);
  REQUIRE_FALSE(m_store.Has(kKeys.Job(kId)));
}

// Guards against accepting jobs that take more memory than the owner of their
// shard has, and against denying one that was accepted (rule LOST, review/7).
TEST_CASE_METHOD(QuietRequestFixture,
                 "A job for a shard without memory is refused unless stored",
                 "[front]")
{
  const std::string other = "5c0e7a21d94b36f9";
  REQUIRE(Send("POST", "/q/" + kId, kBody).m_status == 200);
  m_store.Set(
    kKeys.Status(),
    EncodeShardStatus(
      { .m_capacity = 1, .m_memory = kMaxShardMemory, .m_sequence = 1 }));
  REQUIRE(Send("GET", "/q/").m_status == 200);
  const ListenerResponse response = Send("POST", "/q/" + other, kBody);
  CHECK(response.m_status == 503);
  CHECK(response.m_retryAfterS > 0);
  CHECK_FALSE(m_store.Has(kKeys.Job(other)));
  CHECK(Send("POST", "/q/" + kId, kBody).m_status == 200);
  m_store.Set(kKeys.Status(),
              EncodeShardStatus({ .m_capacity = 1, .m_sequence = 2 }));
  Send("POST", "/q/" + other, kBody);
  CHECK(Send("POST", "/q/" + other, kBody).m_status == 200);
}

// Guards against commits of large jobs that take longer than the store client
// waits, and against the memory of their copies.
TEST_CASE_METHOD(QuietRequestFixture,
                 "A commit has a bounded number of bytes",
                 "[front]")
{
  constexpr std::size_t kMaxCommitBytes = 256 * 1024;
  constexpr int kJobs = 12;
  m_configuration->m_maxBodyBytes = kMaxCommitBytes;
  std::size_t largest = 0;
  m_client.m_isCommitStalled = [&largest](const StoreTransaction& aCommit) {
    const std::size_t bytes =
      std::accumulate(aCommit.m_puts.begin(),
                      aCommit.m_puts.end(),
                      std::size_t{ 0 },
                      [](std::size_t aSum, const StorePut& aPut) {
                        return aSum + aPut.m_value.size();
                      });
    largest = std::max(largest, bytes);
    return false;
  };
  const std::string body =
    R"({"phases":[{"count":1,"image":")" + std::string(60'000, 'x') + "\"}]}";
  int accepted = 0;
  for (int i = 0; i < kJobs; ++i) {
    m_handler.Handle(
      { "POST", absl::StrCat("/q/00000000000001", 10 + i), "h", body },
      [&accepted](const ListenerResponse& aResponse) {
        accepted += aResponse.m_status == 200 ? 1 : 0;
      });
  }
  m_loop.AdvanceBy(absl::Seconds(3));
  CHECK(accepted == kJobs);
  CHECK(largest > 0);
  CHECK(largest <= kMaxCommitBytes);
}

// Guards against a few clients with large jobs that keep out all others, and
// against a limit that does not follow the memory of the shard's owner.
TEST_CASE_METHOD(QuietRequestFixture,
                 "Large jobs leave memory of the shard to small ones",
                 "[front]")
{
  constexpr std::int64_t kLimit = 1024 * 1024;
  m_configuration->m_maxBodyBytes = kLimit;
  m_store.Set(kKeys.Status(),
              EncodeShardStatus({ .m_capacity = 1,
                                  .m_memory = kLimit / 2,
                                  .m_memoryLimit = kLimit,
                                  .m_sequence = 1 }));
  REQUIRE(Send("GET", "/q/").m_status == 200);
  const std::string large =
    R"({"phases":[{"count":1,"image":")" + std::string(300'000, 'x') + "\"}]}";
  CHECK(Send("POST", "/q/" + kId, large).m_status == 503);
  CHECK(Send("POST", "/q/" + kId, kBody).m_status == 200);
}
