#include "core/metrics.h"
#include "net/event_loop.h"
#include "net/http_listener.h"
#include "tests/fakes/client_crowd.h"
#include "tests/fakes/crowd_scenarios.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <functional>
#include <string>
#include <thread>

using namespace bramleystall;

namespace {

constexpr std::uint16_t kPort = 27455;
constexpr const char* kOrdinaryBody = "ordinary";
/** A VM with 0.12 cores and 5 us for a part then has a turn of 85 ms at most.
 * Its leases of 3 s are renewed every second. */
constexpr int kMaxPartsInTurn = 2'048;
/** 35 turns of this length take the 3 s that a caller waits. */
constexpr int kMaxPartsUntilRequest = 35 * kMaxPartsInTurn;
constexpr int kTurnsBeforeRequest = 20;
/** Ends the loop of a listener that never serves the ordinary request. */
constexpr int kMaxTurns = 200;

/** A listener that is run until it has handled an ordinary request beside a
 * crowd. A turn is the time between two runs of a timer without delay, which
 * stands for the other work of the loop. */
class TurnFixture
{
public:
  TurnFixture()
    : m_listener(m_loop,
                 { .m_address = absl::StrCat("127.0.0.1:", kPort),
                   .m_name = "callers",
                   .m_limits = { std::size_t{ 64 } << 20U, 1'000 },
                   .m_maxBodyBytes =
                     [this] {
                       ++m_parts;
                       return kLegalBodyBytes;
                     } },
                 m_metrics,
                 [this](const ListenerRequest& aRequest,
                        const HttpListener::Responder& aRespond) {
                   m_isServed = m_isServed || aRequest.m_body == kOrdinaryBody;
                   aRespond({});
                 })
  {
  }

  void RunBeside(const CrowdScenario& aScenario)
  {
    ClientCrowd crowd(kPort, aScenario.m_request);
    std::atomic<bool> isStopped = false;
    std::atomic<std::size_t> sentBytes = 0;
    std::thread sender([&] {
      crowd.RunReturning(aScenario.m_connections, isStopped, sentBytes);
    });
    RunTurn();
    m_loop.Run();
    isStopped = true;
    sender.join();
  }

  /** Largest number of parts of bodies that were read in a turn. */
  int MostParts() const { return m_mostParts; }
  bool IsServed() const { return m_isServed; }
  /** Parts that were read from the sending of the ordinary request to its
   * handling. */
  int PartsUntilRequest() const { return m_partsUntilRequest; }

private:
  void RunTurn()
  {
    if (m_isServed || m_turns >= kMaxTurns) {
      m_loop.Stop();
      return;
    }
    if (m_parts > 0) {
      m_partsUntilRequest += m_turns >= kTurnsBeforeRequest ? m_parts : 0;
      m_mostParts = std::max(m_mostParts, m_parts);
      m_parts = 0;
      ++m_turns;
      if (m_turns == kTurnsBeforeRequest) {
        m_caller.Run(
          1, [] {}, absl::Milliseconds(5), absl::Milliseconds(50));
      }
    }
    m_loop.After(absl::ZeroDuration(), [this] { RunTurn(); });
  }

  EventLoop m_loop;
  Metrics m_metrics;
  HttpListener m_listener;
  ClientCrowd m_caller{ kPort,
                        { .m_head = "POST /q/ HTTP/1.1\r\nHost: h\r\n"
                                    "Content-Length: 8\r\n\r\n",
                          .m_bodyBlock = kOrdinaryBody,
                          .m_bodyBytes = 8 } };
  int m_parts = 0;
  int m_mostParts = 0;
  int m_partsUntilRequest = 0;
  int m_turns = 0;
  bool m_isServed = false;
};

}

// Guards against an event loop that renews no lease and serves no other caller
// while it reads what a crowd sends.
TEST_CASE("A crowd of small chunks leaves turns to other work", "[listener]")
{
  TurnFixture listener;
  listener.RunBeside(
    CrowdScenarios("POST /q/ HTTP/1.1\r\nHost: h\r\n").ReturningSmallChunks());
  CHECK(listener.IsServed());
  CHECK(listener.MostParts() <= kMaxPartsInTurn);
  CHECK(listener.PartsUntilRequest() <= kMaxPartsUntilRequest);
}
