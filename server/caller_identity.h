#pragma once

#include <optional>
#include <string>

namespace bramleystall {

struct JobConfiguration;
struct JobEntry;
struct QueueSpec;

/** What is known of the caller of a request: its tenant, if any. */
class CallerIdentity
{
public:
  /**
   * Identifies a caller by the key that it presents. Unset if it may not use
   * the queue: the deployment has tenants, the queue is not public, and the key
   * is missing or unknown.
   */
  static std::optional<CallerIdentity> Identify(
    const JobConfiguration& aConfiguration,
    const QueueSpec& aQueue,
    const std::string& aApiKey);

  /** Name of the tenant; empty for none. */
  const std::string& Tenant() const { return m_tenant; }

  /** Whether the deployment has tenants and the caller is none of them, so that
   * it is a caller of a public queue that nothing is known of. */
  bool IsAnonymous() const { return m_tenant.empty() && !m_isUnrestricted; }

  /** Whether the caller may read and cancel the job with this entry. */
  bool MayAccess(const JobEntry& aEntry) const;

private:
  CallerIdentity() = default;

  std::string m_tenant;
  /** The deployment has no tenants, so that all jobs are accessible. */
  bool m_isUnrestricted = false;
};

}
