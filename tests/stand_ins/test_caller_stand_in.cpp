#include "consul/http_client.h"
#include "tests/fakes/child_process.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <cstdio>
#include <fstream>
#include <string>

#include <unistd.h>

using namespace bramleystall;

namespace {

/** Two targets that the caller uses as daemons, and a plan. */
class CallerFixture
{
public:
  CallerFixture()
    : m_first(BuiltProgram("target_stand_in"), { "--port=0" })
    , m_second(BuiltProgram("target_stand_in"), { "--port=0" })
    , m_plan(absl::StrCat(BRAMLEYSTALL_BINARY_DIR "/caller_plan_",
                          getpid(),
                          ".json"))
  {
    std::ofstream(m_plan) << R"([{"service":"pay","method":"POST",
      "path":"/pay","rate":60,"work_ms":10,"deadline_ms":2000}])";
  }
  ~CallerFixture() { std::remove(m_plan.c_str()); }
  CallerFixture(const CallerFixture&) = delete;
  CallerFixture& operator=(const CallerFixture&) = delete;

  std::string Address(ChildProcess& aTarget)
  {
    return absl::StrCat("127.0.0.1:", aTarget.WaitForPort());
  }

  void SetFaults(ChildProcess& aTarget, const std::string& aJson)
  {
    ClientRequest request;
    request.m_method = "POST";
    request.m_url =
      absl::StrCat("http://", Address(aTarget), "/stand_in/faults");
    request.m_body = aJson;
    REQUIRE(HttpClient().Send(request).m_status == 200);
  }

  /** Runs the caller for 1 s; returns its exit code and its summary lines. */
  std::pair<int, std::string> Run(std::vector<std::string> aFlags = {})
  {
    const auto both = absl::StrCat(Address(m_first), ",", Address(m_second));
    aFlags.push_back(absl::StrCat("--plan=", m_plan));
    aFlags.push_back(absl::StrCat("--daemons=", both));
    aFlags.push_back(absl::StrCat("--targets=", both));
    aFlags.emplace_back("--seconds=1");
    ChildProcess caller(BuiltProgram("caller_stand_in"), aFlags);
    const auto code = caller.Wait(absl::Seconds(30));
    REQUIRE(code.has_value());
    const std::string output = caller.FinalOutput();
    const auto summary = output.find("false_refusals=");
    REQUIRE(summary != std::string::npos);
    return { *code, output.substr(summary) };
  }

  ChildProcess m_first;
  ChildProcess m_second;
  std::string m_plan;
};

}

// Guards against a caller that reports faults although each request ran once
// and received its response.
TEST_CASE("The caller reports no faults after a clean run", "[process]")
{
  CallerFixture fixture;
  const auto [code, summary] = fixture.Run();
  CAPTURE(summary);
  CHECK(code == 0);
  CHECK(absl::StrContains(summary, "lost=0 doubled=0 cut=0"));
  CHECK_FALSE(absl::StrContains(summary, "sent=0"));
}

// Guards against a caller that misses a request that ran twice or a truncated
// response, or that counts connections broken by a killed daemon as a fault.
TEST_CASE("The caller reports doubled and cut requests", "[process]")
{
  CallerFixture fixture;
  SECTION("a request runs twice")
  {
    const auto [code, summary] = fixture.Run({ "--resend_fraction=0.5" });
    CAPTURE(summary);
    CHECK(code == 1);
    CHECK_FALSE(absl::StrContains(summary, "doubled=0"));
    CHECK(absl::StrContains(summary, "cut=0"));
  }
  SECTION("a target truncates its responses")
  {
    fixture.SetFaults(fixture.m_first, R"({"truncate":true})");
    const auto [code, summary] = fixture.Run({ "--max_attempts=1" });
    CAPTURE(summary);
    CHECK(code == 1);
    CHECK_FALSE(absl::StrContains(summary, "cut=0"));
    CHECK(absl::StrContains(summary, "doubled=0"));
  }
  SECTION("a daemon is killed on purpose")
  {
    fixture.SetFaults(fixture.m_first, R"({"close_after_read":true})");
    const auto killed =
      absl::StrCat("--killed_daemons=", fixture.Address(fixture.m_first));
    const auto [code, summary] = fixture.Run({ killed, "--max_attempts=1" });
    CAPTURE(summary);
    CHECK(code == 0);
    CHECK_FALSE(absl::StrContains(summary, "unknown=0"));
    CHECK(absl::StrContains(summary, "cut=0"));
  }
}
