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
#include <vector>

namespace bramleystall {

void
JobRequestHandler::Cancel(const JobCall& aCall)
{
  ReadEntry(aCall,
            [this, aCall](const JobEntry* aEntry, std::int64_t aRevision) {
              if (aEntry == nullptr || aEntry->IsTombstone()) {
                CancelWithoutJob(aCall, aEntry, aRevision);
              } else if (!aCall.m_caller.MayAccess(*aEntry)) {
                Refuse(aCall, "job_of_other_tenant", kGone);
              } else if (aEntry->m_finalState) {
                // Nothing is left to cancel; the job keeps its state.
                aCall.m_respond({ .m_status = kOk, .m_body = "{}" });
              } else {
                WriteCancel(aCall, aEntry->m_shard, aRevision);
              }
            });
}

void
JobRequestHandler::CancelWithoutJob(const JobCall& aCall,
                                    const JobEntry* aTombstone,
                                    std::int64_t aRevision)
{
  std::vector<std::string> tenants;
  if (aTombstone != nullptr) {
    if (aTombstone->IsCancelledBy(aCall.m_entryTenant)) {
      Refuse(aCall, "unknown_job", kGone);
      return;
    }
    tenants = *aTombstone->m_cancelledBy;
  }
  tenants.push_back(aCall.m_entryTenant);
  const bool isWritten = m_tombstones.Write(
    aCall.m_caller.Tenant(),
    { .m_key = EntryKey(aCall.m_id),
      .m_value = EncodeJobEntry({ .m_cancelledBy = std::move(tenants) }),
      .m_replacedRevision = aRevision },
    [this, aCall, alive = m_alive](CommitStatus aStatus) {
      if (*alive) {
        OnTombstoneWritten(aCall, aStatus);
      }
    });
  if (!isWritten) {
    Refuse(aCall, "too_many_unknown_ids", kUnavailable);
  }
}

void
JobRequestHandler::OnTombstoneWritten(const JobCall& aCall,
                                      CommitStatus aStatus)
{
  switch (aStatus) {
    case CommitStatus::Applied:
      LogInfo(LogPart::Server,
              absl::StrCat("id cancelled before a job with it was stored; job=",
                           aCall.m_id,
                           TenantField(aCall.m_caller.Tenant())));
      Refuse(aCall, "unknown_job", kGone);
      break;
    case CommitStatus::Conflict:
      // A submission or the tombstone of another request was stored meanwhile.
      Cancel(aCall);
      break;
    case CommitStatus::LeaseGone:
    case CommitStatus::NotApplied:
      Refuse(aCall, "store_unavailable", kUnavailable);
      break;
    case CommitStatus::Unknown:
      ReadBack(
        EntryKey(aCall.m_id), aCall, [this, aCall](const StoreItem& aItem) {
          const auto entry = DecodeStoredEntry(aCall, aItem, kOutcomeUnknown);
          if (!entry) {
            return;
          }
          if (entry->IsTombstone() &&
              !entry->IsCancelledBy(aCall.m_entryTenant)) {
            Refuse(aCall, "outcome_unknown", kOutcomeUnknown);
            return;
          }
          Cancel(aCall);
        });
      break;
  }
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
