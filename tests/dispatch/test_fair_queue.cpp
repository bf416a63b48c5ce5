#include "dispatch/fair_queue.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace bramleystall;

namespace {

const absl::Time kStart = absl::UnixEpoch();
const absl::Time kDistantDeadline = kStart + absl::Hours(1);

ServiceSpec
MakeService(const std::string& aName,
            const std::string& aTeam,
            Urgency aUrgency = Urgency::Normal,
            double aWeight = 1)
{
  ServiceSpec service;
  service.m_name = aName;
  service.m_team = aTeam;
  service.m_urgency = aUrgency;
  service.m_weight = aWeight;
  service.m_declared.m_runTime = absl::Seconds(1);
  service.m_queueLimit = 100000;
  return service;
}

void
EnqueueMany(FairQueue& aQueue,
            const std::string& aService,
            int aCount,
            int aFirstId)
{
  for (int i = 0; i < aCount; ++i) {
    REQUIRE_FALSE(
      aQueue.Enqueue(aService, aFirstId + i, kStart, kDistantDeadline)
        .has_value());
  }
}

/** Takes requests without finishing any and counts them by service. */
std::map<std::string, int>
TakeMany(FairQueue& aQueue, int aCount)
{
  std::map<std::string, int> taken;
  for (int i = 0; i < aCount; ++i) {
    const auto request = aQueue.Take();
    REQUIRE(request.has_value());
    ++taken[request->m_service];
  }
  return taken;
}

}

// Guards against urgent work waiting behind less urgent work of its team.
TEST_CASE("Inside a team's quota the most urgent service is first",
          "[dispatch]")
{
  FairQueue queue;
  queue.Configure({ MakeService("background", "a", Urgency::Background),
                    MakeService("urgent", "a", Urgency::Urgent),
                    MakeService("normal", "a") },
                  { { "a", 1.0 } });
  queue.SetSlots(10);
  EnqueueMany(queue, "background", 4, 1);
  EnqueueMany(queue, "normal", 3, 11);
  EnqueueMany(queue, "urgent", 3, 21);
  CHECK(TakeMany(queue, 3) == std::map<std::string, int>{ { "urgent", 3 } });
  CHECK(TakeMany(queue, 3) == std::map<std::string, int>{ { "normal", 3 } });
  CHECK(TakeMany(queue, 4) ==
        std::map<std::string, int>{ { "background", 4 } });
}

// Guards against a team's flood using the quota of another team.
TEST_CASE("A team below its quota is served before a flood", "[dispatch]")
{
  FairQueue queue;
  queue.Configure({ MakeService("flood", "a", Urgency::Urgent, 100),
                    MakeService("other", "b", Urgency::Background) },
                  { { "a", 0.5 }, { "b", 0.5 } });
  queue.SetSlots(20);
  EnqueueMany(queue, "flood", 100, 1);
  CHECK(TakeMany(queue, 12).at("flood") == 12);
  EnqueueMany(queue, "other", 20, 1001);
  CHECK(TakeMany(queue, 8).at("other") == 8);
  CHECK(queue.TeamInFlight("b") == 8);
}

// Guards against less urgent work in lent slots using up the quota of urgent
// work of the same team.
TEST_CASE("Lent slots do not count against more urgent work", "[dispatch]")
{
  FairQueue queue;
  queue.Configure({ MakeService("background", "a", Urgency::Background),
                    MakeService("urgent", "a", Urgency::Urgent),
                    MakeService("other", "b") },
                  { { "a", 0.25 }, { "b", 0.25 } });
  queue.SetSlots(20);
  EnqueueMany(queue, "background", 20, 1);
  CHECK(TakeMany(queue, 15).at("background") == 15);
  EnqueueMany(queue, "other", 20, 101);
  EnqueueMany(queue, "urgent", 5, 201);
  const auto taken = TakeMany(queue, 5);
  CHECK(taken.at("urgent") >= 2);
}

// Guards against slots that stay idle while work waits.
TEST_CASE("Unused quota is lent to any service with work", "[dispatch]")
{
  FairQueue queue;
  queue.Configure({ MakeService("only", "a"), MakeService("idle", "b") },
                  { { "a", 0.1 }, { "b", 0.9 } });
  queue.SetSlots(10);
  EnqueueMany(queue, "only", 10, 1);
  CHECK(TakeMany(queue, 10).at("only") == 10);
}

// Guards against weights being ignored in fair shares, both within a quota and
// for lent slots.
TEST_CASE("Services of equal urgency share by weight", "[dispatch]")
{
  const double quota = GENERATE(0.0, 1.0);
  FairQueue queue;
  queue.Configure({ MakeService("heavy", "a", Urgency::Normal, 3),
                    MakeService("light", "a", Urgency::Normal, 1) },
                  { { "a", quota } });
  queue.SetSlots(40);
  EnqueueMany(queue, "heavy", 100, 1);
  EnqueueMany(queue, "light", 100, 1001);
  const auto taken = TakeMany(queue, 40);
  CHECK(taken.at("heavy") == 30);
  CHECK(taken.at("light") == 10);
}

