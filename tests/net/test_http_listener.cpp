#include "core/metrics.h"
#include "net/event_loop.h"
#include "net/http_listener.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <catch2/catch.hpp>

#include <array>
#include <atomic>
#include <cerrno>
#include <mutex>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace bramleystall;

namespace {

constexpr std::uint16_t kPort = 27450;
constexpr std::size_t kMaxBody = 10'000;
/** Longest wait for something that is expected. */
constexpr absl::Duration kWait = absl::Seconds(5);
constexpr absl::Duration kPollInterval = absl::Milliseconds(5);

/** Client connection that sends whatever it is told to. */
class RawClient
{
public:
  RawClient()
    : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(kPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(m_socket,
                    reinterpret_cast<const sockaddr*>(&address),
                    sizeof address) == 0);
  }
  ~RawClient() { close(m_socket); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  void Send(const std::string& aText) const
  {
    REQUIRE(send(m_socket, aText.data(), aText.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(aText.size()));
  }

  /** Everything received, once it has aCount times aText, or the server has
   * closed the connection, or kWait passed. */
  const std::string& ReceiveUntil(const std::string& aText, int aCount = 1)
  {
    const absl::Time end = absl::Now() + kWait;
    while (Count(aText) < aCount && !m_isClosed && absl::Now() < end) {
      ReceiveSome();
    }
    return m_received;
  }

  /** Whether the server closes the connection within kWait. */
  bool IsClosed()
  {
    const absl::Time end = absl::Now() + kWait;
    while (!m_isClosed && absl::Now() < end) {
      ReceiveSome();
    }
    return m_isClosed;
  }

private:
  int Count(const std::string& aText) const
  {
    int count = 0;
    for (std::size_t at = m_received.find(aText); at != std::string::npos;
         at = m_received.find(aText, at + 1)) {
      ++count;
    }
    return count;
  }

  void ReceiveSome()
  {
    std::array<char, 4096> buffer{};
    const ssize_t size =
      recv(m_socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size > 0) {
      m_received.append(buffer.data(), static_cast<std::size_t>(size));
      return;
    }
    m_isClosed = size == 0 || errno != EAGAIN;
    absl::SleepFor(kPollInterval);
  }

  int m_socket;
  bool m_isClosed = false;
  std::string m_received;
};

/** A listener whose loop runs in a thread of its own. */
class ListenerFixture
{
public:
  explicit ListenerFixture(RequestBudgetLimits aLimits = { 1U << 20U, 20 },
                           bool aDelaysResponses = false,
                           std::string aResponseBody = "{}")
    : m_responseBody(std::move(aResponseBody))
    , m_delaysResponses(aDelaysResponses)
    , m_listener(
        m_loop,
        { .m_address = absl::StrCat("127.0.0.1:", kPort),
          .m_name = "callers",
          .m_limits = aLimits,
          .m_maxBodyBytes = [] { return kMaxBody; } },
        m_metrics,
        [this](ListenerRequest aRequest, HttpListener::Responder aRespond) {
          const std::lock_guard lock(m_mutex);
          m_bodies.push_back(std::move(aRequest.m_body));
          m_responders.push_back(std::move(aRespond));
        })
  {
    Poll();
    m_thread = std::thread([this] { m_loop.Run(); });
  }
  ~ListenerFixture()
  {
    m_isStopping = true;
    m_thread.join();
  }
  ListenerFixture(const ListenerFixture&) = delete;
  ListenerFixture& operator=(const ListenerFixture&) = delete;

  /** Lets the requests that wait get their responses. */
  void Respond() { m_delaysResponses = false; }

  /** Bodies of the requests so far, once there are aCount or kWait passed. */
  std::vector<std::string> Bodies(std::size_t aCount)
  {
    const absl::Time end = absl::Now() + kWait;
    while (absl::Now() < end) {
      {
        const std::lock_guard lock(m_mutex);
        if (m_bodies.size() >= aCount) {
          break;
        }
      }
      absl::SleepFor(kPollInterval);
    }
    const std::lock_guard lock(m_mutex);
    return m_bodies;
  }

  std::uint64_t Refusals(const std::string& aReason) const
  {
    return m_metrics.CounterValue(
      "bramleystall_listener_refusals_total",
      { { "listener", "callers" }, { "reason", aReason } });
  }

  std::uint64_t Drops(const std::string& aReason) const
  {
    return m_metrics.CounterValue(
      "bramleystall_listener_drops_total",
      { { "listener", "callers" }, { "reason", aReason } });
  }

  bool IsRefusing() const { return m_listener.IsRefusing(); }

private:
  /** Responds and stops in the thread of the loop. */
  void Poll()
  {
    if (m_isStopping) {
      m_loop.Stop();
      return;
    }
    if (!m_delaysResponses) {
      const std::lock_guard lock(m_mutex);
      for (const auto& respond : m_responders) {
        respond({ .m_body = m_responseBody });
      }
      m_responders.clear();
    }
    m_loop.After(kPollInterval, [this] { Poll(); });
  }

  const std::string m_responseBody;
  Metrics m_metrics;
  EventLoop m_loop;
  std::mutex m_mutex;
  std::vector<std::string> m_bodies;
  std::vector<HttpListener::Responder> m_responders;
  std::atomic<bool> m_delaysResponses;
  std::atomic<bool> m_isStopping = false;
  HttpListener m_listener;
  std::thread m_thread;
};

std::string
Post(std::size_t aLength, const std::string& aHeaders = "")
{
  return absl::StrCat("POST /a HTTP/1.1\r\nHost: a\r\n",
                      aHeaders,
                      "Content-Length: ",
                      aLength,
                      "\r\n\r\n");
}

}

// Guards against accounting that breaks ordinary callers: several requests on
// one connection, and a body that is sent only after the interim response.
TEST_CASE("A listener serves kept-alive connections and Expect", "[listener]")
{
  ListenerFixture fixture;
  RawClient client;
  const std::string body(9000, 'x');
  client.Send(Post(body.size(), "Expect: 100-continue\r\n"));
  CHECK(client.ReceiveUntil("HTTP/1.1 100").starts_with("HTTP/1.1 100"));
  client.Send(body);
  client.ReceiveUntil("HTTP/1.1 200");
  client.Send(Post(3) + "abc");
  CHECK(client.ReceiveUntil("HTTP/1.1 200", 2).find("HTTP/1.1 200") !=
        std::string::npos);
  CHECK(fixture.Bodies(2) == std::vector<std::string>{ body, "abc" });
}

// Guards against a body that is read although its declared length is over the
// limit, and against one without a declared length that is kept.
TEST_CASE("A listener refuses bodies over the limit", "[listener]")
{
  ListenerFixture fixture;
  RawClient declared;
  declared.Send(Post(kMaxBody + 1, "Expect: 100-continue\r\n"));
  CHECK(declared.ReceiveUntil("HTTP/1.1").starts_with("HTTP/1.1 413"));
  const std::string start =
    "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string chunk =
    absl::StrCat("3e8\r\n", std::string(1000, 'x'), "\r\n");
  RawClient chunked;
  chunked.Send(start);
  for (int i = 0; i < 11; ++i) {
    chunked.Send(chunk);
  }
  chunked.Send("0\r\n\r\n");
  CHECK(chunked.ReceiveUntil("HTTP/1.1").starts_with("HTTP/1.1 413"));
  RawClient endless;
  endless.Send(start);
  for (int i = 0; i < 41; ++i) {
    endless.Send(chunk);
  }
  CHECK(endless.IsClosed());
  CHECK(fixture.Bodies(0).empty());
  CHECK(fixture.Refusals("length_over_limit") == 1);
  CHECK(fixture.Drops("body_over_limit") == 1);
}

// Guards against a body that loses or repeats parts where its reading pauses.
TEST_CASE("A listener reads a body of one-byte chunks", "[listener]")
{
  ListenerFixture fixture;
  RawClient client;
  std::string body;
  std::string chunks;
  for (std::size_t i = 0; i < kMaxBody; ++i) {
    body += static_cast<char>('a' + i % 26);
    absl::StrAppend(&chunks, "1\r\n", body.substr(i), "\r\n");
  }
  client.Send("POST /a HTTP/1.1\r\nHost: a\r\n"
              "Transfer-Encoding: chunked\r\n\r\n");
  client.Send(chunks + "0\r\n\r\n");
  CHECK(client.ReceiveUntil("HTTP/1.1").starts_with("HTTP/1.1 200"));
  CHECK(fixture.Bodies(1) == std::vector<std::string>{ body });
}

// Guards against incomplete requests that keep a new one out, and against the
// eviction of a request that was read completely.
TEST_CASE("A listener evicts incomplete requests for new ones", "[listener]")
{
  ListenerFixture fixture({ .m_bytes = 1U << 20U, .m_connections = 2 }, true);
  RawClient waiting;
  waiting.Send(Post(3) + "abc");
  REQUIRE(fixture.Bodies(1).size() == 1);
  RawClient incomplete;
  incomplete.Send(Post(5000) + std::string(4999, 'x'));
  RawClient next;
  next.Send(Post(3) + "def");
  CHECK(incomplete.IsClosed());
  CHECK(fixture.Bodies(2) == std::vector<std::string>{ "abc", "def" });
  CHECK(fixture.Drops("evicted") == 1);
  CHECK_FALSE(fixture.IsRefusing());

  // Both requests wait, so there is nothing to evict.
  RawClient refused;
  CHECK(refused.IsClosed());
  CHECK(fixture.Drops("no_room") == 1);
  CHECK(fixture.IsRefusing());

  fixture.Respond();
  CHECK(waiting.ReceiveUntil("HTTP/1.1").starts_with("HTTP/1.1 200"));
  CHECK(next.ReceiveUntil("HTTP/1.1").starts_with("HTTP/1.1 200"));
}

// Guards against clients that do not read their responses and so keep others
// out.
TEST_CASE("A listener evicts responses that are not read", "[listener]")
{
  /** More than the kernel buffers. */
  constexpr std::size_t kResponseBytes = std::size_t{ 16 } << 20U;
  ListenerFixture fixture({ .m_bytes = 4 * kResponseBytes, .m_connections = 2 },
                          false,
                          std::string(kResponseBytes, 'x'));
  RawClient first;
  RawClient second;
  for (RawClient* client : { &first, &second }) {
    client->Send(Post(3) + "abc");
    CHECK(client->ReceiveUntil("HTTP/1.1").starts_with("HTTP/1.1 200"));
  }
  RawClient next;
  next.Send(Post(3) + "def");
  CHECK(next.ReceiveUntil("HTTP/1.1").starts_with("HTTP/1.1 200"));
  CHECK(fixture.Drops("evicted") == 1);
  CHECK(fixture.Drops("no_room") == 0);
}

// Guards against a refusal that the caller can't tell from a lost connection:
// one for lack of memory has a status, and is given before the body is read.
TEST_CASE("A listener without memory responds with 503", "[listener]")
{
  constexpr std::size_t kReceiveBufferBytes = 32'768;
  ListenerFixture fixture(
    { .m_bytes = 50'000 + kReceiveBufferBytes, .m_connections = 10 }, true);
  RawClient waiting;
  waiting.Send(Post(5000) + std::string(5000, 'x'));
  REQUIRE(fixture.Bodies(1).size() == 1);
  RawClient refused;
  refused.Send(Post(9000));
  const std::string response = refused.ReceiveUntil("\"error\"");
  CHECK(response.starts_with("HTTP/1.1 503"));
  CHECK(response.find("Retry-After: 1") != std::string::npos);
  CHECK(response.find("{\"error\":") != std::string::npos);
  CHECK(fixture.Refusals("no_room") == 1);
  CHECK(fixture.IsRefusing());
}
