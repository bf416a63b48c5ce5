#pragma once

#include "tenants/tenant_spec.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace bramleystall {

/** The tenants of a configuration. */
class TenantDirectory
{
public:
  explicit TenantDirectory(std::vector<TenantSpec> aTenants);

  /**
   * Returns the tenant that has the key, or null. Compares with every key in a
   * time that does not depend on where they differ, so that callers cannot
   * guess a key byte by byte. A key that is longer than all known ones is not
   * compared.
   */
  const TenantSpec* FindByKey(std::string_view aKey) const;

  /** Returns the named tenant, or null. */
  const TenantSpec* FindByName(const std::string& aName) const;

  const std::vector<TenantSpec>& Tenants() const { return m_tenants; }

  bool HasCaps() const;

private:
  std::vector<TenantSpec> m_tenants;
  /** Bytes of the longest key. */
  std::size_t m_longestKey = 0;
};

}