// Guards against unfair shares over time when a daemon has only one slot, where
// the requests in flight do not distinguish the services.
TEST_CASE("Virtual time shares a single slot by weight", "[dispatch]")
{
  FairQueue queue;
  queue.Configure({ MakeService("heavy", "a", Urgency::Normal, 3),
                    MakeService("light", "a", Urgency::Normal, 1) },
                  { { "a", 1.0 } });
  queue.SetSlots(1);
  EnqueueMany(queue, "heavy", 400, 1);
  EnqueueMany(queue, "light", 400, 1001);
  std::map<std::string, int> taken;
  for (int i = 0; i < 400; ++i) {
    const auto request = queue.Take();
    REQUIRE(request.has_value());
    ++taken[request->m_service];
    queue.Finish(*request, absl::Seconds(1));
  }
  CHECK(taken.at("heavy") == Approx(300).margin(4));
}

// Guards against shares being counted in requests instead of slot time, which
// would give a service with long requests more than its share.
TEST_CASE("Shares count slot time", "[dispatch]")
{
  FairQueue queue;
  queue.Configure({ MakeService("long", "a"), MakeService("short", "a") },
                  { { "a", 1.0 } });
  queue.SetSlots(1);
  EnqueueMany(queue, "long", 2000, 1);
  EnqueueMany(queue, "short", 2000, 10001);
  std::map<std::string, absl::Duration> used;
  for (int i = 0; i < 1000; ++i) {
    const auto request = queue.Take();
    REQUIRE(request.has_value());
    const absl::Duration run =
      request->m_service == "long" ? absl::Seconds(4) : absl::Seconds(1);
    used[request->m_service] += run;
    queue.Finish(*request, run);
  }
  CHECK(absl::FDivDuration(used["long"], used["short"]) ==
        Approx(1).epsilon(0.05));
}

// Guards against an unbounded queue, and against queueing requests that cannot
// be completed before their deadline.
TEST_CASE("Requests that cannot start in time are refused at once",
          "[dispatch]")
{
  FairQueue queue;
  ServiceSpec service = MakeService("a", "a");
  service.m_queueLimit = 30;
  queue.Configure({ service }, { { "a", 1.0 } });
  queue.SetSlots(2);
  const auto offer = [&](int aId, absl::Duration aDeadline) {
    return queue.Enqueue("a", aId, kStart, kStart + aDeadline);
  };
  CHECK(offer(1, absl::ZeroDuration()) == RefusalReason::DeadlinePassed);
  EnqueueMany(queue, "a", 12, 1);
  CHECK(TakeMany(queue, 2).at("a") == 2);
  // Ten requests of 1 s wait for two slots: 5 s.
  CHECK(queue.ExpectedWait("a") == absl::Seconds(5));
  CHECK(offer(50, absl::Seconds(4)) == RefusalReason::WaitExceedsDeadline);
  CHECK_FALSE(offer(51, absl::Seconds(7)).has_value());
  EnqueueMany(queue, "a", 19, 100);
  CHECK(offer(52, absl::Hours(1)) == RefusalReason::QueueFull);
  CHECK(queue.Enqueue("b", 53, kStart, kDistantDeadline) ==
        RefusalReason::UnknownService);
}

// Guards against a daemon without slot tokens refusing all requests. It would
// never get any, since tokens are granted only to daemons with queued requests.
TEST_CASE("Without slots requests are queued", "[dispatch]")
{
  FairQueue queue;
  queue.Configure({ MakeService("a", "a") }, { { "a", 1.0 } });
  EnqueueMany(queue, "a", 5, 1);
  CHECK(queue.ExpectedWait("a") == absl::ZeroDuration());
}

// Guards against requests being run after their deadline or after their caller
// disconnected, and against stale entries in the indexes by id and deadline.
TEST_CASE("Expired and cancelled requests leave the queue", "[dispatch]")
{
  FairQueue queue;
  queue.Configure({ MakeService("a", "a"), MakeService("b", "a") },
                  { { "a", 1.0 } });
  queue.SetSlots(100);
  for (int i = 0; i < 10; ++i) {
    queue.Enqueue(i % 2 ? "a" : "b", i, kStart, kStart + absl::Seconds(i + 1));
  }
  CHECK(queue.Cancel(9));
  CHECK_FALSE(queue.Cancel(9));
  const auto expired = queue.RemoveExpired(kStart + absl::Seconds(4));
  CHECK(expired.size() == 4);
  CHECK(queue.Queued() == 5);
  CHECK_FALSE(queue.Cancel(0));
  TakeMany(queue, 5);
  CHECK(queue.RemoveExpired(kDistantDeadline).empty());
}

