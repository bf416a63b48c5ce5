#pragma once

#include "jobs/step_spec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bramleystall {

/** What a caller submitted, as the store keeps it. It never changes. */
struct JobRecord
{
  std::string m_id;
  std::string m_queue;
  /** Pool of the queue at submission; used once the queue is gone. */
  std::string m_pool;
  /** Wall-clock time of the acceptance in ms since the Unix epoch. */
  std::int64_t m_acceptedAtMs = 0;
  /** Text that each start of a task hands to the worker unchanged. */
  std::string m_payload;
  std::vector<StepSpec> m_steps;
  /** How often the steps run; 0 for a job that runs once, at once. */
  int m_repeats = 0;
  /** Due time of the first repeat in ms since the Unix epoch. */
  std::int64_t m_firstDueMs = 0;
  std::int64_t m_intervalMs = 0;
  /** Of the queue at submission: failed attempts after which a task fails. */
  int m_maxAttempts = 1;
  int m_priority = 0;
  /**
   * Shard in which callers look for the job first, where it is not the job's
   * own; a reference is stored there. -1 for none.
   */
  int m_referenceShard = -1;
};

}
