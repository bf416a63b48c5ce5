#include "scheduler/job_keys.h"
#include "scheduler/progress_writer.h"
#include "tests/fakes/fake_store.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

using namespace bramleystall;

namespace {

const std::string kOwnerKey = keys::ShardKeys(0).Owner();

struct WriterFixture
{
  WriterFixture()
  {
    m_store.Set(kOwnerKey, "owner");
    m_fencingToken = m_store.List(kOwnerKey, "").m_items.front().m_revision;
    m_writer = std::make_unique<ProgressWriter>(
      m_loop, m_client, kOwnerKey, m_fencingToken);
  }

  EventLoop m_loop{ EventLoop::ClockMode::Simulated };
  FakeStore m_store{ m_loop };
  FakeStoreClient m_client{ m_loop, m_store };
  std::int64_t m_fencingToken = 0;
  std::unique_ptr<ProgressWriter> m_writer;
};

}

TEST_CASE_METHOD(WriterFixture,
                 "Documents that come together share a transaction",
                 "[progress]")
{
  for (int i = 0; i < 10; ++i) {
    m_writer->Put(absl::StrCat("doc", i), "text");
  }
  bool isStored = false;
  m_writer->AfterStored([&isStored] { isStored = true; });
  m_loop.AdvanceBy(absl::Milliseconds(50));
  REQUIRE(isStored);
  REQUIRE(m_client.m_commitCount == 1);
  REQUIRE(m_store.Value("doc9") == "text");
}

// Guards against a worker that drops a task end before the job's progress is
// stored.
TEST_CASE_METHOD(WriterFixture,
                 "The hook waits until the store has all documents",
                 "[progress]")
{
  m_client.m_isRefusing = true;
  m_writer->Put("doc", "text");
  bool isStored = false;
  m_writer->AfterStored([&isStored] { isStored = true; });
  m_loop.AdvanceBy(absl::Seconds(1));
  REQUIRE_FALSE(isStored);
  REQUIRE(m_writer->IsBehind());
  m_client.m_isRefusing = false;
  m_loop.AdvanceBy(absl::Milliseconds(400));
  REQUIRE(isStored);
  REQUIRE_FALSE(m_writer->IsBehind());
}

// Guards against a write without a response that blocks all later ones.
TEST_CASE_METHOD(WriterFixture,
                 "A write whose response was lost is followed by newer ones",
                 "[progress]")
{
  m_client.m_lostCommitResponses = 1;
  m_writer->Put("doc", "old");
  m_loop.AdvanceBy(absl::Milliseconds(100));
  m_writer->Put("doc", "new");
  m_loop.AdvanceBy(absl::Seconds(3));
  REQUIRE(m_store.Value("doc") == "new");
}

// Guards against a delay of all documents of a transaction when one of them was
// written by the previous owner.
TEST_CASE_METHOD(WriterFixture,
                 "A document with an unknown revision is stored at once",
                 "[progress]")
{
  m_store.Set("status", "of the previous owner");
  m_writer->Put("status", "new");
  m_writer->Put("doc", "text");
  m_loop.AdvanceBy(absl::Milliseconds(60));
  REQUIRE(m_store.Value("status") == "new");
  REQUIRE(m_store.Value("doc") == "text");
}

// Guards against a document that is written again after it was replaced, and
// against a replacement that is lost with the response of an earlier write.
TEST_CASE_METHOD(WriterFixture,
                 "A document is replaced although a response is lost",
                 "[progress]")
{
  m_writer->Put("doc", "first");
  m_loop.AdvanceBy(absl::Milliseconds(50));
  m_client.m_lostCommitResponses = 2;
  m_writer->Put("doc", "second");
  m_loop.AdvanceBy(absl::Milliseconds(30));
  m_store.Set("record", "text");
  m_writer->Replace(
    "doc",
    { .m_put = StorePut{ "entry", "final" }, .m_removals = { "record" } });
  bool isStored = false;
  m_writer->AfterStored([&isStored] { isStored = true; });
  m_loop.AdvanceBy(absl::Seconds(5));
  REQUIRE(isStored);
  REQUIRE_FALSE(m_store.Has("doc"));
  REQUIRE_FALSE(m_store.Has("record"));
  REQUIRE(m_store.Value("entry") == "final");
}

// Guards against a previous owner that overwrites the progress of a later one.
TEST_CASE_METHOD(WriterFixture,
                 "Nothing is written once the owner key has changed",
                 "[progress]")
{
  m_store.Set(kOwnerKey, "another owner");
  m_writer->Put("doc", "text");
  m_loop.AdvanceBy(absl::Seconds(2));
  REQUIRE_FALSE(m_store.Has("doc"));
}
