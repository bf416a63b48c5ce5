#include "tenants/tenant_directory.h"

#include <algorithm>
#include <utility>

namespace bramleystall {

namespace {

/** Compares in a time that depends only on the length of aPresented. */
bool
IsEqualInConstantTime(std::string_view aKey, std::string_view aPresented)
{
  unsigned difference = aKey.size() == aPresented.size() ? 0 : 1;
  for (std::size_t i = 0; i < aPresented.size(); ++i) {
    const char expected = aKey.empty() ? '\0' : aKey[i % aKey.size()];
    difference |= static_cast<unsigned char>(expected ^ aPresented[i]);
  }
  return difference == 0;
}

}

TenantDirectory::TenantDirectory(std::vector<TenantSpec> aTenants)
  : m_tenants(std::move(aTenants))
{
  for (const TenantSpec& tenant : m_tenants) {
    for (const std::string& key : tenant.m_apiKeys) {
      m_longestKey = std::max(m_longestKey, key.size());
    }
  }
}

const TenantSpec*
TenantDirectory::FindByKey(std::string_view aKey) const
{
  // Comparing 60 keys with one of 15,000 bytes took 5 ms, which callers without
  // a key could make a daemon spend on each request.
  if (aKey.size() > m_longestKey) {
    return nullptr;
  }
  const TenantSpec* found = nullptr;
  for (const TenantSpec& tenant : m_tenants) {
    for (const std::string& key : tenant.m_apiKeys) {
      // All keys are compared, also after a match.
      if (IsEqualInConstantTime(key, aKey) && !aKey.empty()) {
        found = &tenant;
      }
    }
  }
  return found;
}

const TenantSpec*
TenantDirectory::FindByName(const std::string& aName) const
{
  const auto found = std::ranges::find(m_tenants, aName, &TenantSpec::m_name);
  return found == m_tenants.end() ? nullptr : &*found;
}

bool
TenantDirectory::HasCaps() const
{
  return std::ranges::any_of(m_tenants, &TenantSpec::HasCap);
}

}
