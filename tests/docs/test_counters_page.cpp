#include "dispatch/refusal_reason.h"
#include "dispatch/retry_reason.h"
#include "dispatch/unknown_reason.h"
#include "fleet/plan_reason.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

using namespace bramleystall;

namespace {

std::string
ReadText(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath);
  REQUIRE(file);
  return { std::istreambuf_iterator<char>(file), {} };
}

std::string
CountersPage()
{
  return ReadText(
    absl::StrCat(BRAMLEYSTALL_SOURCE_DIR, "/docs/operators/counters.md"));
}

/** Text of a section, from its heading to the next one of the same level. */
std::string
Section(const std::string& aPage, const std::string& aHeading)
{
  const std::size_t start = aPage.find(absl::StrCat("\n## ", aHeading, "\n"));
  REQUIRE(start != std::string::npos);
  return aPage.substr(start, aPage.find("\n## ", start + 1) - start);
}

/** Checks that the section has a table row for each name of a name table. */
template<typename Table>
void
CheckRows(const Table& aTable, const std::string& aHeading)
{
  const std::string section = Section(CountersPage(), aHeading);
  for (const auto& [value, name] : aTable) {
    INFO(aHeading << ": " << std::string(name));
    CHECK(section.find(absl::StrCat("\n| `", std::string(name), "` | ")) !=
          std::string::npos);
  }
}

/** Names of counters and histograms in the sources of the daemon. */
std::set<std::string>
MetricNames()
{
  const std::regex pattern("\"([a-z_]+_(total|seconds))\"");
  std::set<std::string> names;
  for (const char* folder :
       { "consul", "cluster", "net", "server", "scheduler", "daemon" }) {
    const std::filesystem::path root =
      absl::StrCat(BRAMLEYSTALL_SOURCE_DIR, "/", folder);
    for (const auto& entry : std::filesystem::directory_iterator(root)) {
      const std::string text = ReadText(entry.path());
      for (std::sregex_iterator it(text.begin(), text.end(), pattern), end;
           it != end;
           ++it) {
        names.insert((*it)[1]);
      }
    }
  }
  return names;
}

}

// Guards against a reason that the software reports to operators but that the
// counters page does not explain, for instance after a new reason was added.
TEST_CASE("Each reason is documented", "[docs]")
{
  CheckRows(kRefusalReasonNames, "Refusals");
  CheckRows(kRetryReasonNames, "Retries");
  CheckRows(kUnknownReasonNames, "Unknown outcomes");
  CheckRows(kPlanReasonNames, "Reasons of decisions");
}

// Guards against a metric that was added or renamed in the sources, but not on
// the counters page.
TEST_CASE("Each counter and histogram is documented", "[docs]")
{
  const std::string page = CountersPage();
  const std::set<std::string> names = MetricNames();
  CHECK(names.size() > 20);
  for (const std::string& name : names) {
    INFO(name);
    CHECK(page.find(absl::StrCat("`", name)) != std::string::npos);
  }
}
