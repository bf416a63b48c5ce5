#pragma once

namespace bramleystall {

/** Demand of a pool's jobs that remains after the last placement. */
struct PoolDemand
{
  /**
   * Load of the tasks that are ready but not placed, in units of one worker's
   * capacity: of jobs that can still meet their objective, and of those that
   * cannot.
   */
  double m_waitingLoad = 0;
  double m_lateWaitingLoad = 0;
  /** A task is waiting whose job can still meet its objective. */
  bool m_hasWaitingInTime = false;
  /** A long-running task is waiting for a worker. */
  bool m_hasWaitingLongRunning = false;
  /**
   * Minimum number of workers for the long-running tasks. It is at least 1,
   * since an empty pool could not start a task until a machine has moved there.
   */
  int m_minimumWorkers = 1;
};

}
