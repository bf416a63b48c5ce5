#pragma once

#include "jobs/step_spec.h"
#include "jobs/worker.h"

#include <absl/time/time.h>

#include <functional>
#include <vector>

namespace bramleystall {

/** What a task occupies on a worker; a filler counts no processor time. */
Resources
OccupiedBy(const StepSpec& aSpec);

/** Decides whether the queue's policy allows a worker. */
using WorkerFilter = std::function<bool(const Worker&)>;

/** Chooses workers for tasks. Pure: it changes nothing that it is given. */
class Placement
{
public:
  Placement(std::vector<Worker*> aWorkers, absl::Time aNow);

  /** Largest free amount of each resource on any usable worker. */
  const Resources& LargestFree() const { return m_largestFree; }
  void RefreshLargestFree();

  /**
   * Worker for a task, or null when none fits now. A worker of the rack with
   * the step's data goes first, then the fullest one, so that machines stay
   * empty and can leave the pool.
   */
  Worker* Choose(const Task& aTask, const WorkerFilter& aFilter) const;

  /**
   * Workers for all members of a gang, in their order, or nothing when they
   * do not fit together. One rack is preferred where the step asks for it.
   */
  std::vector<Worker*> ChooseGang(const std::vector<Task>& aTasks,
                                  const WorkerFilter& aFilter) const;

private:
  bool HasRequiredLabel(const Worker& aWorker, const StepSpec& aSpec) const;

  std::vector<Worker*> m_workers;
  absl::Time m_now;
  Resources m_largestFree;
};

}
