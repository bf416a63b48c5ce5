#pragma once

#include "jobs/step_spec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bramleystall {

/** A submitted job as it is stored; immutable after submission. */
struct JobRecord
{
  std::string m_id;
  std::string m_queue;
  /** Name of the tenant that submitted the job; empty for none. */
  std::string m_tenant;
  /** Submitted to a public queue, so that its entry names no tenant. */
  bool m_isPublic = false;
  /** Pool of the queue at submission; used when the queue was removed. */
  std::string m_pool;
  /** Time at which the job was accepted, in ms since the Unix epoch. */
  std::int64_t m_acceptedAtMs = 0;
  /** Opaque text that is sent to the worker with each start of a task. */
  std::string m_payload;
  std::vector<StepSpec> m_steps;
  /** Number of occurrences; 0 for a job that runs once, immediately. */
  int m_repeats = 0;
  /** Due time of the first occurrence in ms since the Unix epoch. */
  std::int64_t m_firstDueMs = 0;
  std::int64_t m_intervalMs = 0;
  /** Failed attempts after which a task fails; the queue's at submission. */
  int m_maxAttempts = 1;
  int m_priority = 0;
  /** Shard whose part of the directory of jobs has the job's entry. */
  int m_entryShard = 0;
};

}
