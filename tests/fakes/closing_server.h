#pragma once

#include "net/event_loop.h"
#include "net/http_fetcher.h"
#include "tests/fakes/fake_target.h"

#include <absl/strings/str_cat.h>

#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace bramleystall {

/**
 * Server that reads a request on a reused connection, may have carried it out,
 * closes the connection without a response, and refuses each later request. One
 * call per object.
 */
class ClosingServer
{
public:
  static constexpr int kRefusalStatus = 503;

  std::string Address() const { return m_target.Address(); }

  /** Fetcher of the calls, with a single connection. */
  HttpFetcher& Fetcher() { return m_fetcher; }

  /** Number of times that the requests of Call were received. */
  int RequestCount() const { return m_target.RunCount() - 1; }

  /**
   * Opens a connection, then sends a request on it through aSend and waits for
   * its result. Throws std::bad_optional_access if none comes within 5 s.
   */
  template<typename Result>
  Result Call(
    const std::function<void(std::function<void(Result)> aCallback)>& aSend)
  {
    std::optional<Result> result;
    FetchRequest first;
    first.m_url = absl::StrCat("http://", Address(), "/");
    m_fetcher.Send(std::move(first), [&](const FetchResult&) {
      m_target.SetStatus(kRefusalStatus);
      aSend([&](Result aResult) {
        result = std::move(aResult);
        m_loop.Stop();
      });
    });
    m_loop.After(absl::Seconds(5), [this] { m_loop.Stop(); });
    m_loop.Run();
    return result.value();
  }

private:
  FakeTarget m_target{ [](const FakeRequest& aRequest) {
    return aRequest.m_numberOnConnection > 1 ? FakeBehaviour::ReadAndClose
                                             : FakeBehaviour::Respond;
  } };
  EventLoop m_loop;
  HttpFetcher m_fetcher{ m_loop, 1 };
};

}
