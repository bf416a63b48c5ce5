#include "jobs/task.h"
#include "jobs/worker.h"
#include "scheduler/release_proof.h"
#include "scheduler/scheduling_limits.h"

#include <catch2/catch.hpp>

#include <optional>
#include <set>
#include <string>

using namespace bramleystall;

namespace {

const std::string kWorker = "worker-0";
constexpr std::int64_t kFence = 7;
const absl::Time kTime = absl::FromUnixSeconds(1000);

/** Moments of one iteration of the event loop, whose times are equal. */
Moment
At(std::uint64_t aNumber)
{
  return { .m_number = aNumber, .m_time = kTime };
}

/** A task whose start was answered at moment 10. */
Task
MakeRunning()
{
  Task task;
  task.m_phase = TaskPhase::Running;
  task.m_worker = kWorker;
  task.m_attempt = 3;
  task.m_orderedAt = kTime;
  task.m_startFence = kFence;
  task.m_isStartAnswered = true;
  task.m_begunBy = At(10);
  return task;
}

/** A task whose start got no response. */
Task
MakeUnresolved()
{
  Task task = MakeRunning();
  task.m_phase = TaskPhase::Unresolved;
  task.m_isStartAnswered = false;
  task.m_begunBy = {};
  return task;
}

/** A running task whose stop was acknowledged at moment 20. */
Task
MakeStopped()
{
  Task task = MakeRunning();
  task.m_phase = TaskPhase::Stopping;
  task.m_stopAckedAt = At(20);
  return task;
}

/** An empty list of the worker that was asked for at a moment. */
TaskList
MakeList(std::uint64_t aSentAt)
{
  return { .m_worker = kWorker,
           .m_sentAt = At(aSentAt),
           .m_fence = kFence,
           .m_hasAllEnds = true,
           .m_tasks = {} };
}

/** Reason of the proof that a list gives for a task; unset without one. */
std::optional<ReleaseReason>
ReasonFor(const Task& aTask, const TaskList& aList)
{
  const auto proof = ReleaseProof::FromList(aTask, aList);
  return proof ? std::optional(proof->Reason()) : std::nullopt;
}

}

// Guards against a list that was made before a run began and is taken for its
// end (rule TWICE, issue 34).
TEST_CASE("Only a list from after a run's start proves its end",
          "[release_proof]")
{
  const Task task = MakeRunning();
  CHECK_FALSE(ReasonFor(task, MakeList(9)));
  CHECK_FALSE(ReasonFor(task, MakeList(10)));
  CHECK(ReasonFor(task, MakeList(11)) == ReleaseReason::NotListed);
}

// Guards against a list that was sent before a stop's acknowledgement was read
// and is taken for the stop's end, as both have the time of one iteration (rule
// TWICE, issue 34).
TEST_CASE("Only a list from after a stop's acknowledgement proves the stop",
          "[release_proof]")
{
  Task task = MakeStopped();
  CHECK_FALSE(ReasonFor(task, MakeList(11)));
  CHECK_FALSE(ReasonFor(task, MakeList(19)));
  CHECK_FALSE(ReasonFor(task, MakeList(20)));
  CHECK(ReasonFor(task, MakeList(21)) == ReleaseReason::Stopped);
  task.m_begunBy = At(30);
  CHECK_FALSE(ReasonFor(task, MakeList(21)));
  task.m_stopAckedAt.reset();
  CHECK_FALSE(ReasonFor(task, MakeList(40)));
}

// Guards against a list that proves the end of a task that it names, of one
// that is not to run there, or of one whose end may not be listed yet (rule
// TWICE).
TEST_CASE("A list proves nothing about tasks that it does not cover",
          "[release_proof]")
{
  Task task = MakeRunning();
  TaskList list = MakeList(11);
  REQUIRE(ReasonFor(task, list));
  SECTION("the task is listed")
  {
    list.m_tasks = { &task };
  }
  SECTION("not all ends are listed")
  {
    list.m_hasAllEnds = false;
  }
  SECTION("another worker")
  {
    list.m_worker = "worker-1";
  }
  SECTION("the start is not sent yet")
  {
    task.m_isStartUnsent = true;
  }
  SECTION("the task waits for the store's lease")
  {
    task.m_isLost = true;
  }
  CHECK_FALSE(ReasonFor(task, list));
}

// Guards against a list without a task whose unanswered start can still be
// carried out, as the worker has not seen a higher fence (rule TWICE).
TEST_CASE("A list under the fence of an unanswered start proves nothing",
          "[release_proof]")
{
  Task task = MakeUnresolved();
  TaskList list = MakeList(100);
  list.m_fence = kFence - 1;
  CHECK_FALSE(ReasonFor(task, list));
  list.m_fence = kFence;
  CHECK_FALSE(ReasonFor(task, list));
  list.m_fence = kFence + 1;
  CHECK(ReasonFor(task, list) == ReleaseReason::NotListed);
  task.m_phase = TaskPhase::Starting;
  CHECK_FALSE(ReasonFor(task, list));
  task.m_phase = TaskPhase::Stopping;
  CHECK(ReasonFor(task, list) == ReleaseReason::NotListed);
}

