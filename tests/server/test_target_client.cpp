#include "server/target_client.h"
#include "tests/fakes/fake_target.h"
#include "tests/naive/reusing_client.h"

#include <catch2/catch.hpp>

#include <future>

using namespace bramleystall;

namespace {

/** Sends a request and waits for its result. */
TargetResult
SendAndWait(TargetClient& aClient,
            const FakeTarget& aTarget,
            const std::string& aId,
            bool aFresh,
            const std::string& aMethod = "POST")
{
  auto source = std::make_shared<HttpRequest>();
  source->m_body = "fee=5";
  TargetRequest request;
  request.m_address = aTarget.Address();
  request.m_method = aMethod;
  request.m_target = "/charge";
  request.m_headers = { { "X-Request-Id", aId } };
  request.m_source = aMethod == "POST" ? source : nullptr;
  request.m_timeout = absl::Milliseconds(500);
  request.m_usesFreshConnection = aFresh;
  std::promise<TargetResult> result;
  aClient.Send(std::move(request), [&result](TargetResult aResult) {
    result.set_value(std::move(aResult));
  });
  return result.get_future().get();
}

FakeBehaviour
CloseOnSecond(const FakeRequest& aRequest)
{
  return aRequest.m_numberOnConnection > 1 ? FakeBehaviour::ReadAndClose
                                           : FakeBehaviour::Respond;
}

}

// Guards against a request that is run twice (P5): libcurl resends it when a
// reused connection turns out to be closed. The naive client shows the fault.
TEST_CASE("A request on a closing connection runs twice only with the naive "
          "client",
          "[server]")
{
  FakeTarget target(CloseOnSecond);
  ReusingClient naive(target.Address());
  CHECK(naive.Post("/charge", "first", "fee=5") == 200);
  CHECK(naive.Post("/charge", "second", "fee=5") == 200);
  CHECK(target.RunCount("second") == 2);

  TargetClient client(8, 1000);
  client.Start();
  const bool fresh = GENERATE(true, false);
  CAPTURE(fresh);
  CHECK(SendAndWait(client, target, "a", fresh).m_failure ==
        AttemptFailure::None);
  const TargetResult second = SendAndWait(client, target, "b", fresh);
  CHECK(second.m_failure ==
        (fresh ? AttemptFailure::None : AttemptFailure::ConnectionClosed));
  CHECK(second.m_mayHaveBeenSent);
  CHECK(target.RunCount("b") == 1);
}

// Guards against an incomplete response being treated as complete (P3).
TEST_CASE("Only complete responses succeed", "[server]")
{
  const auto [behaviour, failure] =
    GENERATE(table<FakeBehaviour, AttemptFailure>({
      { FakeBehaviour::Respond, AttemptFailure::None },
      { FakeBehaviour::RespondChunked, AttemptFailure::None },
      { FakeBehaviour::Redirect, AttemptFailure::None },
      { FakeBehaviour::ReadAndClose, AttemptFailure::ConnectionClosed },
      { FakeBehaviour::Freeze, AttemptFailure::TimedOut },
      { FakeBehaviour::TruncateLength, AttemptFailure::ResponseTruncated },
      { FakeBehaviour::TruncateChunked, AttemptFailure::ResponseTruncated },
      { FakeBehaviour::TruncateHeaders, AttemptFailure::ResponseTruncated },
      { FakeBehaviour::CloseDelimited, AttemptFailure::ResponseTruncated },
    }));
  CAPTURE(static_cast<int>(behaviour));
  FakeTarget target(
    [chosen = behaviour](const FakeRequest&) { return chosen; });
  target.SetBody("0123456789");
  TargetClient client(8, 1000);
  client.Start();
  const TargetResult result = SendAndWait(client, target, "id", true);
  CHECK(result.m_failure == failure);
  CHECK(result.m_mayHaveBeenSent);
  CHECK(target.RunCount("id") == 1);
  if (behaviour == FakeBehaviour::Redirect) {
    CHECK(result.m_response.m_status == 302);
    CHECK(target.RunCount() == 1);
  } else if (failure == AttemptFailure::None) {
    CHECK(result.m_response.m_body == "0123456789");
  }
}

// Guards against a response to HEAD, which has no body, being treated as
// truncated.
TEST_CASE("A response to HEAD is complete without body", "[server]")
{
  FakeTarget target;
  TargetClient client(8, 1000);
  client.Start();
  const auto result = SendAndWait(client, target, "id", false, "HEAD");
  CHECK(result.m_failure == AttemptFailure::None);
  CHECK(result.m_response.m_status == 200);
  CHECK(result.m_response.m_body.empty());
}

// Guards against a large response of a target that exhausts the daemon's
// memory.
TEST_CASE("A response above the limit is dropped", "[server]")
{
  FakeTarget target;
  TargetClient client(8, 1000);
  client.Start();
  target.SetBody(std::string(1000, 'x'));
  CHECK(SendAndWait(client, target, "fits", true).m_failure ==
        AttemptFailure::None);
  target.SetBody(std::string(1001, 'x'));
  CHECK(SendAndWait(client, target, "large", true).m_failure ==
        AttemptFailure::ResponseTooLarge);
}

// Guards against a request being reported as possibly sent although the
// connection was refused, which would prevent a safe retry.
TEST_CASE("A refused connection sends nothing", "[server]")
{
  FakeTarget target;
  target.StopListening();
  TargetClient client(8, 1000);
  client.Start();
  const auto result = SendAndWait(client, target, "id", true);
  CHECK(result.m_failure == AttemptFailure::ConnectFailed);
  CHECK_FALSE(result.m_mayHaveBeenSent);
}

// Guards against more connections to a target than the limit of the daemon.
TEST_CASE("Connections to a target are bounded", "[server]")
{
  FakeTarget target;
  target.SetDelay(absl::Milliseconds(20));
  TargetClient client(3, 1000);
  client.Start();
  constexpr int kRequests = 12;
  std::vector<std::future<TargetResult>> results;
  results.reserve(kRequests);
  for (int i = 0; i < kRequests; ++i) {
    results.push_back(std::async(std::launch::async, [&, i] {
      return SendAndWait(client, target, "id" + std::to_string(i), i % 2 == 0);
    }));
  }
  for (auto& result : results) {
    CHECK(result.get().m_failure == AttemptFailure::None);
  }
  CHECK(target.MostConnections() <= 3);
  CHECK(target.RunCount() == kRequests);
}

// Guards against attempts that do not end when the client stops, so that their
// callers would wait forever.
TEST_CASE("Stopping the client ends its attempts", "[server]")
{
  FakeTarget target([](const FakeRequest&) { return FakeBehaviour::Freeze; });
  TargetClient client(8, 1000);
  client.Start();
  std::promise<TargetResult> promise;
  TargetRequest request;
  request.m_address = target.Address();
  request.m_method = "GET";
  request.m_target = "/";
  request.m_timeout = absl::Seconds(30);
  client.Send(request, [&](TargetResult aResult) {
    promise.set_value(std::move(aResult));
  });
  while (target.RunCount() == 0) {
    std::this_thread::yield();
  }
  client.Stop();
  const TargetResult result = promise.get_future().get();
  CHECK(result.m_failure == AttemptFailure::Stopped);
  CHECK(result.m_mayHaveBeenSent);
}
