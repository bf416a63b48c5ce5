#include "core/metrics.h"
#include "platform/wire_codec.h"
#include "scheduler/job_keys.h"
#include "server/job_front.h"
#include "tests/fakes/fake_store.h"

#include <boost/log/core.hpp>
#include <catch2/catch.hpp>

#include <optional>

using namespace bramleystall;

namespace {

const std::string kId = "5c0e7a21d94b36f8";
const std::string kBody = R"({"spec":"text","phases":[{"count":1}]})";

struct FrontFixture
{
  FrontFixture()
  {
    boost::log::core::get()->set_logging_enabled(false);
    QueueSpec queue;
    queue.m_name = "quotes";
    queue.m_host = "h";
    queue.m_prefix = "/q/";
    queue.m_pool = "counter";
    JobConfiguration configuration;
    configuration.m_queues = { queue };
    configuration.m_maxBodyBytes = 500;
    m_configuration = configuration;
  }
  ~FrontFixture() { boost::log::core::get()->set_logging_enabled(true); }

  /** Sends a request and returns the response once it has come. */
  ListenerResponse Send(const std::string& aMethod,
                        const std::string& aPath,
                        const std::string& aBody = "")
  {
    std::optional<ListenerResponse> response;
    m_front.Handle({ aMethod, aPath, "h", aBody },
                   [&response](ListenerResponse aResponse) {
                     response = std::move(aResponse);
                   });
    m_loop.AdvanceBy(absl::Seconds(3));
    REQUIRE(response);
    return *response;
  }

  EventLoop m_loop{ EventLoop::ClockMode::Simulated };
  FakeStore m_store{ m_loop };
  FakeStoreClient m_client{ m_loop, m_store };
  Metrics m_metrics;
  std::optional<JobConfiguration> m_configuration;
  JobFront m_front{ m_loop,
                    m_client,
                    m_metrics,
                    { .m_decodeJob = wire::DecodeSubmission,
                      .m_encodeState = wire::EncodeJobState,
                      .m_encodePending = wire::EncodePendingCount },
                    [this] {
                      return m_configuration ? &*m_configuration : nullptr;
                    } };
};

}

TEST_CASE_METHOD(FrontFixture, "An accepted job is stored", "[front]")
{
  REQUIRE(Send("POST", "/q/" + kId, kBody).m_status == 200);
  REQUIRE(m_store.Has(keys::JobKey(kId)));
  REQUIRE(Send("GET", "/q/" + kId).m_body == R"({"state":"queued"})");
  const std::string record = m_store.Value(keys::JobKey(kId));
  REQUIRE(Send("POST", "/q/" + kId, kBody).m_status == 200);
  REQUIRE(m_store.Value(keys::JobKey(kId)) == record);
}

// Guards against an acceptance or a refusal that is not certain.
TEST_CASE_METHOD(FrontFixture,
                 "A submission whose answer was lost is read back",
                 "[front]")
{
  m_client.m_lostCommitAnswers = 1;
  REQUIRE(Send("POST", "/q/" + kId, kBody).m_status == 200);
  m_client.m_isCut = true;
  REQUIRE(Send("POST", "/q/0000000000000001", kBody).m_status == 504);
  m_client.m_isCut = false;
  m_client.m_isRefusing = true;
  const ListenerResponse refused = Send("POST", "/q/0000000000000002", kBody);
  REQUIRE(refused.m_status == 503);
  REQUIRE(refused.m_retryAfterS > 0);
  REQUIRE_FALSE(m_store.Has(keys::JobKey("0000000000000002")));
}

TEST_CASE_METHOD(FrontFixture,
                 "A cancel is stored before its answer",
                 "[front]")
{
  REQUIRE(Send("DELETE", "/q/" + kId).m_status == 410);
  REQUIRE(Send("POST", "/q/" + kId, kBody).m_status == 200);
  REQUIRE(Send("DELETE", "/q/" + kId).m_status == 200);
  REQUIRE(m_store.Has(keys::CancelKey(kId)));
  REQUIRE(Send("DELETE", "/q/" + kId).m_status == 200);
}

TEST_CASE_METHOD(FrontFixture, "Bad requests get a clear answer", "[front]")
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

TEST_CASE_METHOD(FrontFixture, "A queue's waiting jobs are counted", "[front]")
{
  REQUIRE(Send("GET", "/q/").m_body == R"({"pending":0})");
  m_store.Set(keys::kPendingKey, R"({"quotes":12})");
  REQUIRE(Send("GET", "/q/").m_body == R"({"pending":12})");
}
