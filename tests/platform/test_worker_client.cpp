#include "net/event_loop.h"
#include "net/http_fetcher.h"
#include "platform/worker_client.h"
#include "tests/fakes/closing_server.h"
#include "tests/fakes/fake_target.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>

using namespace bramleystall;

namespace {

OrderResult
StartOn(const std::string& aBody, int aStatus = 200)
{
  FakeTarget server;
  server.SetBody(aBody);
  server.SetStatus(aStatus);
  EventLoop loop;
  HttpFetcher fetcher(loop, 1);
  WorkerClient client(fetcher, fetcher, "");
  std::optional<OrderResult> result;
  client.Start({ .m_workerId = "w", .m_address = server.Address() },
               { .m_task = "job.0.0.0", .m_attempt = 1 },
               [&](const OrderResult& aResult) {
                 result = aResult;
                 loop.Stop();
               });
  loop.After(absl::Seconds(5), [&loop] { loop.Stop(); });
  loop.Run();
  REQUIRE(result);
  return *result;
}

}

// Guards against a second run of a task whose worker started it and then failed
// to answer properly.
TEST_CASE("A status outside the protocol leaves the outcome unknown",
          "[worker_client]")
{
  for (const int status : { 500, 502, 504 }) {
    INFO(status);
    REQUIRE(StartOn("{}", status).m_outcome == OrderOutcome::Unknown);
  }
  REQUIRE(StartOn(R"({"reason":"room"})", 409).m_outcome ==
          OrderOutcome::NoRoom);
  REQUIRE(StartOn("", 503).m_outcome == OrderOutcome::Busy);
}

// Guards against a malformed response that ends the process.
TEST_CASE("A response with fields of other types is read without them",
          "[worker_client]")
{
  const OrderResult started = StartOn(R"({"clock_ms":"late"})");
  REQUIRE(started.m_outcome == OrderOutcome::Accepted);
  REQUIRE(started.m_workerClockMs == 0);
  REQUIRE(StartOn(R"({"reason":7})", 409).m_outcome == OrderOutcome::Invalid);
  REQUIRE(StartOn("[", 409).m_outcome == OrderOutcome::Invalid);
}

// Guards against a renewal that is sent again to the next incarnation of its
// worker, whose ends it drops (rule TWICE).
TEST_CASE("A renewal with recorded ends is sent once", "[worker_client]")
{
  ClosingServer server;
  WorkerClient client(server.Fetcher(), server.Fetcher(), "");
  const auto result =
    server.Call<LeaseOrderResult>([&](WorkerGateway::LeaseCallback aCallback) {
      client.RenewLease({ .m_workerId = "w", .m_address = server.Address() },
                        { .m_fencingToken = 1, .m_lastRecordedEnd = 5 },
                        std::move(aCallback));
    });
  REQUIRE(result.m_outcome == OrderOutcome::Unknown);
  REQUIRE(server.RequestCount() == 1);
}

// Guards against a second run of a task whose worker started it, closed the
// connection and refused a second sending of the order (rule TWICE).
TEST_CASE("A start whose connection is closed has an unknown outcome",
          "[worker_client]")
{
  ClosingServer server;
  WorkerClient client(server.Fetcher(), server.Fetcher(), "");
  const auto result =
    server.Call<OrderResult>([&](WorkerGateway::OrderCallback aCallback) {
      client.Start({ .m_workerId = "w", .m_address = server.Address() },
                   { .m_task = "job.0.0.0", .m_attempt = 1 },
                   std::move(aCallback));
    });
  REQUIRE(result.m_outcome == OrderOutcome::Unknown);
  REQUIRE(server.RequestCount() == 1);
}
