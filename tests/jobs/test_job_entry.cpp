#include "jobs/job_entry.h"

#include <catch2/catch.hpp>

using namespace bramleystall;

// Guards against a tombstone that is taken for the entry of a job, also by
// earlier versions, which expect a shard in each entry.
TEST_CASE("A tombstone is no entry of a job", "[jobs]")
{
  const std::string text = EncodeJobEntry({ .m_cancelledBy = { { "a", "" } } });
  CHECK(text == R"({"cancelled_by":["a",""]})");
  const auto tombstone = DecodeJobEntry(text);
  REQUIRE(tombstone);
  CHECK(tombstone->IsTombstone());
  CHECK(tombstone->IsCancelledBy("a"));
  CHECK(tombstone->IsCancelledBy(""));
  CHECK_FALSE(tombstone->IsCancelledBy("b"));
  const auto entry = DecodeJobEntry(EncodeJobEntry({ .m_shard = 3 }));
  REQUIRE(entry);
  CHECK_FALSE(entry->IsTombstone());
  CHECK_FALSE(entry->IsCancelledBy(""));
}

// Guards against a malformed tombstone that ends the process or refuses jobs.
TEST_CASE("A malformed tombstone is rejected", "[jobs]")
{
  for (const char* text : { R"({"cancelled_by":"a"})",
                            R"({"cancelled_by":[5]})",
                            R"({"cancelled_by":null,"shard":0})" }) {
    CAPTURE(text);
    CHECK_FALSE(DecodeJobEntry(text));
  }
}
