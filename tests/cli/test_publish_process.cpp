#include "consul/http_client.h"
#include "core/clock.h"
#include "tests/cli/tool_fixture.h"
#include "tests/fakes/child_process.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <memory>

using namespace bramleystall;
using nlohmann::json;

namespace {

/** Runs the tool and the platform stand-in as processes. */
class PublishProcess
{
public:
  PublishProcess()
    : m_platform(BuiltProgram("platform_stand_in"), { "--port=0" })
    , m_url(absl::StrCat("http://127.0.0.1:", m_platform.WaitForPort()))
  {
    for (const char* name : { "ana", "bo" }) {
      m_folder.Write(absl::StrCat(name, ".json"),
                     json{ { "platform", { { "url", m_url } } },
                           { "operator", name },
                           { "admin", { "127.0.0.1:1" } } }
                       .dump());
    }
  }

  /** Creates a configuration folder with one service of the given name. */
  std::string MakeFolder(const std::string& aService) const
  {
    std::string folder = m_folder.Path(aService);
    std::filesystem::create_directories(folder);
    m_folder.Write(absl::StrCat(aService, "/fleet.json"),
                   ToolFixture::MakeFleet().dump());
    m_folder.Write(absl::StrCat(aService, "/a.service.json"),
                   ToolFixture::MakeService(aService).dump());
    return folder;
  }

  /** Starts the tool with JSON output. */
  std::unique_ptr<ChildProcess> Start(const std::string& aOperator,
                                      std::vector<std::string> aArguments) const
  {
    aArguments.emplace_back("--output=json");
    aArguments.push_back(
      absl::StrCat("--settings=", m_folder.Path(aOperator), ".json"));
    return std::make_unique<ChildProcess>(BuiltProgram("bramleystall"),
                                          aArguments);
  }

  static int ExitCodeOf(ChildProcess& aProcess)
  {
    return aProcess.Wait(absl::Seconds(30)).value_or(-1);
  }

  /**
   * Returns the JSON object that a finished process printed. The output may
   * arrive shortly after the process has ended.
   */
  static json OutputOf(const ChildProcess& aProcess)
  {
    const absl::Time end = MonotonicNow() + absl::Seconds(10);
    while (!json::accept(aProcess.Output()) && MonotonicNow() < end) {
      absl::SleepFor(absl::Milliseconds(5));
    }
    INFO(aProcess.Output());
    REQUIRE(json::accept(aProcess.Output()));
    return json::parse(aProcess.Output());
  }

  json History() const
  {
    const auto process = Start("ana", { "config", "history" });
    REQUIRE(ExitCodeOf(*process) == 0);
    return OutputOf(*process)["versions"];
  }

  void SetFaults(const std::string& aJson)
  {
    ClientRequest request;
    request.m_method = "POST";
    request.m_url = absl::StrCat(m_url, "/stand_in/faults");
    request.m_body = aJson;
    REQUIRE(HttpClient().Send(request).m_status == 200);
  }

private:
  ChildProcess m_platform;
  std::string m_url;
  TemporaryFolder m_folder;
};

}

// Guards against two concurrent publishes through the HTTP interface of the
// store that both report their version as accepted.
TEST_CASE_METHOD(PublishProcess,
                 "Of two concurrent processes one succeeds",
                 "[cli][process]")
{
  constexpr int kRounds = 5;
  for (int round = 0; round < kRounds; ++round) {
    const std::string expected = absl::StrCat("--expect_version=", round);
    const auto start = [&](const std::string& aOperator) {
      const std::string folder =
        MakeFolder(absl::StrCat(aOperator, "-", round));
      return Start(aOperator, { "publish", folder, expected });
    };
    const std::array processes = { start("ana"), start("bo") };
    std::array codes = { ExitCodeOf(*processes[0]), ExitCodeOf(*processes[1]) };
    const std::size_t loser = codes[0] == 0 ? 1 : 0;
    const json error = OutputOf(*processes[loser]);
    const std::string winner = loser == 0 ? "bo" : "ana";
    CHECK(error["error"] == "conflict");
    CHECK(error["messages"][0].get<std::string>().find(absl::StrCat(
            "version ", round + 1, " by ", winner)) != std::string::npos);
    std::ranges::sort(codes);
    CHECK(codes == std::array{ 0, 3 });
  }
  CHECK(History().size() == kRounds);
}

// Guards against a publish that is reported as failed, or written twice, when
// the store's response is lost.
TEST_CASE_METHOD(PublishProcess,
                 "The tool resolves a lost response",
                 "[cli][process]")
{
  SetFaults(R"({"lose_write_responses": 1})");
  const auto process = Start("ana", { "publish", MakeFolder("a") });
  CHECK(ExitCodeOf(*process) == 0);
  CHECK(OutputOf(*process)["version"] == 1);
  CHECK(History().size() == 1);
}

// Guards against an exit code other than "unavailable", and against a version
// in the history, when the store was down during a publish.
TEST_CASE_METHOD(PublishProcess,
                 "The tool reports a store that is down",
                 "[cli][process]")
{
  const auto first = Start("ana", { "publish", MakeFolder("a") });
  REQUIRE(ExitCodeOf(*first) == 0);
  SetFaults(R"({"down": true})");
  const auto process = Start("ana", { "publish", MakeFolder("b") });
  CHECK(ExitCodeOf(*process) == 4);
  SetFaults(R"({"down": false})");
  CHECK(History().size() == 1);
}
