#include "server/caller_identity.h"

#include "jobs/job_configuration.h"
#include "jobs/job_entry.h"

namespace bramleystall {

std::optional<CallerIdentity>
CallerIdentity::Identify(const JobConfiguration& aConfiguration,
                         const QueueSpec& aQueue,
                         const std::string& aApiKey)
{
  CallerIdentity identity;
  if (!aConfiguration.m_tenants) {
    identity.m_isUnrestricted = true;
    return identity;
  }
  const TenantSpec* tenant = aConfiguration.m_tenants->FindByKey(aApiKey);
  if (tenant != nullptr) {
    identity.m_tenant = tenant->m_name;
    return identity;
  }
  if (!aQueue.m_isPublic) {
    return std::nullopt;
  }
  return identity;
}

bool
CallerIdentity::MayAccess(const JobEntry& aEntry) const
{
  return m_isUnrestricted || aEntry.m_tenant.empty() ||
         aEntry.m_tenant == m_tenant;
}

}
