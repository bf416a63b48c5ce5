#include "tests/support/temporary_folder.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <sys/wait.h>

#include <cstdio>
#include <string>

using namespace bramleystall;

namespace {

struct ProcessResult
{
  int m_exitCode = -1;
  std::string m_output;
};

/** Runs the built tool; the output contains both output streams. */
ProcessResult
RunProgram(const std::string& aArguments)
{
  const std::string line = absl::StrCat(
    BRAMLEYSTALL_BINARY_DIR, "/bramleystall ", aArguments, " 2>&1");
  ProcessResult result;
  FILE* const pipe = popen(line.c_str(), "r");
  REQUIRE(pipe);
  char buffer[4096];
  while (const std::size_t count = fread(buffer, 1, sizeof(buffer), pipe)) {
    result.m_output.append(buffer, count);
  }
  const int status = pclose(pipe);
  result.m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return result;
}

const std::string kExamples =
  absl::StrCat(BRAMLEYSTALL_SOURCE_DIR, "/examples/cooperative");

}

// Guards against errors in the parsing of flags, which is part of the program
// only; other tests cover the commands without a process.
TEST_CASE("The program parses its flags", "[cli][process]")
{
  CHECK(RunProgram("--help").m_exitCode == 0);
  CHECK(RunProgram("--help").m_output.find("Exit codes:") != std::string::npos);
  CHECK(RunProgram("").m_exitCode == 1);
  CHECK(RunProgram("--no_such_flag").m_exitCode == 1);
  CHECK(RunProgram("validate x --output xml").m_exitCode == 1);
  CHECK(RunProgram("publish x --wait -1").m_exitCode == 1);
  CHECK(RunProgram("publish x --wait soon").m_exitCode == 1);
  const auto valid =
    RunProgram("validate " + kExamples + "/services --output json");
  CHECK(valid.m_exitCode == 0);
  CHECK(valid.m_output.find("\"valid\": true") != std::string::npos);
}

// Guards against an exit code of success with invalid settings or without a
// reachable store or daemon.
TEST_CASE("The exit code identifies the failure", "[cli][process]")
{
  const TemporaryFolder folder;
  folder.Write("fleet.json", "{}");
  CHECK(RunProgram("validate " + folder.Path("")).m_exitCode == 2);
  CHECK(RunProgram("status --settings " + folder.Path("none")).m_exitCode == 2);
  // Port 1 of the loopback address refuses connections.
  const std::string settings = folder.Write(
    "tool.json",
    R"({"platform": {"url": "http://127.0.0.1:1"}, "operator": "ana",
        "admin": ["127.0.0.1:1"]})");
  CHECK(RunProgram("--settings " + settings + " status").m_exitCode == 4);
  CHECK(RunProgram("--settings " + settings + " drain vm1").m_exitCode == 4);
  CHECK(RunProgram("--settings " + settings + " config history").m_exitCode ==
        4);
  CHECK(
    RunProgram("--settings " + settings + " publish " + kExamples + "/services")
      .m_exitCode == 4);
}
