#include "net/event_loop.h"
#include "net/http_fetcher.h"
#include "tests/fakes/closing_server.h"
#include "tests/fakes/fake_target.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <optional>

using namespace bramleystall;

namespace {

FetchRequest
MakeRequest(const std::string& aAddress,
            const std::string& aMethod,
            const std::string& aBody)
{
  FetchRequest request;
  request.m_method = aMethod;
  request.m_url = absl::StrCat("http://", aAddress, "/order");
  request.m_body = aBody;
  return request;
}

FetchResult
Fetch(ClosingServer& aServer, const FetchRequest& aRequest)
{
  return aServer.Call<FetchResult>([&](HttpFetcher::Callback aCallback) {
    aServer.Fetcher().Send(aRequest, std::move(aCallback));
  });
}

}

// Guards against a request that is sent a second time when its connection is
// closed before the response: the response to the second sending says nothing
// about the first one (rule REFUSED, review/2; rule TWICE at a worker's start).
TEST_CASE("A request on a closing connection is sent once", "[fetcher]")
{
  const auto [method, body] = GENERATE(table<std::string, std::string>(
    { { "POST", "fee=5" }, { "POST", "" }, { "DELETE", "" } }));
  CAPTURE(method, body);
  ClosingServer server;
  const FetchResult result =
    Fetch(server, MakeRequest(server.Address(), method, body));
  CHECK(server.RequestCount() == 1);
  REQUIRE_FALSE(result.HasResponse());
  REQUIRE(result.m_mayHaveBeenSent);
  REQUIRE_FALSE(result.m_error.empty());
}

// Guards against reads and renewals that fail each time a server closes an idle
// connection.
TEST_CASE("An idempotent request on a closing connection is sent again",
          "[fetcher]")
{
  const auto [method, isMarked] =
    GENERATE(table<std::string, bool>({ { "GET", false }, { "POST", true } }));
  CAPTURE(method, isMarked);
  ClosingServer server;
  FetchRequest request = MakeRequest(server.Address(), method, "");
  request.m_isIdempotent = isMarked;
  REQUIRE(Fetch(server, request).m_status == ClosingServer::kRefusalStatus);
  REQUIRE(server.RequestCount() == 2);
}

// Guards against a request that counts as possibly sent although no server was
// there to receive it, so that its work is held back for nothing.
TEST_CASE("A request without a connection was not sent", "[fetcher]")
{
  FakeTarget server;
  server.StopListening();
  EventLoop loop;
  HttpFetcher fetcher(loop, 1);
  std::optional<FetchResult> result;
  fetcher.Send(MakeRequest(server.Address(), "POST", "fee=5"),
               [&](FetchResult aResult) {
                 result = std::move(aResult);
                 loop.Stop();
               });
  loop.Run();
  REQUIRE_FALSE(result->HasResponse());
  REQUIRE_FALSE(result->m_mayHaveBeenSent);
}
