#pragma once

#include "jobs/resources.h"

#include <string>
#include <vector>

namespace bramleystall {

/** One step of a job: tasks that are alike. */
struct StepSpec
{
  int m_count = 1;
  Resources m_need;
  /** Declared run time of a task in ms; often far off. */
  int m_estimateMs = 0;
  /** Earlier steps whose tasks must all be done first. */
  std::vector<int> m_after;
  bool m_hasCheckpoints = false;
  /** The tasks run only together and end together. */
  bool m_isGang = false;
  /** A gang that is slower when it spans racks. */
  bool m_prefersOneRack = false;
  /** Several copies of a task may run at the same time. */
  bool m_isSpeculative = false;
  /** The tasks run until the job is cancelled. */
  bool m_isLongRunning = false;
  /** The tasks use only what others leave of a worker's processors. */
  bool m_isFiller = false;
  /** Label that the worker must have; empty for none. */
  std::string m_requiredLabel;
  /** Rack with the data of the step; empty for none. */
  std::string m_dataRack;
  /** Program that the tasks run; tasks with the same image behave alike. */
  std::string m_image;
  /** Most tasks of the step on one worker; 0 for no limit. */
  int m_maxPerWorker = 0;
  /** Bound of the tail latency of a serving task in ms; 0 for none. */
  int m_tailTargetMs = 0;
  /** Tasks that may be down at once through actions of the system. */
  int m_maxDisrupted = 0;
};

}
