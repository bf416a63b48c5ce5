#include "core/daemon_settings.h"
#include "core/error.h"
#include "core/json_schema.h"
#include "core/tool_settings.h"
#include "tests/support/temporary_folder.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>

using namespace bramleystall;
using nlohmann::json;

namespace {

json
MakeValidSettings()
{
  return json::parse(R"({
    "daemon": "entry-1", "data_centre": "dc1",
    "callers": {"address": "127.0.0.1", "port": 24001},
    "admin": {"address": "127.0.0.1", "port": 24002},
    "peers": {"address": "127.0.0.1", "port": 24003, "seeds": [
      {"daemon": "entry-2", "data_centre": "dc1", "address": "127.0.0.1:24103"}
    ]},
    "platform": {"url": "http://127.0.0.1:24500"}
  })");
}

/** The error message for a settings file, or "" when it is accepted. */
std::string
ErrorOf(const std::string& aText)
{
  const TemporaryFolder folder;
  const std::string path = folder.Write("settings.json", aText);
  try {
    LoadDaemonSettings(path);
  } catch (const Error& error) {
    CHECK(error.Code() == ErrorCode::InvalidInput);
    const std::string message = error.what();
    CHECK(message.starts_with(path + ": "));
    return message.substr(path.size() + 2);
  }
  return "";
}

std::string
ErrorAfter(const std::function<void(json&)>& aEdit)
{
  json settings = MakeValidSettings();
  aEdit(settings);
  return ErrorOf(settings.dump());
}

}

// Guards against a setting that is read into the wrong member and against a
// default that is lost.
TEST_CASE("Daemon settings are read with their defaults", "[core]")
{
  const TemporaryFolder folder;
  const std::string path =
    folder.Write("settings.json", MakeValidSettings().dump());
  const DaemonSettings settings = LoadDaemonSettings(path);
  CHECK(settings.m_daemon == "entry-1");
  CHECK(settings.m_callers.m_listen.m_port == 24001);
  CHECK(settings.m_admin.m_port == 24002);
  CHECK(settings.m_peers.m_listen.m_port == 24003);
  REQUIRE(settings.m_peers.m_seeds.size() == 1);
  CHECK(settings.m_peers.m_seeds[0].m_address == "127.0.0.1:24103");
  CHECK(settings.m_callers.m_maxResponseBytes == 8U << 20);
  CHECK(settings.m_platform.m_timeout == absl::Seconds(2));
  CHECK(settings.m_logLevel == LogLevel::Info);
}

