#include "cluster/messages.h"

#include <catch2/catch.hpp>

#include <random>
#include <string>

using namespace bramleystall;

namespace {

Heartbeat
ExampleHeartbeat()
{
  Heartbeat heartbeat;
  heartbeat.m_sequence = 100000;
  heartbeat.m_acknowledged = 99999;
  heartbeat.m_wallMillis = 1'800'000'000'000;
  heartbeat.m_membersDigest = ~0ULL;
  heartbeat.m_state.m_configurationVersion = 70000;
  heartbeat.m_state.m_configurationDigest = "0123456789abcdef";
  heartbeat.m_state.m_fleetRevision = 70000;
  return heartbeat;
}

std::vector<MessageBody>
ExampleBodies()
{
  Heartbeat heartbeat = ExampleHeartbeat();
  heartbeat.m_state.m_inFlight = { { "vm1", 3 } };
  heartbeat.m_members = { { "d1", "dc1", "127.0.0.1:1", 5, 6, true, true, 7 } };
  return { heartbeat,
           DocumentRequest{ DocumentKind::Fleet },
           DocumentReply{ DocumentKind::Fleet, "{\"a\":1}" },
           ClaimRequest{ 1, 2, ~0ULL, 4 },
           ClaimReply{ 1, ClaimReplyCode::NotOwner },
           SlotRequest{ 1, 2, 3, 4, true, { { "vm1", 1, 2, 3 } } },
           SlotReply{ 1, 2, 3, 4, true, { { "vm1", 5 } }, { { "vm2", 6 } } },
           Goodbye{ true } };
}

}

// Guards against a field that is lost or decoded into another one.
TEST_CASE("Messages survive a round trip", "[cluster]")
{
  for (const MessageBody& body : ExampleBodies()) {
    const Message message{ "d0", 9, body };
    const std::string bytes = EncodeMessage(message);
    const auto decoded = DecodeMessage(bytes);
    REQUIRE(decoded);
    CHECK(decoded->Kind() == message.Kind());
    CHECK(decoded->m_daemon == "d0");
    CHECK(decoded->m_incarnation == 9);
    CHECK(EncodeMessage(*decoded) == bytes);
  }
}

// Guards against a daemon that crashes on what another program sends.
TEST_CASE("Malformed messages are dropped", "[cluster]")
{
  std::mt19937_64 random(5);
  CHECK_FALSE(DecodeMessage(""));
  CHECK_FALSE(DecodeMessage("\x90"));
  CHECK_FALSE(DecodeMessage("\xdd\xff\xff\xff\xff"));
  // Nesting that would exhaust the stack of a recursive decoder.
  CHECK_FALSE(DecodeMessage(std::string(1'000'000, '\x91')));
  int dropped = 0;
  for (const MessageBody& body : ExampleBodies()) {
    const std::string bytes = EncodeMessage({ "d0", 9, body });
    for (std::size_t length = 0; length < bytes.size(); ++length) {
      CHECK_FALSE(DecodeMessage(bytes.substr(0, length)));
    }
    for (int i = 0; i < 300; ++i) {
      std::string changed = bytes;
      changed[random() % changed.size()] = static_cast<char>(random());
      dropped += DecodeMessage(changed) ? 0 : 1;
    }
  }
  CHECK(dropped > 0);
}

// Guards against heartbeats that exceed the traffic of a daemon: 52 a second
// are sent and received at the design size, within 7 KB a second.
TEST_CASE("Heartbeats are compact", "[cluster]")
{
  const Message message{ "entry-vm-12",
                         1'800'000'000'000ULL << 16U,
                         ExampleHeartbeat() };
  CHECK(EncodeMessage(message).size() * 52 < 5 * 1024);
}
