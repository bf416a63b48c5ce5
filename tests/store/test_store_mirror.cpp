#include "store/store_mirror.h"
#include "tests/fakes/fake_store.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace bramleystall;

namespace {

struct MirrorFixture
{
  void Follow(absl::Duration aWatchDelay = absl::ZeroDuration())
  {
    m_mirror = std::make_unique<StoreMirror>(
      m_loop,
      m_client,
      "jobs/",
      [this](const StoreItem& aItem) {
        if (aItem.m_isRemoved) {
          m_seen.erase(aItem.m_key);
        } else {
          m_seen[aItem.m_key] = aItem.m_value;
        }
      },
      [](bool) {},
      aWatchDelay);
  }

  EventLoop m_loop{ EventLoop::ClockMode::Simulated };
  FakeStore m_store{ m_loop };
  FakeStoreClient m_client{ m_loop, m_store };
  std::map<std::string, std::string> m_seen;
  std::unique_ptr<StoreMirror> m_mirror;
};

}

TEST_CASE_METHOD(MirrorFixture,
                 "A mirror reads all pages and follows changes",
                 "[mirror]")
{
  for (int i = 0; i < 20; ++i) {
    m_store.Set(absl::StrCat("jobs/", i), "old");
  }
  m_store.Set("other/1", "not followed");
  Follow();
  m_loop.AdvanceBy(absl::Milliseconds(100));
  REQUIRE(m_seen.size() == 20);
  m_store.Set("jobs/3", "new");
  m_store.Remove("jobs/4");
  m_loop.AdvanceBy(absl::Milliseconds(50));
  REQUIRE(m_seen.at("jobs/3") == "new");
  REQUIRE(m_seen.size() == 19);
}

// Guards against a mirror that still holds keys whose removal was lost when the
// store compacted its history.
TEST_CASE_METHOD(MirrorFixture,
                 "A mirror detects removals after the history was compacted",
                 "[mirror]")
{
  m_store.Set("jobs/1", "one");
  m_store.Set("jobs/2", "two");
  Follow();
  m_loop.AdvanceBy(absl::Milliseconds(100));
  m_client.m_isPartitioned = true;
  m_loop.AdvanceBy(absl::Seconds(2));
  m_store.Remove("jobs/1");
  m_store.Set("jobs/3", "three");
  m_store.Compact();
  m_client.m_isPartitioned = false;
  m_loop.AdvanceBy(absl::Seconds(4));
  REQUIRE(m_mirror->IsSynchronized());
  REQUIRE(m_seen == std::map<std::string, std::string>{
                      { "jobs/2", "two" }, { "jobs/3", "three" } });
}

TEST_CASE_METHOD(
  MirrorFixture,
  "A mirror reports that the store is unavailable and available again",
  "[mirror]")
{
  Follow();
  m_loop.AdvanceBy(absl::Milliseconds(100));
  REQUIRE(m_mirror->IsSynchronized());
  m_client.m_isRefusing = true;
  m_loop.AdvanceBy(absl::Seconds(2));
  REQUIRE_FALSE(m_mirror->IsSynchronized());
  m_client.m_isRefusing = false;
  m_loop.AdvanceBy(absl::Seconds(3));
  REQUIRE(m_mirror->IsSynchronized());
}

// Guards against one store call per change: with frequent changes of the
// workers' entries, a large deployment made 16,000 calls a day.
TEST_CASE_METHOD(MirrorFixture,
                 "Changes within the watch delay share a call",
                 "[mirror]")
{
  Follow(absl::Milliseconds(100));
  m_loop.AdvanceBy(absl::Milliseconds(50));
  const int before = m_client.m_watchCount;
  for (int i = 0; i < 50; ++i) {
    m_store.Set(absl::StrCat("jobs/", i), "text");
    m_loop.AdvanceBy(absl::Milliseconds(10));
  }
  m_loop.AdvanceBy(absl::Milliseconds(150));
  REQUIRE(m_seen.size() == 50);
  REQUIRE(m_client.m_watchCount - before <= 8);
}
