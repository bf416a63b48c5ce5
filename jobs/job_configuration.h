#pragma once

#include "tenants/tenant_directory.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bramleystall {

/** A queue of the operator's configuration. */
struct QueueSpec
{
  std::string m_name;
  /** Host and path prefix of the requests that belong to the queue. */
  std::string m_host;
  std::string m_prefix;
  std::string m_pool;
  /** 0 is the highest priority. */
  int m_priority = 0;
  int m_maxAttempts = 1;
  /**
   * A job's completion objective is m_stretch times the run time of its longest
   * chain of steps, plus m_objectiveSlackMs.
   */
  double m_stretch = 1.0;
  int m_objectiveSlackMs = 0;
  /** Tasks may run only on workers that the advice service approves. */
  bool m_needsAdvice = false;
  /** Calls need no key of a tenant. */
  bool m_isPublic = false;
};

struct PoolSpec
{
  std::string m_name;
  /** Workers reject tasks that exceed their free capacity. */
  bool m_enforcesCapacity = true;
  /** Machines of the pool are powered off and cost nothing. */
  bool m_isStandby = false;
};

/** The operator's configuration of queues and pools. */
struct JobConfiguration
{
  std::int64_t m_version = 0;
  std::vector<QueueSpec> m_queues;
  std::map<std::string, PoolSpec> m_pools;
  std::size_t m_maxBodyBytes = 0;
  /** Unset if the deployment has no tenants; then no call needs a key. */
  std::optional<TenantDirectory> m_tenants;

  /** Queue of the host with the longest matching path prefix, or null. */
  const QueueSpec* Match(const std::string& aHost,
                         const std::string& aPath) const;

  /** Returns the named queue, or null. */
  const QueueSpec* Find(const std::string& aQueue) const;
};

}
