#pragma once

namespace bramleystall {

/** What the jobs of a pool ask for, as the last placement left it. */
struct PoolDemand
{
  /**
   * Load of the tasks that could start, in workers' capacities, of jobs that
   * can still be in time and of those that cannot.
   */
  double m_waitingLoad = 0;
  double m_lateWaitingLoad = 0;
  /** A task waits whose job can be in time. */
  bool m_hasWaitingInTime = false;
  /** A long-running task finds no worker. */
  bool m_hasWaitingLongRunning = false;
  /**
   * Workers that the long-running tasks need at the least. A pool without a
   * worker could start nothing while a machine moves.
   */
  int m_minimumWorkers = 1;
};

}
