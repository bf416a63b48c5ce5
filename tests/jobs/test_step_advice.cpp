#include "jobs/step_advice.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace bramleystall;

namespace {

const absl::Time kNow = absl::UnixEpoch();
const absl::Time kValidUntil = kNow + absl::Seconds(3);

std::vector<AdvisedWorker>
MakeWorkers(int aCount)
{
  std::vector<AdvisedWorker> workers;
  workers.reserve(static_cast<std::size_t>(aCount));
  for (int i = 0; i < aCount; ++i) {
    workers.push_back({ "worker-" + std::to_string(i), 1 });
  }
  return workers;
}

/** Asks about the candidates once, and gets the tickets. */
std::vector<AdvisedWorker>
Ask(StepAdvice& aAdvice,
    const std::vector<AdvisedWorker>& aCandidates,
    const std::map<std::string, std::string>& aTickets,
    absl::Time aNow = kNow)
{
  auto asked = aAdvice.ChooseToAsk(aCandidates, 30, aNow);
  aAdvice.OnRequested();
  aAdvice.OnResponse(asked, aTickets, aNow + absl::Seconds(3));
  return asked;
}

}

// Guards against asking about the same workers again and again, while those
// behind them are never named.
TEST_CASE("Each worker is asked about once before any is asked again", "[jobs]")
{
  const auto workers = MakeWorkers(70);
  StepAdvice advice;
  std::set<AdvisedWorker> asked;
  for (int i = 0; i < 3; ++i) {
    for (const AdvisedWorker& worker : Ask(advice, workers, {})) {
      CHECK(asked.insert(worker).second);
    }
  }
  CHECK(asked.size() == workers.size());
  CHECK(Ask(advice, workers, {}).empty());
}

// Guards against a start with a ticket that has expired, and against asking
// about the workers that are not allowed when one expires.
TEST_CASE("Only expired tickets are asked for again", "[jobs]")
{
  const auto workers = MakeWorkers(5);
  StepAdvice advice;
  Ask(advice, workers, { { "worker-2", "ticket" } });
  REQUIRE(advice.FindTicket(workers[2], kNow) != nullptr);
  CHECK(*advice.FindTicket(workers[2], kNow) == "ticket");
  CHECK(advice.FindTicket(workers[1], kNow) == nullptr);
  CHECK(advice.ChooseToAsk(workers, 30, kNow).empty());
  CHECK(advice.FindTicket(workers[2], kValidUntil) == nullptr);
  CHECK(advice.ChooseToAsk(workers, 30, kValidUntil) ==
        std::vector{ workers[2] });
}

// Guards against allowed workers whose room cannot be used: asking for their
// tickets again must not keep the others from being asked about.
TEST_CASE("Expired tickets leave room for workers not asked about", "[jobs]")
{
  const auto workers = MakeWorkers(60);
  std::map<std::string, std::string> tickets;
  for (const AdvisedWorker& worker : workers) {
    tickets[worker.m_id] = "ticket";
  }
  StepAdvice advice;
  Ask(advice, workers, tickets);
  const auto asked = advice.ChooseToAsk(workers, 30, kValidUntil);
  CHECK(asked.size() == 30);
  CHECK(std::ranges::count_if(asked, [&](const AdvisedWorker& aWorker) {
          return std::ranges::find(workers, aWorker) - workers.begin() >= 30;
        }) == 15);
}

// Guards against a worker that comes back as another kind and is still taken
// for allowed, or for not allowed.
TEST_CASE("A new incarnation of a worker is asked about", "[jobs]")
{
  const AdvisedWorker before{ "worker-0", 1 };
  const AdvisedWorker after{ "worker-0", 2 };
  StepAdvice advice;
  Ask(advice, { before }, { { "worker-0", "ticket" } });
  CHECK(advice.FindTicket(after, kNow) == nullptr);
  CHECK(advice.ChooseToAsk({ after }, 30, kNow) == std::vector{ after });
}

// Guards against requests in a tight loop, and against two at once.
TEST_CASE("The next request waits for the last one and its delay", "[jobs]")
{
  const auto workers = MakeWorkers(1);
  StepAdvice advice;
  advice.OnRequested();
  CHECK(advice.ChooseToAsk(workers, 30, kNow).empty());
  advice.OnFailure(kNow + absl::Seconds(1));
  CHECK(advice.ChooseToAsk(workers, 30, kNow).empty());
  CHECK(advice.ChooseToAsk(workers, 30, kNow + absl::Seconds(1)) == workers);
  Ask(advice, workers, { { "worker-0", "ticket" } }, kNow + absl::Seconds(1));
  advice.OnTicketRejected("worker-0", kNow + absl::Seconds(2));
  CHECK(advice.FindTicket(workers[0], kNow + absl::Seconds(1)) == nullptr);
  CHECK(advice.ChooseToAsk(workers, 30, kNow + absl::Seconds(1)).empty());
  CHECK(advice.ChooseToAsk(workers, 30, kNow + absl::Seconds(2)) == workers);
}
