#include "core/metrics.h"
#include "net/event_loop.h"
#include "net/http_fetcher.h"
#include "net/http_listener.h"
#include "tests/fakes/fake_target.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <functional>
#include <string>
#include <vector>

using namespace bramleystall;

// Guards against a key that does not reach the handler, or that a request
// without the header gets from the one before on its connection.
TEST_CASE("A listener passes on the value of the key header", "[listener]")
{
  FakeTarget freePort;
  freePort.StopListening();
  EventLoop loop;
  std::vector<std::string> keys;
  Metrics metrics;
  HttpListener listener(
    loop,
    { .m_address = freePort.Address(),
      .m_name = "callers",
      .m_limits = { .m_bytes = 1U << 20U, .m_connections = 10 },
      .m_maxBodyBytes = [] { return 1000; } },
    metrics,
    [&keys](const ListenerRequest& aRequest,
            const HttpListener::Responder& aRespond) {
      keys.push_back(aRequest.m_apiKey);
      aRespond({});
    });
  listener.SetApiKeyHeader("Api-Key");
  HttpFetcher fetcher(loop, 1);
  const std::vector<std::vector<std::string>> requests = {
    { "Api-Key: secret" }, {}, { "api-key:  other " }, { "Api-Key;" }
  };
  std::size_t sent = 0;
  const std::function<void(const FetchResult&)> sendNext =
    [&](const FetchResult& aLast) {
      if (aLast.m_status != 200 || sent == requests.size()) {
        loop.Stop();
        return;
      }
      FetchRequest request;
      request.m_url = absl::StrCat("http://", freePort.Address(), "/q/");
      request.m_headers = requests[sent++];
      fetcher.Send(request, sendNext);
    };
  sendNext({ .m_status = 200 });
  loop.Run();
  CHECK(keys == std::vector<std::string>{ "secret", "", "other", "" });
}
