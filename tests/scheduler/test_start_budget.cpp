#include "scheduler/start_budget.h"
#include "tests/fakes/scheduler_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <vector>

using namespace bramleystall;

namespace {

constexpr std::size_t kMaxOpenStarts =
  StartBudget::kDefaultLimit / StartBudget::kStartSize;

JobRecord
MakeWideJob(const std::string& aId, int aTasks)
{
  JobRecord record = JobCluster::MakeJob(aId, aTasks, 1);
  record.m_steps.front().m_need = { .m_cpu = 1, .m_memoryMb = 1 };
  return record;
}

}

// Guards against a job of many small tasks whose starts take all the memory of
// its owner (rule LOST, review case 12).
TEST_CASE_METHOD(SchedulerFixture,
                 "The starts that await a response are bounded",
                 "[scheduler]")
{
  constexpr int kTasks = 5000;
  m_gateway.m_isHoldingStarts = true;
  StartScheduler();
  m_scheduler->OnWorkerReport(JobCluster::MakeReport(0));
  m_scheduler->OnWorkerReport(JobCluster::MakeReport(1));
  m_scheduler->OnWorkersListed();
  m_loop.AdvanceBy(absl::Seconds(1));
  Submit(MakeWideJob("large", kTasks));
  m_loop.AdvanceBy(absl::Milliseconds(300));
  CHECK(m_gateway.m_starts.size() >= kMaxOpenStarts / 2);
  CHECK(m_gateway.m_starts.size() <= kMaxOpenStarts);
  // A part of the budget is left to other jobs.
  Submit(MakeWideJob("small", 4));
  m_loop.AdvanceBy(absl::Milliseconds(300));
  CHECK(std::ranges::count_if(m_gateway.m_starts, [](const StartOrder& aStart) {
          return aStart.m_task.starts_with("small.");
        }) == 4);
  // The others start as responses come.
  m_gateway.m_isHoldingStarts = false;
  m_gateway.DeliverStarts();
  m_loop.AdvanceBy(absl::Seconds(10));
  CHECK(m_workers.StartCount() == kTasks + 4);
  CHECK(m_workers.Violations().empty());
}

// Guards against a budget that loses room, and against jobs that keep out the
// others.
TEST_CASE("Open starts count until they end", "[scheduler]")
{
  constexpr std::int64_t kStarts = 128;
  std::vector<StartBudget::OpenStart> open;
  {
    std::optional<StartBudget> budget(std::in_place,
                                      kStarts * StartBudget::kStartSize);
    while (budget->Allows("large")) {
      open.push_back(budget->Open("large", 0));
    }
    CHECK(open.size() == 96);
    CHECK(budget->TakeRefusal());
    CHECK_FALSE(budget->TakeRefusal());
    open.push_back(budget->Open("small", 0));
    CHECK(budget->Allows("small"));
    open.push_back(budget->Open("small", 0));
    CHECK_FALSE(budget->Allows("small"));
    CHECK(budget->Allows("other"));
    open.erase(open.begin(), open.begin() + 3);
    CHECK(budget->Allows("large"));
    // Texts count with each of their copies.
    open.push_back(budget->Open("large", StartBudget::kStartSize));
    CHECK_FALSE(budget->Allows("large"));
  }
  open.clear();
}
