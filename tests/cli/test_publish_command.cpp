#include "consul/configuration_publisher.h"
#include "tests/cli/tool_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>

using namespace bramleystall;
using nlohmann::json;

namespace {

/** An invalid configuration folder and the start of its error message. */
struct InvalidFolder
{
  const char* m_name;
  std::function<void(ToolFixture&)> m_prepare;
  const char* m_message;
};

json
ServiceWith(const char* aName, const char* aKey, const json& aValue)
{
  json service = ToolFixture::MakeService(aName);
  service[aKey] = aValue;
  return service;
}

const std::vector<InvalidFolder>&
InvalidFolders()
{
  static const std::vector<InvalidFolder> kFolders = {
    { "not JSON",
      [](ToolFixture& aTool) { aTool.WriteText("a.service.json", "name: a"); },
      "a.service.json: line 1, column 2: not valid JSON" },
    { "wrong type",
      [](ToolFixture& aTool) {
        aTool.WriteFile("a.service.json", ServiceWith("a", "name", 5));
      },
      "a.service.json: /name: value 5, expected a string" },
    { "unknown key",
      [](ToolFixture& aTool) {
        aTool.WriteFile("a.service.json", ServiceWith("a", "colour", "red"));
      },
      "a.service.json: /colour: unknown key with value \"red\"" },
    { "budget over 1",
      [](ToolFixture& aTool) {
        aTool.WriteFile("a.service.json",
                        ServiceWith("a", "availability_budget", 1.01));
      },
      "a.service.json: /availability_budget: value 1.01, expected a number" },
    { "unknown pool",
      [](ToolFixture& aTool) {
        json service = ServiceWith("b", "pool", "nowhere");
        service.erase("pool_workers");
        service.erase("availability_budget");
        aTool.WriteFile("b.service.json", service);
      },
      "b.service.json: /pool: value \"nowhere\", expected a pool that some" },
    { "duplicate service",
      [](ToolFixture& aTool) {
        aTool.WriteFile("b.service.json", ServiceWith("b", "name", "a"));
      },
      "b.service.json: /name: value \"a\", expected a name that no other" },
    { "empty",
      [](ToolFixture& aTool) { aTool.WriteText("a.service.json", ""); },
      "a.service.json: empty, expected a JSON object" },
    { "2 MB",
      [](ToolFixture& aTool) {
        aTool.WriteText("a.service.json", std::string(2'000'000, '{'));
      },
      "a.service.json: too large, expected at most 1000000 bytes" },
    { "invalid UTF-8",
      [](ToolFixture& aTool) {
        aTool.WriteText("a.service.json", "{\"name\": \"\xc3\x28\"}");
      },
      "a.service.json: line 1, column " },
    { "two owners of one pool",
      [](ToolFixture& aTool) {
        aTool.WriteFile("b.service.json", ServiceWith("b", "pool", "a"));
      },
      "b.service.json: /pool: value \"a\", expected a pool that no other" },
  };
  return kFolders;
}

ClientResponse
StatusWith(const json& aConfiguration)
{
  return ToolFixture::MakeResponse(
    200, { { "daemon", "entry" }, { "configuration", aConfiguration } });
}

}

// Guards against an invalid file replacing the accepted configuration, and
// against an exit code that a script treats as success.
TEST_CASE("Invalid folders are rejected and change nothing", "[cli]")
{
  for (const InvalidFolder& invalidFolder : InvalidFolders()) {
    for (const char* command : { "validate", "publish" }) {
      DYNAMIC_SECTION(invalidFolder.m_name << ", " << command)
      {
        ToolFixture tool;
        REQUIRE(tool.Run({ "publish", tool.Services() }) == ExitCode::Success);
        const std::string before =
          tool.m_store.Get(ConfigurationPublisher::kCurrentKey)->m_value;
        invalidFolder.m_prepare(tool);
        CHECK(tool.Run({ command, tool.Services() }) == ExitCode::InvalidInput);
        const std::string message = tool.m_error.str();
        CHECK(message.starts_with(absl::StrCat(
          "error: ", tool.Services(), "/", invalidFolder.m_message)));
        CHECK(std::ranges::count(message, '\n') == 1);
        CHECK(tool.m_out.str().empty());
        CHECK(tool.m_store.Get(ConfigurationPublisher::kCurrentKey)->m_value ==
              before);
      }
    }
  }
}

// Guards against JSON output that scripts cannot parse, or that lacks errors.
TEST_CASE_METHOD(ToolFixture, "Publishing reports its result", "[cli]")
{
  CHECK(Run({ "publish", Services() }) == ExitCode::Success);
  CHECK(m_out.str().starts_with("accepted: version 1, digest "));
  CHECK(Run({ "publish", Services() }) == ExitCode::Success);
  CHECK(m_out.str() ==
        "unchanged: version 1 by ana already has this content\n");
  m_invocation.m_output = OutputFormat::Json;
  CHECK(Run({ "publish", Services() }) == ExitCode::Success);
  CHECK(Output()["changed"] == false);
  CHECK(Output()["version"] == 1);
  WriteText("a.service.json", "");
  CHECK(Run({ "publish", Services() }) == ExitCode::InvalidInput);
  CHECK(Output()["error"] == "invalid_input");
  CHECK(Output()["messages"].size() == 1);
}

