#pragma once

#include "core/resources.h"

#include <string>
#include <vector>

namespace bramleystall {

/** A step of a job: a group of identical tasks. */
struct StepSpec
{
  int m_count = 1;
  Resources m_need;
  /** Declared run time of a task in ms; often inaccurate. */
  int m_estimateMs = 0;
  /** Earlier steps that must be done before this one starts. */
  std::vector<int> m_after;
  bool m_hasCheckpoints = false;
  /** The tasks run only together and end together. */
  bool m_isGang = false;
  /** The gang runs more slowly across several racks. */
  bool m_prefersOneRack = false;
  /** Several copies of a task may run concurrently. */
  bool m_isSpeculative = false;
  /** The tasks run until the job is cancelled. */
  bool m_isLongRunning = false;
  /** The tasks use only CPU time that other tasks leave idle. */
  bool m_isFiller = false;
  /** Label that the worker must have; empty for none. */
  std::string m_requiredLabel;
  /** Rack that holds the step's data; empty for none. */
  std::string m_dataRack;
  /** Program that the tasks run; tasks of one image behave similarly. */
  std::string m_image;
  /** Maximum number of the step's tasks on one worker; 0 for no limit. */
  int m_maxPerWorker = 0;
  /** Tail latency limit of a serving task in ms; 0 for none. */
  int m_tailTargetMs = 0;
  /** Maximum number of tasks that planned actions may take down at once. */
  int m_maxDisrupted = 0;
};

}
