#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bramleystall {

/** One queue of the operator's configuration. */
struct QueueSpec
{
  std::string m_name;
  /** Host and path prefix that select the queue. */
  std::string m_host;
  std::string m_prefix;
  std::string m_pool;
  /** 0 is the most urgent. */
  int m_priority = 0;
  int m_maxAttempts = 1;
  /** The objective is this many times the longest chain of work ... */
  double m_stretch = 1.0;
  /** ... and this many ms more. */
  int m_objectiveSlackMs = 0;
  /** The queue's policy allows only workers that the advice service names. */
  bool m_needsAdvice = false;
};

struct PoolSpec
{
  std::string m_name;
  /** Workers of the pool refuse what does not fit. */
  bool m_enforcesCapacity = true;
  /** Machines of the pool are off and cost nothing. */
  bool m_isStandby = false;
};

/** The operator's configuration in the project's own terms. */
struct JobConfiguration
{
  std::int64_t m_version = 0;
  std::vector<QueueSpec> m_queues;
  std::map<std::string, PoolSpec> m_pools;
  std::size_t m_maxBodyBytes = 0;

  /** Queue of the host with the longest prefix of the path, or null. */
  const QueueSpec* Match(const std::string& aHost,
                         const std::string& aPath) const;

  /** Queue with a name, or null. */
  const QueueSpec* Find(const std::string& aQueue) const;
};

}
