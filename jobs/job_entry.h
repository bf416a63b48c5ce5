#pragma once

#include "jobs/job.h"

#include <optional>
#include <string>
#include <vector>

namespace bramleystall {

struct JobRecord;

/**
 * Entry of a job in the directory of all jobs. It is stored with the job's
 * record, outlasts it by the retention time and makes the job's id unique.
 */
struct JobEntry
{
  /** Shard that stores the job's record and schedules the job. */
  int m_shard = 0;
  /** Final state; unset while the job has a record. */
  std::optional<JobState> m_finalState;
  /** Tenant that alone may read and cancel the job; empty if there is none. */
  std::string m_tenant;
  /**
   * Set in a tombstone, which stands in place of an entry while the id has no
   * job and has no other fields: the tenants, as in m_tenant, that have
   * cancelled the id. Their later submissions are refused, those of other
   * tenants replace the tombstone. A submission that is under way fails, since
   * its transaction requires that the entry has not changed.
   */
  std::optional<std::vector<std::string>> m_cancelledBy;

  bool IsTombstone() const { return m_cancelledBy.has_value(); }
  /** Whether this is a tombstone that names the tenant. */
  bool IsCancelledBy(const std::string& aTenant) const;
};

/** Tenant that the entry of a job names; none for a job of a public queue,
 * since its caller may ask for it without a key. */
std::string
TenantOfEntry(const JobRecord& aRecord);

std::string
EncodeJobEntry(const JobEntry& aEntry);

/** Decodes the result of EncodeJobEntry; unset for any other text. */
std::optional<JobEntry>
DecodeJobEntry(const std::string& aJson);

}
