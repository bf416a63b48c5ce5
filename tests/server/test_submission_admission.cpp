#include "core/metrics.h"
#include "platform/wire_codec.h"
#include "scheduler/job_keys.h"
#include "scheduler/shard_layout.h"
#include "scheduler/shard_status.h"
#include "server/job_request_handler.h"
#include "tests/fakes/fake_store.h"
#include "tests/fakes/quiet_log.h"

#include <catch2/catch.hpp>

#include <map>
#include <optional>
#include <string>

using namespace bramleystall;

namespace {

const std::string kId = "5c0e7a21d94b36f8";
const std::string kOther = "5c0e7a21d94b36f9";
const keys::ShardKeys kKeys(0);
const std::string kBody = R"({"spec":"text","phases":[{"count":1}]})";

/** A handler whose only shard has a pool that is minutes behind. */
struct AdmissionFixture
{
  AdmissionFixture()
  {
    QueueSpec queue;
    queue.m_name = "quotes";
    queue.m_host = "h";
    queue.m_prefix = "/q/";
    queue.m_pool = "counter";
    queue.m_objectiveSlackMs = 1000;
    queue.m_isPublic = true;
    JobConfiguration configuration;
    configuration.m_queues = { queue };
    configuration.m_tenants =
      TenantDirectory({ { .m_name = "a", .m_weight = 5 } });
    m_configuration = configuration;
  }

  /** Publishes the status, and has the handler read it. */
  void Publish(double aWaiting)
  {
    ShardStatus status{ .m_capacity = 10, .m_sequence = ++m_sequence };
    status.m_published =
      PublishedLoad{ .m_machines = 10, .m_runTimes = m_runTimes };
    PublishedPool& pool = status.m_published->m_pools["counter"];
    pool.m_machines = 10;
    pool.m_waiting = { { 0, 250, aWaiting } };
    pool.m_tenants[""] = { .m_waiting = aWaiting };
    m_store.Set(kKeys.Status(), EncodeShardStatus(status));
    m_loop.AdvanceBy(absl::Seconds(1));
    Send("GET", "", "");
  }

  ListenerResponse Send(const std::string& aMethod,
                        const std::string& aId,
                        const std::string& aBody = kBody)
  {
    std::optional<ListenerResponse> response;
    m_handler.Handle({ aMethod, "/q/" + aId, "h", aBody },
                     [&response](ListenerResponse aResponse) {
                       response = std::move(aResponse);
                     });
    for (int i = 0; i < 500 && !response; ++i) {
      m_loop.AdvanceBy(absl::Milliseconds(10));
    }
    REQUIRE(response);
    return *response;
  }

  std::uint64_t RefusalCount()
  {
    return m_metrics.CounterValue(
      "bramleystall_admission_refusals_total",
      { { "reason", "too_late" }, { "tenant", "none" } });
  }

  const QuietLog m_quiet;
  /** Learned run times that the owner publishes, in seconds. */
  std::map<std::string, double> m_runTimes{ { "quotes", 0.5 } };
  std::int64_t m_sequence = 0;
  EventLoop m_loop{ EventLoop::ClockMode::Simulated };
  FakeStore m_store{ m_loop };
  FakeStoreClient m_client{ m_loop, m_store };
  Metrics m_metrics;
  std::optional<JobConfiguration> m_configuration;
  ShardLayout m_layout;
  JobRequestHandler m_handler{ m_loop,
                               m_client,
                               m_metrics,
                               { .m_decodeJob = wire::DecodeSubmission,
                                 .m_encodeState = wire::EncodeJobState,
                                 .m_encodePending = wire::EncodePendingCount },
                               [this] { return &*m_configuration; },
                               [this] { return &m_layout; } };
};

}

// Guards against a job that is stored although it cannot be served, and against
// a refusal that does not say so, or when to come again.
TEST_CASE_METHOD(AdmissionFixture,
                 "A job that would be too late is refused before it is stored",
                 "[admission]")
{
  Publish(1000);
  const ListenerResponse response = Send("POST", kId);
  CHECK(response.m_status == 503);
  CHECK(response.m_body == R"({"error":"too_late"})");
  CHECK(response.m_retryAfterS >= 1);
  CHECK_FALSE(m_store.Has(kKeys.Job(kId)));
  CHECK(RefusalCount() == 1);
  Publish(0);
  CHECK(Send("POST", kId).m_status == 200);
}

// Guards against a refusal of a job that an earlier request has stored (R5).
TEST_CASE_METHOD(AdmissionFixture,
                 "A stored job is accepted again while others are refused",
                 "[admission]")
{
  REQUIRE(Send("POST", kId).m_status == 200);
  Publish(1000);
  CHECK(Send("POST", kOther).m_status == 503);
  CHECK(Send("POST", kId).m_status == 200);
  CHECK(RefusalCount() == 1);
}

// Guards against refusals by a view that is too old to tell anything.
TEST_CASE_METHOD(AdmissionFixture,
                 "Nothing is refused once the view is old",
                 "[admission]")
{
  Publish(1000);
  REQUIRE(Send("POST", kId).m_status == 503);
  m_loop.AdvanceBy(absl::Seconds(4));
  CHECK(Send("POST", kId).m_status == 200);
}

// Guards against refusals before anything was published, and without tenants.
TEST_CASE_METHOD(AdmissionFixture,
                 "Nothing is refused without a view or without tenants",
                 "[admission]")
{
  CHECK(Send("POST", kId).m_status == 200);
  m_configuration->m_tenants.reset();
  Publish(1000);
  CHECK(Send("POST", kOther).m_status == 200);
}

// Guards against a refusal by admission control while the store is away, when
// it is unknown whether the job is stored.
TEST_CASE_METHOD(AdmissionFixture,
                 "Admission control refuses nothing while the store is away",
                 "[admission]")
{
  Publish(1000);
  m_client.m_isPartitioned = true;
  CHECK(Send("POST", kId).m_body == R"({"error":"outcome_unknown"})");
  m_client.m_isPartitioned = false;
  Publish(1000);
  m_client.m_isRefusing = true;
  CHECK(Send("POST", kOther).m_body == R"({"error":"store_unavailable"})");
  CHECK(RefusalCount() == 0);
}

// Guards against refusals by a declared run time alone, for instance after a
// change of the owner: it is too inaccurate to tell what is too late.
TEST_CASE_METHOD(AdmissionFixture,
                 "A queue without a learned run time refuses nothing",
                 "[admission]")
{
  m_runTimes.clear();
  Publish(1000);
  CHECK(Send("POST", kId).m_status == 200);
}

// Guards against long-running and scheduled jobs, which have no such objective,
// that are refused because of the present load.
TEST_CASE_METHOD(AdmissionFixture,
                 "Long-running jobs are admitted",
                 "[admission]")
{
  Publish(1000);
  CHECK(Send("POST",
             kId,
             R"({"spec":"text","phases":[{"count":1,"long_running":true}]})")
          .m_status == 200);
}
