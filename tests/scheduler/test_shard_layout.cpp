#include "core/error.h"
#include "scheduler/job_keys.h"
#include "scheduler/layout_reader.h"
#include "scheduler/shard_layout.h"
#include "tests/fakes/fake_machines.h"
#include "tests/fakes/fake_store.h"

#include <absl/strings/str_cat.h>
#include <boost/log/core.hpp>
#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <set>

using namespace bramleystall;

namespace {

/** Machines of some pools; the pool "spare" is off. */
std::vector<MachineEntry>
MakeMachines(int aPerPool)
{
  std::vector<MachineEntry> machines;
  for (const char* pool : { "alpha", "beta", "gamma", "omega", "spare" }) {
    for (int i = 0; i < aPerPool; ++i) {
      MachineEntry machine;
      machine.m_name = absl::StrCat(pool, "-", i * 7919 % 1000);
      machine.m_pool = pool;
      machine.m_state =
        std::string(pool) == "spare" ? MachineState::Down : MachineState::Up;
      machine.m_labels = { "a", absl::StrCat("rack-", i % 5) };
      machines.push_back(machine);
    }
  }
  return machines;
}

}

TEST_CASE("A small fleet is one shard", "[shards]")
{
  const ShardLayout layout = ShardLayout::Divide(MakeMachines(10), 0);
  REQUIRE(layout.Count() == 1);
  REQUIRE(layout.OfMachine("alpha-0") == 0);
  REQUIRE(layout.OfJob("0123456789abcdef") == 0);
  REQUIRE(layout.OfPool("beta") == 0);
}

// Guards against a shard without machines of some pool or rack, where some jobs
// of the shard could not run.
TEST_CASE("Each shard gets its part of each pool and rack", "[shards]")
{
  const std::vector<MachineEntry> machines = MakeMachines(70);
  const ShardLayout layout = ShardLayout::Divide(machines, 0);
  REQUIRE(layout.Count() == 4);
  std::map<std::pair<int, std::string>, int> ofPool;
  std::set<std::tuple<int, std::string, std::string>> racks;
  for (const MachineEntry& machine : machines) {
    const int shard = layout.OfMachine(machine.m_name);
    ++ofPool[{ shard, machine.m_pool }];
    racks.insert({ shard, machine.m_pool, machine.m_labels[1] });
  }
  REQUIRE(ofPool.size() == 20);
  for (const auto& [key, count] : ofPool) {
    REQUIRE(count >= 17);
    REQUIRE(count <= 18);
  }
  REQUIRE(racks.size() == 4 * 5 * 5);
}

// Guards against one shard with the long-running tasks of two pools, which
// leave no machines for the others (rule LOST, run scale-1 of lican-gt-grown).
TEST_CASE("Working pools have different shards for long-running jobs",
          "[shards]")
{
  const ShardLayout layout = ShardLayout::Divide(MakeMachines(70), 0);
  const std::set<int> shards = { layout.OfPool("alpha"),
                                 layout.OfPool("beta"),
                                 layout.OfPool("gamma"),
                                 layout.OfPool("omega") };
  REQUIRE(shards.size() == 4);
}

TEST_CASE("A layout is decoded as it was encoded", "[shards]")
{
  const ShardLayout layout = ShardLayout::Divide(MakeMachines(70), 1234);
  const ShardLayout read = ShardLayout::Decode(layout.Encode());
  REQUIRE(read.Encode() == layout.Encode());
  REQUIRE(read.CreatedAtMs() == 1234);
  REQUIRE(read.OfMachine("came-later") == layout.OfMachine("came-later"));
  REQUIRE_THROWS_AS(ShardLayout::Decode("{}"), Error);
  REQUIRE_THROWS_AS(
    ShardLayout::Decode(
      R"({"shards":2,"created_at_ms":0,"pools":[],"machines":{"m":2}})"),
    Error);
}

