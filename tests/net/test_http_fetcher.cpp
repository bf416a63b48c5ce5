#include "net/event_loop.h"
#include "net/http_fetcher.h"
#include "tests/fakes/closing_server.h"
#include "tests/fakes/fake_target.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <utility>
#include <vector>

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

namespace {

/** Opens connections to a server that go silent at once, then sends requests
 * one after the other until one gets a response. */
class SilentConnections
{
public:
  static constexpr int kConnections = 4;

  SilentConnections(AfterTimeout aAfterTimeout, std::string aMethod)
    : m_method(std::move(aMethod))
    , m_fetcher(m_loop, kConnections, aAfterTimeout)
  {
    m_server.SetDelay(absl::Milliseconds(50));
    for (int i = 0; i < kConnections; ++i) {
      m_fetcher.Send(MakeRequest(m_server.Address(), "GET", ""),
                     [this](const FetchResult&) { OnOpened(); });
    }
    m_loop.Run();
  }

  int OpenedConnections() const { return m_opened; }
  /** Results of the requests in their order. */
  const std::vector<FetchResult>& Results() const { return m_results; }

private:
  void OnOpened()
  {
    if (++m_opened < kConnections) {
      return;
    }
    m_opened = m_server.MostConnections();
    m_server.SetDelay(absl::ZeroDuration());
    m_server.SetBehaviourChooser([](const FakeRequest& aRequest) {
      return aRequest.m_numberOnConnection > 1 ? FakeBehaviour::Freeze
                                               : FakeBehaviour::Respond;
    });
    SendNext();
  }

  void SendNext()
  {
    FetchRequest request = MakeRequest(m_server.Address(), m_method, "");
    request.m_timeout = absl::Milliseconds(150);
    m_fetcher.Send(request, [this](FetchResult aResult) {
      m_results.push_back(std::move(aResult));
      if (m_results.back().HasResponse() || m_results.size() > kConnections) {
        m_loop.Stop();
      } else {
        SendNext();
      }
    });
  }

  std::string m_method;
  FakeTarget m_server;
  EventLoop m_loop;
  HttpFetcher m_fetcher;
  int m_opened = 0;
  std::vector<FetchResult> m_results;
};

}

// Guards against calls that try one silent connection after the other, each for
// its whole time-out, so that a configuration comes late (rule CONFIG,
// review/9), and against taking such a call for one that was not sent.
TEST_CASE("One time-out replaces all connections that may be silent",
          "[fetcher]")
{
  const SilentConnections connections(AfterTimeout::ReplaceConnections,
                                      GENERATE("GET", "POST"));
  REQUIRE(connections.OpenedConnections() == SilentConnections::kConnections);
  REQUIRE(connections.Results().size() == 2);
  CHECK_FALSE(connections.Results()[0].HasResponse());
  CHECK(connections.Results()[0].m_mayHaveBeenSent);
  CHECK(connections.Results()[1].m_status == 200);
}

// Guards against expensive new connections to a worker that has left one order
// unanswered.
TEST_CASE("A time-out keeps the other connections to workers", "[fetcher]")
{
  const SilentConnections connections(AfterTimeout::KeepConnections, "GET");
  CHECK(connections.Results().size() == SilentConnections::kConnections + 1);
  CHECK(connections.Results().back().HasResponse());
}

// Guards against a use of replaced connections after they were closed, and
// against transfers that are cut off with them.
TEST_CASE("Transfers on replaced connections end by themselves", "[fetcher]")
{
  FakeTarget server;
  server.SetDelay(absl::Milliseconds(400));
  EventLoop loop;
  HttpFetcher fetcher(loop, 4, AfterTimeout::ReplaceConnections);
  int responses = 0;
  int timeouts = 0;
  const auto send = [&](absl::Duration aTimeout) {
    FetchRequest request = MakeRequest(server.Address(), "GET", "");
    request.m_timeout = aTimeout;
    fetcher.Send(request, [&](const FetchResult& aResult) {
      (aResult.HasResponse() ? responses : timeouts) += 1;
      if (responses + timeouts == 4) {
        loop.Stop();
      }
    });
  };
  send(absl::Seconds(5));
  send(absl::Milliseconds(100));
  send(absl::Milliseconds(150));
  loop.After(absl::Milliseconds(200), [&] { send(absl::Seconds(5)); });
  loop.Run();
  CHECK(responses == 2);
  CHECK(timeouts == 2);
}
