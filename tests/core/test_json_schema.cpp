#include "core/error.h"
#include "core/json_schema.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

using namespace bramleystall;

namespace {

std::vector<std::string>
ErrorsOf(const std::string& aText)
{
  std::vector<std::string> errors;
  const auto document = ParseChecked(SchemaName::Fleet, "f", aText, errors);
  CHECK(document.is_null() == !errors.empty());
  return errors;
}

/** Valid fleet file with one more member. */
std::string
FleetWith(const std::string& aMember)
{
  return R"({"spare_pool": "spare", "spare_workers": 1, "survive": "vm",
             "team_quotas": {"t": 1}, )" +
         aMember + "}";
}

}

// Guards against a key with control characters that splits its message into
// lines, and against a message that gives the wrong JSON pointer.
TEST_CASE("Messages show unusual keys on one line", "[core]")
{
  CHECK(ErrorsOf(FleetWith(R"("a/b~c\n": 1)"))[0].starts_with(
    "f: /a~1b~0c?: unknown key with value 1, expected one of: "));
  CHECK(ErrorsOf(FleetWith(R"("weights": {"\u00e9[0]": 1})"))[0].starts_with(
    "f: /weights/??[0]: unknown key"));
  CHECK(ErrorsOf(FleetWith(R"("": null)"))[0].starts_with(
    "f: /: unknown key with value null"));
  for (const auto& line : ErrorsOf(FleetWith(R"("x\r\ny": "\n")"))) {
    CHECK(line.find_first_of("\r\n") == std::string::npos);
  }
}

// Guards against a number that is read as another value than the file holds.
TEST_CASE("Unusual numbers are rejected or read exactly", "[core]")
{
  CHECK(ErrorsOf(FleetWith(R"("reboot_timeout_ms": 1e3)")).size() == 1);
  CHECK(ErrorsOf(FleetWith(R"("reboot_timeout_ms": 99999999999999999999)"))
          .size() == 1);
  CHECK(ErrorsOf(FleetWith(R"("reboot_timeout_ms": -1)")).size() == 1);
  CHECK(ErrorsOf(FleetWith(R"("wave_failure_limit": 1e999)")).size() == 1);
  CHECK(ErrorsOf(FleetWith(R"("wave_failure_limit": NaN)")).size() == 1);
  CHECK(ErrorsOf(FleetWith(R"("wave_failure_limit": 1)")).empty());
  CHECK(ErrorsOf(FleetWith(R"("wave_failure_limit": true)"))[0] ==
        "f: /wave_failure_limit: value true, expected a number over 0 and at "
        "most 1");
}

// Guards against a value that is hidden by a second one with the same key.
TEST_CASE("Duplicate keys are found at any depth", "[core]")
{
  CHECK(ErrorsOf(FleetWith(R"("weights": {"moves": 1, "moves": 2})")) ==
        std::vector<std::string>{
          "f: /weights/moves: duplicate key, expected each key once" });
  std::vector<std::string> errors;
  ParseChecked(SchemaName::DaemonSettings,
               "f",
               R"({"peers": {"seeds": [{"daemon": "a"},
                  {"daemon": "b", "daemon": "c"}]}})",
               errors);
  CHECK(errors ==
        std::vector<std::string>{ "f: /peers/seeds/1/daemon: duplicate key, "
                                  "expected each key once" });
}

// Guards against a document of another JSON type that is accepted unchecked.
TEST_CASE("Only objects are accepted", "[core]")
{
  for (const char* text : { "[]", "null", "1", "\"x\"", "true" }) {
    REQUIRE(ErrorsOf(text).size() == 1);
    CHECK(ErrorsOf(text)[0].find("expected an object") != std::string::npos);
  }
  CHECK(ErrorsOf("{} {}")[0].find("not valid JSON") != std::string::npos);
  CHECK(ErrorsOf("{}").size() == 4);
  CHECK(ErrorsOf(std::string("{\0}", 3))[0].find("not valid JSON") !=
        std::string::npos);
}

// Guards against a schema that is not valid JSON itself, which is only detected
// when a file of its kind is read.
TEST_CASE("Each schema rejects unknown keys", "[core]")
{
  for (const SchemaName name : { SchemaName::Service,
                                 SchemaName::Fleet,
                                 SchemaName::DaemonSettings,
                                 SchemaName::ToolSettings }) {
    std::vector<std::string> errors;
    ParseChecked(name, "f", R"({"nothing": 1})", errors);
    CHECK(std::ranges::any_of(errors, [](const std::string& aLine) {
      return aLine.find("unknown key") != std::string::npos;
    }));
  }
}
