#include "server/http_message.h"
#include "server/request_id.h"

#include <absl/time/clock.h>
#include <catch2/catch.hpp>

#include <set>

using namespace bramleystall;

// Guards against connection-specific headers of the caller's connection being
// sent on the target's connection, or the reverse.
TEST_CASE("Hop-by-hop headers are not forwarded", "[server]")
{
  const HttpHeaders headers = {
    { "Connection", "keep-alive, X-Hop" },
    { "x-hop", "1" },
    { "Transfer-Encoding", "chunked" },
    { "CONTENT-LENGTH", "5" },
    { "Upgrade", "h2c" },
    { "Set-Cookie", "a=1" },
    { "Set-Cookie", "b=2" },
    { "Accept", "*/*" },
  };
  CHECK(EndToEndHeaders(headers) == HttpHeaders{ { "Set-Cookie", "a=1" },
                                                 { "Set-Cookie", "b=2" },
                                                 { "Accept", "*/*" } });
  CHECK(*FindHeader(headers, "ACCEPT") == "*/*");
  CHECK(FindHeader(headers, "Host") == nullptr);
  CHECK(CountHeader(headers, "set-cookie") == 2);
}

// Guards against a path that is checked for idempotency as written while the
// target resolves its dot segments and runs another path.
TEST_CASE("Dot segments are found in plain and encoded form", "[server]")
{
  for (const char* const path : { "/a/../b",
                                  "/a/%2e%2E/b",
                                  "/a/..%2fb",
                                  "/./b",
                                  "/a/..",
                                  "/a\\..\\b",
                                  "/a%5c..%5Cb" }) {
    CAPTURE(path);
    CHECK(HasDotSegment(path));
  }
  for (const char* const path : { "/a/b", "/a..b/c", "/...", "/.well-known" }) {
    CAPTURE(path);
    CHECK_FALSE(HasDotSegment(path));
  }
}

// Guards against generated ids that the owner of the claim rejects because of
// their version, variant or time.
TEST_CASE("New request ids are version 7 UUIDs of the current time", "[server]")
{
  std::set<std::string> ids;
  for (int i = 0; i < 1000; ++i) {
    const std::string id = NewRequestId();
    REQUIRE(id.size() == 36);
    CHECK(id[14] == '7');
    CHECK(std::string("89ab").find(id[19]) != std::string::npos);
    const std::string millis = id.substr(0, 8) + id.substr(9, 4);
    const auto age =
      absl::ToUnixMillis(absl::Now()) - std::stoll(millis, nullptr, 16);
    CHECK(age >= 0);
    CHECK(age < 1000);
    ids.insert(id);
  }
  CHECK(ids.size() == 1000);
}
