#include "consul/configuration_publisher.h"
#include "core/configuration_codec.h"
#include "core/error.h"
#include "tests/fakes/fake_platform_store.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

using namespace bramleystall;

namespace {

/** Publisher with tokens "w1", "w2", ... and a sleep hook without delay. */
class PublisherFixture
{
public:
  FakePlatformStore m_store;
  int m_tokens = 0;
  int m_sleeps = 0;
  std::function<void()> m_onSleep = [] {};

  ConfigurationPublisher MakePublisher()
  {
    return { m_store,
             { [] { return absl::FromUnixSeconds(1'700'000'000); },
               [this](absl::Duration) {
                 ++m_sleeps;
                 m_onSleep();
               },
               [this] { return absl::StrCat("w", ++m_tokens); } } };
  }

  /** Publishes for another operator during the next store call of a kind. */
  void InterleaveAt(const std::string& aCall, const Configuration& aOther)
  {
    m_store.SetCallHook([this, aCall, aOther](const std::string& aName) {
      if (aName == aCall) {
        m_store.SetCallHook(nullptr);
        MakePublisher().Publish(aOther, "bo");
      }
    });
  }
};

Configuration
MakeContent(int aSpares)
{
  Configuration configuration;
  configuration.m_fleet.m_spareWorkers = aSpares;
  ServiceSpec service;
  service.m_name = "alarms";
  configuration.m_services = { service };
  return configuration;
}

ErrorCode
CodeOf(const std::function<void()>& aCall, std::string* aMessage = nullptr)
{
  try {
    aCall();
  } catch (const Error& error) {
    if (aMessage) {
      *aMessage = error.what();
    }
    return error.Code();
  }
  FAIL("no error was thrown");
  return ErrorCode::Internal;
}

}

// Guards against version numbers that do not increase, and against a history
// that disagrees with the accepted configuration.
TEST_CASE_METHOD(PublisherFixture,
                 "Publishing writes the configuration and its history",
                 "[platform]")
{
  auto publisher = MakePublisher();
  CHECK_FALSE(publisher.ReadCurrent());
  CHECK(publisher.ReadHistory().empty());
  CHECK(publisher.Publish(MakeContent(1), "ana").m_configuration.m_version ==
        1);
  const PublishResult second = publisher.Publish(MakeContent(2), "ana");
  CHECK(second.m_isChanged);
  CHECK(second.m_change == "fleet changed");
  const auto current = publisher.ReadCurrent();
  REQUIRE(current);
  CHECK(current->m_version == 2);
  CHECK(current->m_digest == DigestOf(*current));
  CHECK(current->m_operator == "ana");
  const auto history = publisher.ReadHistory();
  REQUIRE(history.size() == 2);
  CHECK(history[1].m_version == 2);
  CHECK(history[1].m_digest == current->m_digest);
  CHECK(history[1].m_acceptedMillis == 1'700'000'000'000);
}

// Guards against a new version for each publish of the same content, which
// every daemon would have to apply.
TEST_CASE_METHOD(PublisherFixture,
                 "Unchanged content is not written again",
                 "[platform]")
{
  auto publisher = MakePublisher();
  publisher.Publish(MakeContent(1), "ana");
  const PublishResult again = publisher.Publish(MakeContent(1), "bo");
  CHECK_FALSE(again.m_isChanged);
  CHECK(again.m_configuration.m_version == 1);
  CHECK(again.m_configuration.m_operator == "ana");
  CHECK(m_store.CallCount("write") == 1);
}

// Guards against a history that exceeds the store's limit for a value.
TEST_CASE_METHOD(PublisherFixture,
                 "The history keeps the last 64 versions",
                 "[platform]")
{
  auto publisher = MakePublisher();
  for (int i = 1; i <= 70; ++i) {
    publisher.Publish(MakeContent(i), "ana");
  }
  const auto history = publisher.ReadHistory();
  REQUIRE(history.size() == kHistoryLength);
  CHECK(history.front().m_version == 7);
  CHECK(history.back().m_version == 70);
}

// Guards against an operator overwriting a configuration that another one
// published after the first one read the store.
TEST_CASE_METHOD(PublisherFixture,
                 "Of two concurrent publishes one gets a conflict",
                 "[platform]")
{
  auto publisher = MakePublisher();
  publisher.Publish(MakeContent(1), "ana");
  InterleaveAt("write", MakeContent(2));
  std::string message;
  CHECK(CodeOf([&] { publisher.Publish(MakeContent(3), "ana"); }, &message) ==
        ErrorCode::Conflict);
  CHECK(message.find("version 2 by bo at 2023-11-14T22:13:20Z") !=
        std::string::npos);
  CHECK(publisher.ReadCurrent()->m_fleet.m_spareWorkers == 2);
  CHECK(publisher.ReadHistory().size() == 2);
}

// Guards against the same race on the first version, when no key exists yet.
TEST_CASE_METHOD(PublisherFixture,
                 "Of two concurrent first publishes one succeeds",
                 "[platform]")
{
  auto publisher = MakePublisher();
  InterleaveAt("write", MakeContent(2));
  CHECK(CodeOf([&] { publisher.Publish(MakeContent(3), "ana"); }) ==
        ErrorCode::Conflict);
  CHECK(publisher.ReadCurrent()->m_operator == "bo");
}

// Guards against replacing a version that the operator has not reviewed, since
// it was accepted after the one that the operator expects.
TEST_CASE_METHOD(PublisherFixture,
                 "An expected version that is not accepted is a conflict",
                 "[platform]")
{
  auto publisher = MakePublisher();
  publisher.Publish(MakeContent(1), "ana");
  publisher.Publish(MakeContent(2), "bo");
  std::string message;
  CHECK(CodeOf([&] { publisher.Publish(MakeContent(3), "ana", 1); },
               &message) == ErrorCode::Conflict);
  CHECK(message.find("version 2 by bo") != std::string::npos);
  CHECK(publisher.Publish(MakeContent(3), "ana", 2).m_isChanged);
}

// Guards against a write whose response was lost being reported as failed
// although it took effect, and against writing it twice.
TEST_CASE_METHOD(PublisherFixture,
                 "A lost response is resolved by the writer token",
                 "[platform]")
{
  auto publisher = MakePublisher();
  m_store.LoseWriteResponses(1);
  CHECK(publisher.Publish(MakeContent(1), "ana").m_isChanged);
  CHECK(publisher.ReadHistory().size() == 1);
  CHECK(m_store.CallCount("write") == 1);
}

// Guards against a write whose request was lost being reported as a success.
TEST_CASE_METHOD(PublisherFixture, "A lost request is sent again", "[platform]")
{
  auto publisher = MakePublisher();
  m_store.LoseWriteRequests(1);
  CHECK(publisher.Publish(MakeContent(1), "ana").m_isChanged);
  CHECK(publisher.ReadCurrent()->m_version == 1);
  CHECK(m_store.CallCount("write") == 2);
}

// Guards against a false conflict when another operator publishes on top of a
// write whose response was lost.
TEST_CASE_METHOD(PublisherFixture,
                 "A lost response is resolved by the history",
                 "[platform]")
{
  auto publisher = MakePublisher();
  m_store.LoseWriteResponses(1);
  int gets = 0;
  m_store.SetCallHook([&](const std::string& aName) {
    // The third read is the one that follows the write.
    if (aName == "get" && ++gets == 3) {
      m_store.SetCallHook(nullptr);
      MakePublisher().Publish(MakeContent(2), "bo");
    }
  });
  CHECK(publisher.Publish(MakeContent(1), "ana").m_isChanged);
  CHECK(publisher.ReadCurrent()->m_operator == "bo");
  CHECK(publisher.ReadHistory().size() == 2);
}

// Guards against the error "nothing was written" when the outcome is unknown,
// and against an unknown outcome when nothing can have been written.
TEST_CASE_METHOD(PublisherFixture,
                 "An outage is reported by what may have been written",
                 "[platform]")
{
  auto publisher = MakePublisher();
  m_store.SetDown(true);
  CHECK(CodeOf([&] { publisher.Publish(MakeContent(1), "ana"); }) ==
        ErrorCode::Unavailable);
  m_store.SetDown(false);
  m_store.LoseWriteResponses(1);
  int gets = 0;
  m_store.SetCallHook([&](const std::string& aName) {
    gets += aName == "get" ? 1 : 0;
    if (gets == 3) {
      m_store.SetCallHook(nullptr);
      m_store.SetDown(true);
    }
  });
  std::string message;
  CHECK(CodeOf([&] { publisher.Publish(MakeContent(1), "ana"); }, &message) ==
        ErrorCode::OutcomeUnknown);
  CHECK(message.find("writer token w") != std::string::npos);
  CHECK(m_sleeps > 1);
  m_store.SetDown(false);
  CHECK(publisher.ReadCurrent()->m_version == 1);
}

// Guards against overwriting a history that another writer changed between the
// read and the write of a publish.
TEST_CASE_METHOD(PublisherFixture,
                 "A concurrent change of the history is a conflict",
                 "[platform]")
{
  auto publisher = MakePublisher();
  m_store.SetCallHook([&](const std::string& aName) {
    if (aName == "write") {
      m_store.Put(ConfigurationPublisher::kHistoryKey, SerializeHistory({}));
    }
  });
  CHECK(CodeOf([&] { publisher.Publish(MakeContent(1), "ana"); }) ==
        ErrorCode::Conflict);
  CHECK_FALSE(publisher.ReadCurrent());
}

// Guards against a parser exception of another type for a damaged history,
// which would end the tool without a message.
TEST_CASE("Parsing a damaged history throws Error", "[platform]")
{
  CHECK_THROWS_AS(ParseHistory("{"), Error);
  CHECK_THROWS_AS(ParseHistory("{\"versions\": [1]}"), Error);
}