// Guards against an expired lease that ends the tasks of a worker that is alive
// and may have recorded them as done, or that responds (rule TWICE).
TEST_CASE("The lease of a listed worker proves an end only after a grace time",
          "[release_proof]")
{
  const Task task = MakeRunning();
  Worker worker;
  worker.m_leaseExpiry = kTime;
  worker.m_unansweredRenewals = 1;
  const auto hasProof = [&](absl::Duration aSinceExpiry) {
    return ReleaseProof::FromLease(task, worker, kTime + aSinceExpiry)
      .has_value();
  };
  const absl::Duration step = absl::Milliseconds(1);
  CHECK_FALSE(hasProof(-step));
  CHECK(hasProof(absl::ZeroDuration()));
  worker.m_isListed = true;
  CHECK_FALSE(hasProof(absl::ZeroDuration()));
  CHECK_FALSE(hasProof(kSilentWorkerGrace - step));
  CHECK(hasProof(kSilentWorkerGrace));
  worker.m_unansweredRenewals = 0;
  CHECK_FALSE(hasProof(kSilentWorkerGrace));
}

// Guards against an expired lease that ends a start without a response, which
// the worker's next incarnation may carry out (rule TWICE).
TEST_CASE("An expired lease proves no end of a start that may come late",
          "[release_proof]")
{
  const Task task = MakeUnresolved();
  Worker worker;
  worker.m_leaseExpiry = kTime;
  worker.m_unansweredRenewals = 1;
  const absl::Time until = task.m_orderedAt + kLateOrderTime;
  CHECK_FALSE(
    ReleaseProof::FromLease(task, worker, until - absl::Milliseconds(1)));
  CHECK(ReleaseProof::FromLease(task, worker, until)->Reason() ==
        ReleaseReason::LeaseExpired);
}

// Guards against a response that leaves open whether a start is carried out, or
// a refusal that comes after the run was seen (rule TWICE).
TEST_CASE("Only a refusal of a start proves that it does not run",
          "[release_proof]")
{
  Task task = MakeUnresolved();
  task.m_phase = TaskPhase::Starting;
  const auto hasProof = [&task](OrderOutcome aOutcome) {
    return ReleaseProof::FromRefusal(task, aOutcome).has_value();
  };
  CHECK_FALSE(hasProof(OrderOutcome::Accepted));
  CHECK_FALSE(hasProof(OrderOutcome::Unknown));
  for (const OrderOutcome refusal : { OrderOutcome::StaleFencingToken,
                                      OrderOutcome::StaleAttempt,
                                      OrderOutcome::LeaseExpired,
                                      OrderOutcome::NoRoom,
                                      OrderOutcome::TicketRejected,
                                      OrderOutcome::Busy,
                                      OrderOutcome::WrongIncarnation,
                                      OrderOutcome::Invalid,
                                      OrderOutcome::NotSent }) {
    CHECK(hasProof(refusal));
  }
  task.m_phase = TaskPhase::Running;
  CHECK_FALSE(hasProof(OrderOutcome::StaleAttempt));
  task.m_phase = TaskPhase::Unresolved;
  CHECK_FALSE(hasProof(OrderOutcome::StaleAttempt));
}

// Guards against the end of an earlier attempt, or of one on another worker,
// that is taken for the end of the current one (rule TWICE).
TEST_CASE("An end proves only the end of its own attempt and worker",
          "[release_proof]")
{
  const Task task = MakeRunning();
  TaskEnd end;
  end.m_attempt = task.m_attempt;
  CHECK(ReleaseProof::FromEnd(task, kWorker, end)->Reason() ==
        ReleaseReason::EndListed);
  CHECK_FALSE(ReleaseProof::FromEnd(task, "worker-1", end));
  end.m_attempt = task.m_attempt - 1;
  CHECK_FALSE(ReleaseProof::FromEnd(task, kWorker, end));
  end.m_attempt = task.m_attempt + 1;
  CHECK_FALSE(ReleaseProof::FromEnd(task, kWorker, end));
}

// Guards against a proof about an earlier attempt or another task that releases
// a task (rule TWICE).
TEST_CASE("A proof is about one attempt of one task on one worker",
          "[release_proof]")
{
  Task task = MakeRunning();
  const auto proof = ReleaseProof::FromList(task, MakeList(11));
  REQUIRE(proof);
  CHECK(proof->IsAbout(task));
  const Task other = task;
  CHECK_FALSE(proof->IsAbout(other));
  SECTION("a later attempt")
  {
    ++task.m_attempt;
  }
  SECTION("another worker")
  {
    task.m_worker = "worker-1";
  }
  SECTION("no worker")
  {
    task.m_worker.clear();
  }
  CHECK_FALSE(proof->IsAbout(task));
}

// Guards against the restart of a worker that ends a start which the new
// incarnation may have accepted (rule TWICE).
TEST_CASE("A restart proves the end of listed tasks only", "[release_proof]")
{
  Task task = MakeRunning();
  CHECK_FALSE(ReleaseProof::FromRestart(task));
  task.m_isListed = true;
  CHECK(ReleaseProof::FromRestart(task)->Reason() ==
        ReleaseReason::WorkerEnded);
}

// Guards against a start that was sent and is taken for one that was not, and a
// task that was not found to be lost (rule TWICE).
TEST_CASE("Unsent starts and lost tasks are proved by their own marks",
          "[release_proof]")
{
  Task task = MakeRunning();
  CHECK_FALSE(ReleaseProof::FromUnsentStart(task));
  CHECK_FALSE(ReleaseProof::FromLoss(task));
  task.m_isStartUnsent = true;
  CHECK(ReleaseProof::FromUnsentStart(task)->Reason() ==
        ReleaseReason::NotSent);
  task.m_isLost = true;
  CHECK(ReleaseProof::FromLoss(task)->Reason() == ReleaseReason::WorkerEnded);
}