// Guards against a request losing its position in the queue when its dispatch
// is undone or it is retried, and against it still counting as in flight.
TEST_CASE("A returned request keeps its place", "[dispatch]")
{
  FairQueue queue;
  queue.Configure({ MakeService("a", "a") }, { { "a", 1.0 } });
  queue.SetSlots(10);
  EnqueueMany(queue, "a", 3, 1);
  auto first = queue.Take();
  REQUIRE(first->m_id == 1);
  queue.UndoTake(std::move(*first));
  CHECK(queue.InFlight("a") == 0);
  first = queue.Take();
  CHECK(first->m_id == 1);
  queue.Finish(*first, absl::Seconds(1));
  CHECK(queue.Requeue(*first));
  CHECK(queue.Take()->m_id == 1);
  CHECK(queue.Take()->m_id == 2);
}

// Guards against requests being lost or double counted when the configuration
// changes while they wait or run.
TEST_CASE("A new configuration keeps the work of services that stay",
          "[dispatch]")
{
  FairQueue queue;
  queue.Configure({ MakeService("stay", "a"), MakeService("go", "a") },
                  { { "a", 1.0 } });
  queue.SetSlots(10);
  EnqueueMany(queue, "go", 3, 1);
  EnqueueMany(queue, "stay", 3, 11);
  std::vector<QueuedRequest> taken = { *queue.Take(), *queue.Take() };
  const auto removed =
    queue.Configure({ MakeService("stay", "b") }, { { "b", 0.5 } });
  CHECK(removed.size() == 2);
  CHECK(queue.Queued() == 2);
  CHECK(queue.TeamInFlight("b") == 1);
  for (const QueuedRequest& request : taken) {
    queue.Finish(request, absl::Seconds(1));
  }
  CHECK(queue.TeamInFlight("b") == 0);
  CHECK_FALSE(queue.Requeue(removed.front()));
}

// Guards against any request being lost, repeated or reordered inside its
// service under random operations, compared with a plain list.
TEST_CASE("Random operations agree with a naive list", "[dispatch]")
{
  const auto seed = GENERATE(1U, 2U, 3U);
  CAPTURE(seed);
  std::mt19937 random(seed);
  const auto randomBelow = [&random](int aMax) {
    return std::uniform_int_distribution<int>(0, aMax - 1)(random);
  };
  FairQueue queue;
  const std::vector<std::string> names = { "a", "b", "c" };
  queue.Configure({ MakeService("a", "x", Urgency::Urgent),
                    MakeService("b", "x"),
                    MakeService("c", "y") },
                  { { "x", 0.5 }, { "y", 0.3 } });
  queue.SetSlots(16);
  std::map<std::string, std::vector<std::uint64_t>> waiting;
  std::vector<QueuedRequest> inFlight;
  std::uint64_t nextId = 1;
  for (int step = 0; step < 20000; ++step) {
    const int action = randomBelow(10);
    if (action < 4) {
      const std::string& name = names[randomBelow(3)];
      REQUIRE_FALSE(
        queue.Enqueue(name, nextId, kStart, kDistantDeadline).has_value());
      waiting[name].push_back(nextId++);
    } else if (action < 7) {
      const auto taken = queue.Take();
      const bool anyWaits = std::ranges::any_of(
        waiting, [](const auto& aEntry) { return !aEntry.second.empty(); });
      REQUIRE(taken.has_value() == anyWaits);
      if (taken) {
        auto& list = waiting[taken->m_service];
        REQUIRE(list.front() == taken->m_id);
        list.erase(list.begin());
        inFlight.push_back(*taken);
      }
    } else if (action < 9 && !inFlight.empty()) {
      const int index = randomBelow(static_cast<int>(inFlight.size()));
      queue.Finish(inFlight[index], absl::Milliseconds(randomBelow(2000)));
      inFlight.erase(inFlight.begin() + index);
    } else if (nextId > 1) {
      const std::uint64_t id = 1 + randomBelow(static_cast<int>(nextId) - 1);
      int removed = 0;
      for (auto& [name, list] : waiting) {
        removed += static_cast<int>(std::erase(list, id));
      }
      REQUIRE(queue.Cancel(id) == (removed == 1));
    }
    std::size_t total = 0;
    for (const auto& [name, list] : waiting) {
      total += list.size();
      REQUIRE(queue.Queued(name) == static_cast<int>(list.size()));
    }
    REQUIRE(queue.Queued() == static_cast<int>(total));
  }
  CHECK(queue.InFlight("a") + queue.InFlight("b") + queue.InFlight("c") ==
        static_cast<int>(inFlight.size()));
}