// Guards against exit codes that do not tell whether the store was changed.
TEST_CASE_METHOD(ToolFixture,
                 "Publishing maps the store's outcome to the exit code",
                 "[cli]")
{
  SECTION("conflict")
  {
    m_store.SetCallHook([this](const std::string& aName) {
      if (aName == "write") {
        m_store.SetCallHook(nullptr);
        ConfigurationPublisher(m_store, SystemWriterHooks())
          .Publish(Configuration(), "bo");
      }
    });
    CHECK(Run({ "publish", Services() }) == ExitCode::Conflict);
    CHECK(m_error.str().find("version 1 by bo") != std::string::npos);
  }
  SECTION("expected version")
  {
    m_invocation.m_expectedVersion = 4;
    CHECK(Run({ "publish", Services() }) == ExitCode::Conflict);
  }
  SECTION("outage")
  {
    m_store.SetDown(true);
    CHECK(Run({ "publish", Services() }) == ExitCode::Unavailable);
  }
  SECTION("outage after the write was sent")
  {
    m_store.LoseWriteRequests(1000);
    CHECK(Run({ "publish", Services() }) == ExitCode::OutcomeUnknown);
  }
  SECTION("lost response")
  {
    m_store.LoseWriteResponses(1);
    CHECK(Run({ "publish", Services() }) == ExitCode::Success);
  }
}

// Guards against reporting a version as in effect while a daemon still has an
// older one.
TEST_CASE_METHOD(ToolFixture, "Waiting reports each daemon's version", "[cli]")
{
  m_invocation.m_wait = absl::Milliseconds(500);
  std::atomic<int> polls = 0;
  std::string digest;
  SECTION("all have it after some polls")
  {
    REQUIRE(Run({ "validate", Services() }) == ExitCode::Success);
    const std::string text = m_out.str();
    digest = text.substr(text.find("digest ") + 7, 16);
    m_respond =
      [&](const std::string&, const std::string&, const std::string&) {
        return ++polls <= 2
                 ? StatusWith(nullptr)
                 : StatusWith({ { "version", 1 }, { "digest", digest } });
      };
    CHECK(Run({ "publish", Services() }) == ExitCode::Success);
    CHECK(m_out.str().find("in effect at 2 of 2 daemons") != std::string::npos);
    CHECK(polls == 4);
  }
  SECTION("one daemon lags, another cannot be reached")
  {
    REQUIRE(Run({ "publish", Services() }) == ExitCode::Unavailable);
    WriteFile("b.service.json", MakeService("b"));
    m_respond = [](const std::string& aAddress,
                   const std::string&,
                   const std::string&) -> ClientResponse {
      if (aAddress == "127.0.0.1:24901") {
        throw HttpError("refused", false);
      }
      return StatusWith({ { "version", 1 }, { "digest", "d" } });
    };
    CHECK(Run({ "publish", Services() }) == ExitCode::Unavailable);
    const std::string text = m_out.str();
    CHECK(text.find("not yet:   127.0.0.1:24901 after ") != std::string::npos);
    CHECK(text.find(", refused\n") != std::string::npos);
    CHECK(text.find("not yet:   entry after ") != std::string::npos);
    CHECK(text.find(", version 1\n") != std::string::npos);
    CHECK(text.find("in effect at 0 of 2 daemons") != std::string::npos);
  }
  SECTION("a newer version is in effect, the same with another digest is not")
  {
    m_respond =
      [](const std::string& aAddress, const std::string&, const std::string&) {
        const int version = aAddress == "127.0.0.1:24901" ? 2 : 1;
        return StatusWith({ { "version", version }, { "digest", "other" } });
      };
    m_invocation.m_output = OutputFormat::Json;
    CHECK(Run({ "publish", Services() }) == ExitCode::Unavailable);
    const json daemons = Output()["daemons"];
    CHECK(daemons[0]["in_effect"] == true);
    CHECK(daemons[1]["in_effect"] == false);
    CHECK(daemons[1]["detail"] == "version 1 with a different digest");
  }
  SECTION("a status with an unexpected structure")
  {
    m_respond = [](const std::string&, const std::string&, const std::string&) {
      return StatusWith({ { "version", "one" } });
    };
    CHECK(Run({ "publish", Services() }) == ExitCode::Unavailable);
    CHECK(m_out.str().find("the status has an unexpected form") !=
          std::string::npos);
  }
}

// Guards against a history that does not show who changed what.
TEST_CASE_METHOD(ToolFixture, "The history lists the versions", "[cli]")
{
  CHECK(Run({ "config", "history" }) == ExitCode::Success);
  CHECK(m_out.str() == "no configuration was published yet\n");
  Run({ "publish", Services() });
  WriteFile("b.service.json", MakeService("b"));
  Run({ "publish", Services() });
  CHECK(Run({ "config", "history" }) == ExitCode::Success);
  CHECK(m_out.str().find("2023-11-14 22:13:20Z  ana") != std::string::npos);
  CHECK(m_out.str().find("services: +b\n") != std::string::npos);
  m_invocation.m_output = OutputFormat::Json;
  Run({ "config", "history" });
  CHECK(Output()["versions"].size() == 2);
}
