#include "scheduler/release_proof.h"

#include "jobs/task.h"
#include "jobs/worker.h"
#include "scheduler/scheduling_limits.h"

namespace bramleystall {

namespace {

/** Whether a refusal with this outcome says that the start was not and will not
 * be carried out. */
bool
IsRefusal(OrderOutcome aOutcome)
{
  switch (aOutcome) {
    case OrderOutcome::StaleFencingToken:
    case OrderOutcome::StaleAttempt:
    case OrderOutcome::LeaseExpired:
    case OrderOutcome::NoRoom:
    case OrderOutcome::TicketRejected:
    case OrderOutcome::Busy:
    case OrderOutcome::WrongIncarnation:
    case OrderOutcome::Invalid:
    case OrderOutcome::NotSent:
      return true;
    case OrderOutcome::Accepted:
    case OrderOutcome::Unknown:
      return false;
  }
  return false;
}

}

ReleaseProof::ReleaseProof(const Task& aTask, ReleaseReason aReason)
  : m_task(&aTask)
  , m_worker(aTask.m_worker)
  , m_attempt(aTask.m_attempt)
  , m_reason(aReason)
{
}

bool
ReleaseProof::IsAbout(const Task& aTask) const
{
  return m_task == &aTask && m_worker == aTask.m_worker &&
         m_attempt == aTask.m_attempt;
}

std::optional<ReleaseProof>
ReleaseProof::FromUnsentStart(const Task& aTask)
{
  if (!aTask.m_isStartUnsent) {
    return std::nullopt;
  }
  return ReleaseProof(aTask, ReleaseReason::NotSent);
}

std::optional<ReleaseProof>
ReleaseProof::FromRefusal(const Task& aTask, OrderOutcome aOutcome)
{
  // A running task was listed before the refusal was read.
  if (!IsRefusal(aOutcome) || aTask.m_phase == TaskPhase::Running ||
      aTask.m_phase == TaskPhase::Unresolved) {
    return std::nullopt;
  }
  return ReleaseProof(aTask, ReleaseReason::NotStarted);
}

std::optional<ReleaseProof>
ReleaseProof::FromEnd(const Task& aTask,
                      const std::string& aWorkerId,
                      const TaskEnd& aEnd)
{
  if (aTask.m_worker != aWorkerId || aTask.m_attempt != aEnd.m_attempt) {
    return std::nullopt;
  }
  return ReleaseProof(aTask, ReleaseReason::EndListed);
}

std::optional<ReleaseProof>
ReleaseProof::FromList(const Task& aTask, const TaskList& aList)
{
  if (!aList.m_hasAllEnds || aTask.m_worker != aList.m_worker ||
      aList.m_tasks.contains(&aTask) || aTask.m_isStartUnsent ||
      aTask.m_isLost) {
    return std::nullopt;
  }
  if (!aTask.m_isStartAnswered) {
    // The start can be carried out later unless a higher fence was seen.
    if (aTask.m_phase == TaskPhase::Starting ||
        aList.m_fence <= aTask.m_startFence) {
      return std::nullopt;
    }
    return ReleaseProof(aTask, ReleaseReason::NotListed);
  }
  // A list from before the run does not show it either.
  if (aList.m_sentAt <= aTask.m_begunBy) {
    return std::nullopt;
  }
  if (aTask.m_phase != TaskPhase::Stopping) {
    return ReleaseProof(aTask, ReleaseReason::NotListed);
  }
  if (!aTask.m_stopAckedAt || aList.m_sentAt <= *aTask.m_stopAckedAt) {
    return std::nullopt;
  }
  return ReleaseProof(aTask, ReleaseReason::Stopped);
}

std::optional<ReleaseProof>
ReleaseProof::FromRestart(const Task& aTask)
{
  // A start that was not listed may be one that the new incarnation accepted.
  if (!aTask.m_isListed) {
    return std::nullopt;
  }
  return ReleaseProof(aTask, ReleaseReason::WorkerEnded);
}

ReleaseProof
ReleaseProof::FromEndOfWorker(const Task& aTask)
{
  return { aTask, ReleaseReason::WorkerEnded };
}

std::optional<ReleaseProof>
ReleaseProof::FromLoss(const Task& aTask)
{
  if (!aTask.m_isLost) {
    return std::nullopt;
  }
  return ReleaseProof(aTask, ReleaseReason::WorkerEnded);
}

std::optional<ReleaseProof>
ReleaseProof::FromLease(const Task& aTask,
                        const Worker& aWorker,
                        absl::Time aNow)
{
  if (aWorker.m_unansweredRenewals == 0 || aNow < aWorker.m_leaseExpiry) {
    return std::nullopt;
  }
  // A listed worker is alive, and its tasks may have ended as done before the
  // lease expired. Its next response tells.
  if (aWorker.m_isListed && aNow < aWorker.m_leaseExpiry + kSilentWorkerGrace) {
    return std::nullopt;
  }
  // The next incarnation may carry out a start without a response. Its deadline
  // is a time on the clock of this one.
  if (!aTask.m_isStartAnswered && aNow < aTask.m_orderedAt + kLateOrderTime) {
    return std::nullopt;
  }
  return ReleaseProof(aTask, ReleaseReason::LeaseExpired);
}

ReleaseProof
ReleaseProof::FromRemovedJob(const Task& aTask)
{
  return { aTask, ReleaseReason::JobRemoved };
}

}
