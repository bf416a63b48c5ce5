#include "cli/text_table.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace bramleystall;
using nlohmann::json;

// Guards against values that misalign the columns of a table or break its rows.
TEST_CASE("Tables align their columns", "[cli]")
{
  CHECK(FormatTable({ { "A", "BB" }, { "long", "x" }, { "y" } }) ==
        "A     BB\nlong  x\ny\n");
  CHECK(FormatTable({}).empty());
  const json object = {
    { "text", "a\nb\x1b[31m" }, { "empty", "" }, { "number", 3 },
    { "null", nullptr },        { "time", 0 },   { "name", "é" }
  };
  CHECK(TextOf(object, "text") == "a?b?[31m");
  CHECK(TextOf(object, "name") == "é");
  CHECK(TextOf(object, "empty") == "-");
  CHECK(TextOf(object, "number") == "3");
  CHECK(TextOf(object, "none") == "-");
  CHECK(TextOf(json::array(), "none") == "-");
  CHECK(TimeOf(object, "time") == "1970-01-01 00:00:00Z");
  CHECK(TimeOf(object, "text") == "-");
}

// Guards against output from which the nesting of an explanation cannot be
// seen.
TEST_CASE("Objects are printed with indentation", "[cli]")
{
  const json object = { { "a", { { "b", 1 } } },
                        { "c", json::array({ "x", json::array() }) },
                        { "d", json::object() } };
  CHECK(FormatObject(object) == "a:\n  b: 1\nc:\n  - x\n  - none\nd: none\n");
}
