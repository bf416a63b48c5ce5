// The part of the handler that cancels jobs. See job_request_handler.h.

#include "core/log.h"
#include "core/metrics.h"
#include "scheduler/job_keys.h"
#include "server/http_statuses.h"
#include "server/job_request_handler.h"
#include "tenants/tenant_labels.h"

#include <absl/strings/str_cat.h>

#include <string>
#include <utility>

namespace bramleystall {

void
JobRequestHandler::Cancel(const JobCall& aCall)
{
  FindEntry(aCall,
            [this, aCall](const JobEntry& aEntry, std::int64_t aRevision) {
              if (aEntry.m_finalState) {
                // Nothing is left to cancel; the job keeps its state.
                aCall.m_respond({ .m_status = kOk, .m_body = "{}" });
                return;
              }
              WriteCancel(aCall, aEntry.m_shard, aRevision);
            });
}

void
JobRequestHandler::WriteCancel(const JobCall& aCall,
                               int aShard,
                               std::int64_t aEntryRevision)
{
  const std::string key = keys::ShardKeys(aShard).Cancel(aCall.m_id);
  StoreTransaction transaction;
  transaction.m_conditions = { { EntryKey(aCall.m_id), aEntryRevision } };
  transaction.m_puts = { { key, "{}", 0 } };
  m_store.Commit(
    transaction,
    [this, aCall, key, alive = m_alive](const CommitResult& aResult) {
      if (!*alive) {
        return;
      }
      switch (aResult.m_status) {
        case CommitStatus::Applied:
          ConfirmCancel(aCall);
          break;
        case CommitStatus::Conflict:
          // The entry of a live job changes only when the job ends.
          Cancel(aCall);
          break;
        case CommitStatus::LeaseGone:
        case CommitStatus::NotApplied:
          Refuse(aCall, "store_unavailable", kUnavailable);
          break;
        case CommitStatus::Unknown:
          ReadBack(key, aCall, [this, aCall](const StoreItem&) {
            ConfirmCancel(aCall);
          });
          break;
      }
    });
}

void
JobRequestHandler::ConfirmCancel(const JobCall& aCall)
{
  const std::string& tenant = aCall.m_caller.Tenant();
  LogInfo(LogPart::Server,
          absl::StrCat("job cancelled; job=", aCall.m_id, TenantField(tenant)));
  m_metrics.Count("bramleystall_jobs_cancelled_total",
                  WithTenant(m_metrics, {}, tenant));
  aCall.m_respond({ .m_status = kOk, .m_body = "{}" });
}

}
