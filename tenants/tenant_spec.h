#pragma once

#include "core/resources.h"

#include <string>
#include <vector>

namespace bramleystall {

/** A tenant of the operator's configuration. */
struct TenantSpec
{
  std::string m_name;
  /** Secrets that callers present; never logged or stored with jobs. */
  std::vector<std::string> m_apiKeys;
  /** Share of the tenant under contention, relative to other tenants, and the
   * jobs per second that it is entitled to. */
  double m_weight = 0;
  /** Most that the tenant may have running on all workers; 0 is unlimited, for
   * each resource. */
  Resources m_cap;

  bool HasCap() const
  {
    return m_cap.m_cpu > 0 || m_cap.m_memoryMb > 0 || m_cap.m_accelerators > 0;
  }
};

}
