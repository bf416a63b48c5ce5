#pragma once

#include "jobs/step_spec.h"
#include "jobs/worker.h"

#include <absl/time/time.h>

#include <functional>
#include <vector>

namespace bramleystall {

/** True while a long-running task runs or may run on the worker. */
bool
HasLongRunning(const Worker& aWorker);

/** Resources that a task reserves on a worker; a filler reserves no CPU. */
Resources
OccupiedBy(const StepSpec& aSpec);

/** Largest share of a worker's processor or memory that a task occupies. */
double
LoadOn(const Resources& aWorker, const Resources& aNeed);

/** Returns true when the queue's policy allows the worker. */
using WorkerFilter = std::function<bool(const Worker&)>;

/** Chooses workers for tasks. It modifies neither workers nor tasks. */
class Placement
{
public:
  Placement(std::vector<Worker*> aWorkers, absl::Time aNow);

  /** Largest free amount of each resource on any usable worker. */
  const Resources& LargestFree() const { return m_largestFree; }
  void RefreshLargestFree();

  /**
   * Returns a worker for a task, or null when the task fits on none now. It
   * prefers workers other than the one on which the task failed last, then
   * workers in the rack with the step's data, then the worker with the least
   * free CPU, so that empty machines can be moved to other pools.
   */
  Worker* Choose(const Task& aTask, const WorkerFilter& aFilter) const;

  /** Returns all workers on which a task fits now. */
  std::vector<Worker*> Fitting(const Task& aTask,
                               const WorkerFilter& aFilter) const;

  /**
   * Returns a worker for each member of a gang, in the order of aTasks, or an
   * empty vector when the gang does not fit as a whole. The rack with the
   * step's data is tried first, then each rack if the step prefers one rack,
   * then all racks together.
   */
  std::vector<Worker*> ChooseGang(const std::vector<Task>& aTasks,
                                  const WorkerFilter& aFilter) const;

private:
  bool FitsOn(const Worker& aWorker, const Task& aTask) const;
  bool HasRequiredLabel(const Worker& aWorker, const StepSpec& aSpec) const;

  std::vector<Worker*> m_workers;
  absl::Time m_now;
  Resources m_largestFree;
};

}
