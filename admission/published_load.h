#pragma once

#include "core/resources.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bramleystall {

/** Ready tasks of a pool that wait for a worker, of one priority and with
 * objectives in one interval. */
struct WaitingWork
{
  /** 0 is the highest priority. */
  int m_priority = 0;
  /** Upper end of the interval, in ms from the publication; see
   * ObjectiveBoundMs. kLateBoundMs for jobs that can no longer be in time. */
  std::int64_t m_boundMs = 0;
  /** Machine-seconds. */
  double m_work = 0;
};

/** Work of one tenant in a pool, in machine-seconds. */
struct TenantWork
{
  double m_waiting = 0;
  double m_running = 0;
};

/** What the owner of a shard publishes of one pool. */
struct PublishedPool
{
  /** Machines that can run the pool's tasks now. */
  double m_machines = 0;
  /** Load of long-running tasks, which do not end, in machines. */
  double m_permanent = 0;
  /** Remaining work of the running tasks in machine-seconds. */
  double m_running = 0;
  /** Work of the arriving jobs in machine-seconds per second. */
  double m_arriving = 0;
  std::vector<WaitingWork> m_waiting;
  /** By name; the empty name is for jobs without a tenant. Tenants without work
   * in the pool are missing. */
  std::map<std::string, TenantWork> m_tenants;
};

/** What the owner of a shard publishes for the admission of further jobs. */
struct PublishedLoad
{
  /** Machines of all pools, with those that are off or on their way. */
  double m_machines = 0;
  /** Capacity of a typical machine. */
  Resources m_worker;
  std::map<std::string, PublishedPool> m_pools;
  /** Arriving jobs per second, by tenant. */
  std::map<std::string, double> m_arrivals;
  /** Mean run time of a queue's tasks in seconds, as far as it is known. */
  std::map<std::string, double> m_runTimes;
};

}
