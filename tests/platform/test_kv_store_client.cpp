#include "net/event_loop.h"
#include "net/http_fetcher.h"
#include "platform/kv_store_client.h"
#include "tests/fakes/captured_log.h"
#include "tests/fakes/closing_server.h"
#include "tests/fakes/fake_target.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <optional>
#include <string>

using namespace bramleystall;

namespace {

struct SlowStoreFixture
{
  /** Lists a prefix from a server that sends the page in pieces. */
  ReadResult List(int aPieces, absl::Duration aPause)
  {
    FakeTarget server;
    server.SetBody(m_page);
    server.SetPieces(aPieces, aPause);
    EventLoop loop;
    HttpFetcher fetcher(loop, 2);
    KvStoreClient store(fetcher, server.Address());
    std::optional<ReadResult> result;
    store.List("jobs/", "", [&](const ReadResult& aResult) {
      result = aResult;
      loop.Stop();
    });
    const absl::Time begin = loop.ReadClock();
    loop.After(absl::Seconds(8), [&loop] { loop.Stop(); });
    loop.Run();
    m_duration = loop.ReadClock() - begin;
    REQUIRE(result);
    return *result;
  }

  const std::string m_page =
    R"({"items":[{"key":"jobs/1","value":"e30=","rev":3}],"as_of":4})";
  absl::Duration m_duration;
};

}

// Guards against an owner that never takes over because a page of its jobs
// takes longer than a call on its link (trouble-2 --small of lican-gt-large).
TEST_CASE_METHOD(SlowStoreFixture,
                 "A page is read as long as data keeps arriving",
                 "[store]")
{
  const ReadResult page = List(5, absl::Milliseconds(400));
  REQUIRE(page.m_status == ReadStatus::Ok);
  REQUIRE(page.m_items.size() == 1);
  REQUIRE(page.m_storeRevision == 4);
}

// Guards against waiting long for a page on a connection that is silent.
TEST_CASE_METHOD(SlowStoreFixture,
                 "A page that stops arriving fails soon",
                 "[store]")
{
  const ReadResult page = List(2, absl::Seconds(5));
  REQUIRE(page.m_status == ReadStatus::Unavailable);
  REQUIRE(m_duration < absl::Seconds(3));
}

// Guards against a job that is refused and runs: the store carried out the
// write that accepts it, closed the connection and refused a second sending
// (rule REFUSED, review/2).
TEST_CASE("A commit whose connection is closed has an unknown outcome",
          "[store]")
{
  ClosingServer server;
  KvStoreClient store(server.Fetcher(), server.Address());
  const auto result =
    server.Call<CommitResult>([&](KeyValueStore::CommitCallback aCallback) {
      store.Commit({}, std::move(aCallback));
    });
  REQUIRE(result.m_status == CommitStatus::Unknown);
  REQUIRE(server.RequestCount() == 1);
}

// Guards against the text of a malformed response, which may be the
// configuration with its keys, in errors and log lines.
TEST_CASE("A malformed response of the store is reported without its text",
          "[store]")
{
  const CapturedLog log;
  // The last token of the text is the value.
  const std::string item = R"({"key":"op/config","value":"c2VjcmV0)";
  FakeTarget server;
  EventLoop loop;
  HttpFetcher fetcher(loop, 1);
  KvStoreClient store(fetcher, server.Address());
  std::string errors;
  int reads = 0;
  const auto onRead = [&](const ReadResult& aResult) {
    CHECK(aResult.m_status == ReadStatus::Unavailable);
    errors += aResult.m_error;
    if (++reads == 3) {
      loop.Stop();
    }
  };
  server.SetBody(item);
  store.Get("op/config", onRead);
  store.List("op/", "", onRead);
  store.Watch("op/", 1, absl::Seconds(1), onRead);
  loop.After(absl::Seconds(8), [&loop] { loop.Stop(); });
  loop.Run();
  REQUIRE(reads == 3);
  errors += log.Text();
  CHECK(errors.find("byte ") != std::string::npos);
  CHECK(errors.find("c2VjcmV0") == std::string::npos);
}