// Guards against a daemon that starts with a partial configuration and against
// messages that do not tell the operator which value is wrong.
TEST_CASE("Invalid daemon settings give one line that names the value",
          "[core]")
{
  CHECK(ErrorOf("") == "empty, expected a JSON object");
  CHECK(ErrorOf(" \n").starts_with("empty"));
  CHECK(ErrorOf("{\"daemon\": \n tru").starts_with("line 2, column "));
  CHECK(ErrorOf("{\"daemon\": \n tru").find("not valid JSON") !=
        std::string::npos);
  CHECK(ErrorOf("{\"daemon\": \"\xff\"}").find("invalid UTF-8") !=
        std::string::npos);
  CHECK(ErrorOf(std::string(2'000'000, ' ')) ==
        "too large, expected at most 1000000 bytes");
  CHECK(ErrorOf("{\"admin\":{\"port\":1,\"port\":2}}") ==
        "/admin/port: duplicate key, expected each key once");
  CHECK(ErrorOf(std::string(500'000, '['))
          .find("nested too deep, expected at most 32 levels") !=
        std::string::npos);
  CHECK(ErrorAfter([](json& aJson) { aJson["callers"]["port"] = "80"; }) ==
        "/callers/port: value \"80\", expected an integer at least 1 and at "
        "most 65535");
  CHECK(ErrorAfter([](json& aJson) { aJson["callers"]["port"] = 65536; }) ==
        "/callers/port: value 65536, expected an integer at least 1 and at "
        "most 65535");
  CHECK(ErrorAfter([](json& aJson) {
          aJson["callers"]["port"] = 18446744073709551615ULL;
        }).starts_with("/callers/port: value 18446744073709551615, expected"));
  CHECK(ErrorAfter([](json& aJson) {
          aJson["prot"] = 1;
        }).starts_with("/prot: unknown key with value 1, expected one of: "));
  CHECK(ErrorAfter([](json& aJson) { aJson.erase("platform"); }) ==
        "/platform: missing, expected an object");
  CHECK(ErrorAfter([](json& aJson) { aJson["log"]["level"] = "loud"; }) ==
        "/log/level: value \"loud\", expected one of \"debug\", \"info\", "
        "\"warning\", \"error\"");
  CHECK(ErrorAfter([](json& aJson) {
          aJson["admin"]["address"] = "999.0.0.1";
        }).find("expected an IPv4 address") != std::string::npos);
  CHECK(ErrorAfter([](json& aJson) {
          aJson["admin"]["port"] = 24001;
        }).find("port 24001 is used twice") != std::string::npos);
  CHECK(ErrorAfter([](json& aJson) {
          aJson["peers"]["seeds"][0]["address"] = "127.0.0.1:70000";
        }).starts_with("/peers/seeds/0/address: value \"127.0.0.1:70000\""));
  // A long string must neither make the message long nor exhaust the stack of
  // the pattern matcher.
  const std::string url = ErrorAfter([](json& aJson) {
    aJson["platform"]["url"] = "http://" + std::string(900'000, 'a');
  });
  CHECK(url.starts_with("/platform/url: value \"http://aaa"));
  CHECK(url.size() < 300);
}

// Guards against reporting only the first error, which would make the operator
// fix a file one error at a time.
TEST_CASE("All errors of a settings file are reported at once", "[core]")
{
  const std::string message = ErrorAfter([](json& aJson) {
    aJson["a"] = 1;
    aJson["b"] = 2;
    aJson["admin"]["port"] = 0;
  });
  CHECK(std::ranges::count(message, '\n') == 2);
}

// Guards against a settings file that cannot be opened being read as empty.
TEST_CASE("Unreadable settings files are reported", "[core]")
{
  const TemporaryFolder folder;
  CHECK_THROWS_WITH(LoadDaemonSettings(folder.Path("none.json")),
                    Catch::EndsWith("the file does not exist"));
  CHECK_THROWS_WITH(LoadDaemonSettings(folder.Path("")),
                    Catch::EndsWith("not a regular file"));
}

// Guards against the tool sending requests to an invalid address.
TEST_CASE("Tool settings are read and checked", "[core]")
{
  const TemporaryFolder folder;
  json settings = json::parse(R"({
    "platform": {"url": "http://127.0.0.1:24500", "timeout_ms": 500},
    "admin": ["127.0.0.1:24002"], "operator": "ana"})");
  const ToolSettings tool =
    LoadToolSettings(folder.Write("tool.json", settings.dump()));
  CHECK(tool.m_operator == "ana");
  CHECK(tool.m_platform.m_timeout == absl::Milliseconds(500));
  CHECK(tool.m_adminAddresses == std::vector<std::string>{ "127.0.0.1:24002" });
  settings["admin"][0] = "127.0.0.1:0";
  CHECK_THROWS_WITH(
    LoadToolSettings(folder.Write("tool.json", settings.dump())),
    Catch::Contains("/admin/0: value \"127.0.0.1:0\""));
}

// Guards against limits of the process that are read into the wrong member, or
// under which a daemon cannot serve any request.
TEST_CASE("The limits of the daemon's process are optional and checked",
          "[settings]")
{
  const TemporaryFolder folder;
  json settings = MakeValidSettings();
  const auto load = [&] {
    return LoadDaemonSettings(folder.Write("settings.json", settings.dump()))
      .m_limits;
  };
  CHECK(load().m_memoryMb == 160);
  CHECK(load().m_maxDescriptors == 4100);
  settings.update({ { "memory_mb", 512 },
                    { "max_fds", 8192 },
                    { "request_read_timeout_ms", 10'000 } });
  CHECK(load().m_memoryMb == 512);
  CHECK(load().m_maxDescriptors == 8192);
  CHECK(load().m_requestReadTimeout == absl::Seconds(10));
  for (const char* name :
       { "memory_mb", "max_fds", "request_read_timeout_ms" }) {
    const std::string error =
      ErrorAfter([name](json& aSettings) { aSettings[name] = 1; });
    CHECK(error.starts_with(std::string("/") + name));
  }
}
