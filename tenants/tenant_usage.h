#pragma once

#include "core/resources.h"

#include <map>
#include <string>
#include <vector>

namespace bramleystall {

/** Resources that the placed tasks of each tenant request in one shard. Tasks
 * without a tenant are counted under the empty name. */
class TenantUsage
{
public:
  void Add(const std::string& aTenant, const Resources& aResources);
  void Subtract(const std::string& aTenant, const Resources& aResources);

  /** Usage of a tenant; zero if it has no placed task. */
  Resources Of(const std::string& aTenant) const;

  /** Names of the tenants that have placed tasks, in their order. */
  std::vector<std::string> Tenants() const;

private:
  struct Entry
  {
    Resources m_resources;
    /** Number of placed tasks; the entry is dropped with the last one. */
    int m_tasks = 0;
  };
  std::map<std::string, Entry> m_entries;
};

}