// Guards against daemons that divide the fleet differently.
TEST_CASE("All daemons get the layout that was stored first", "[shards]")
{
  boost::log::core::get()->set_logging_enabled(false);
  EventLoop loop{ EventLoop::ClockMode::Simulated };
  FakeStore store{ loop };
  FakeStoreClient one{ loop, store };
  FakeStoreClient two{ loop, store };
  FakeMachines machines{ loop };
  for (const MachineEntry& machine : MakeMachines(70)) {
    machines.Add(machine);
  }
  std::vector<std::string> layouts;
  const auto note = [&layouts](const ShardLayout& aLayout) {
    layouts.push_back(aLayout.Encode());
  };
  LayoutReader first(loop, one, machines, "one", note);
  one.m_lostCommitResponses = 1;
  LayoutReader second(loop, two, machines, "two", note);
  loop.AdvanceBy(absl::Seconds(4));
  REQUIRE(layouts.size() == 2);
  REQUIRE(layouts[0] == layouts[1]);
  REQUIRE(store.Value(keys::kLayoutKey) == layouts[0]);
  boost::log::core::get()->set_logging_enabled(true);
}

// Guards against a daemon that never schedules because the store was
// unavailable when it started.
TEST_CASE("A layout is read once the store is available", "[shards]")
{
  boost::log::core::get()->set_logging_enabled(false);
  EventLoop loop{ EventLoop::ClockMode::Simulated };
  FakeStore store{ loop };
  FakeStoreClient client{ loop, store };
  FakeMachines machines{ loop };
  machines.Add({ .m_name = "m", .m_pool = "p", .m_state = MachineState::Up });
  client.m_isRefusing = true;
  int layouts = 0;
  LayoutReader reader(
    loop, client, machines, "one", [&layouts](const ShardLayout&) {
      ++layouts;
    });
  loop.AdvanceBy(absl::Seconds(4));
  REQUIRE(layouts == 0);
  client.m_isRefusing = false;
  loop.AdvanceBy(absl::Seconds(4));
  REQUIRE(layouts == 1);
  boost::log::core::get()->set_logging_enabled(true);
}

// Guards against a deployment that never starts because all daemons list the
// machines at once and none gets all pages (run sweep-300 of lican-gt-grown).
TEST_CASE("One of many daemons lists the machines for the layout", "[shards]")
{
  boost::log::core::get()->set_logging_enabled(false);
  EventLoop loop{ EventLoop::ClockMode::Simulated };
  FakeStore store{ loop };
  FakeStoreClient client{ loop, store };
  FakeMachines machines{ loop };
  for (const MachineEntry& machine : MakeMachines(70)) {
    machines.Add(machine);
  }
  int layouts = 0;
  std::vector<std::unique_ptr<LayoutReader>> readers;
  readers.reserve(300);
  for (int i = 0; i < 300; ++i) {
    readers.push_back(std::make_unique<LayoutReader>(
      loop,
      client,
      machines,
      absl::StrCat("daemon-", i),
      [&layouts](const ShardLayout&) { ++layouts; }));
  }
  loop.AdvanceBy(absl::Seconds(3));
  REQUIRE(layouts == 300);
  REQUIRE(machines.ListCount() == 1);
  boost::log::core::get()->set_logging_enabled(true);
}

// Guards against a claim that outlives the daemon that made it.
TEST_CASE("Another daemon creates the layout when the first one fails",
          "[shards]")
{
  boost::log::core::get()->set_logging_enabled(false);
  EventLoop loop{ EventLoop::ClockMode::Simulated };
  FakeStore store{ loop };
  FakeStoreClient client{ loop, store };
  FakeMachines machines{ loop };
  machines.Add({ .m_name = "m", .m_pool = "p", .m_state = MachineState::Up });
  FakeStoreClient dying{ loop, store };
  dying.GrantLease(absl::Seconds(3), [&](const LeaseResult& aLease) {
    StoreTransaction claim;
    claim.m_puts = { { keys::kLayoutMakerKey, "{}", aLease.m_lease } };
    dying.Commit(claim, [](const CommitResult&) {});
  });
  loop.AdvanceBy(absl::Milliseconds(50));
  REQUIRE(store.Has(keys::kLayoutMakerKey));
  int layouts = 0;
  LayoutReader reader(
    loop, client, machines, "one", [&layouts](const ShardLayout&) {
      ++layouts;
    });
  loop.AdvanceBy(absl::Seconds(2));
  REQUIRE(layouts == 0);
  loop.AdvanceBy(absl::Seconds(4));
  REQUIRE(layouts == 1);
  boost::log::core::get()->set_logging_enabled(true);
}
