// The part of the handler that stores and accepts submitted jobs. See
// job_request_handler.h.

#include "core/clock.h"
#include "core/error.h"
#include "core/log.h"
#include "core/metrics.h"
#include "jobs/cap_check.h"
#include "jobs/job.h"
#include "jobs/job_codec.h"
#include "net/event_loop.h"
#include "scheduler/shard_layout.h"
#include "server/http_statuses.h"
#include "server/job_request_handler.h"
#include "tenants/tenant_labels.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <utility>

namespace bramleystall {

namespace {

/** Transaction entries of a job: the condition that its entry has not changed,
 * the entry and the record. */
constexpr std::size_t kMaxEntriesPerJob = 3;
/** Records in a commit together; a larger one has a commit of its own. Two
 * commits of this size, in base64, take 0.6 s on a link of 10 Mbit/s; the store
 * client waits for 1 s. */
constexpr std::size_t kMaxCommitBytes = 256 * 1024;
/** Concurrent commits; jobs that arrive meanwhile share the next commit. */
constexpr int kMaxOpenCommits = 2;
/** Age of the views of the shards at which a submission refreshes them. */
constexpr absl::Duration kViewMaxAge = absl::Milliseconds(800);
/** Memory of this daemon's submissions, in bytes and in the time below, from
 * which on it reads how much memory the shards have left. */
constexpr std::int64_t kMaxUnreadMemory = 256 * 1024;
constexpr absl::Duration kMemoryViewMaxAge = absl::Seconds(1);

/** Describes a step that exceeds the whole cap of the job's tenant. */
std::optional<std::string>
DescribeImpossibleStep(const JobConfiguration& aConfiguration,
                       const JobRecord& aRecord)
{
  const TenantSpec* tenant =
    aConfiguration.m_tenants
      ? aConfiguration.m_tenants->FindByName(aRecord.m_tenant)
      : nullptr;
  return tenant == nullptr ? std::nullopt
                           : DescribeStepAboveCap(aRecord.m_steps, *tenant);
}

/** Whether the entry is a tombstone that a submission of the tenant replaces.
 */
bool
IsReplaceable(const StoreItem& aEntry, const std::string& aTenant)
{
  const auto entry = DecodeJobEntry(aEntry.m_value);
  return entry && entry->IsTombstone() && !entry->IsCancelledBy(aTenant);
}

}

void
JobRequestHandler::Submit(const JobConfiguration& aConfiguration,
                          const QueueSpec& aQueue,
                          const JobCall& aCall,
                          const std::string& aBody)
{
  try {
    JobRecord record = m_codec.m_decodeJob(aCall.m_id, aBody);
    record.m_queue = aQueue.m_name;
    record.m_tenant = aCall.m_caller.Tenant();
    record.m_isPublic = aQueue.m_isPublic;
    record.m_pool = aQueue.m_pool;
    record.m_priority = aQueue.m_priority;
    record.m_maxAttempts = aQueue.m_maxAttempts;
    record.m_acceptedAtMs = ToMillis(absl::Now());
    const bool isLongRunning =
      std::ranges::any_of(record.m_steps, [](const StepSpec& aStep) {
        return aStep.m_isLongRunning;
      });
    record.m_entryShard = m_layout()->OfJob(aCall.m_id);
    const int shard = isLongRunning
                        ? m_layout()->OfPool(aQueue.m_pool)
                        : ChooseShardOf(aCall.m_id, record.m_entryShard);
    Submission submission{
      aCall,
      EncodeJobRecord(record),
      shard,
      EntryKey(aCall.m_id),
      EncodeJobEntry({ .m_shard = shard, .m_tenant = TenantOfEntry(record) }),
      static_cast<std::int64_t>(LargestMemory(record))
    };
    if (const auto detail = DescribeImpossibleStep(aConfiguration, record)) {
      RefuseUnlessStored(
        std::move(submission), "step_exceeds_cap", kBadRequest, *detail);
      return;
    }
    if (!HasMemoryFor(submission)) {
      m_shardStatus.Refresh(kViewMaxAge, [](bool) {});
      RefuseUnlessStored(
        std::move(submission), "shard_memory_full", kUnavailable);
      return;
    }
    Enqueue(std::move(submission));
  } catch (const Error& error) {
    if (!aCall.m_caller.IsAnonymous() ||
        CountRefusal("undecodable_job").has_value()) {
      LogInfo(LogPart::Server,
              absl::StrCat("cannot decode the submitted job; job=",
                           aCall.m_id,
                           " error=",
                           error.what()));
    }
    Refuse(aCall, "bad_submission", kBadRequest);
    return;
  }
  FlushSubmissions();
}

bool
JobRequestHandler::HasMemoryFor(const Submission& aSubmission)
{
  const absl::Time now = m_loop.Now();
  if (m_shardMemory.TakenSince(now - kMemoryViewMaxAge) > kMaxUnreadMemory) {
    m_shardStatus.Refresh(kViewMaxAge, [](bool) {});
  }
  const auto view = m_shardStatus.Views().find(aSubmission.m_shard);
  const ShardView known =
    view == m_shardStatus.Views().end() ? ShardView{} : view->second;
  return m_shardMemory.Take(
    aSubmission.m_shard,
    known.m_memory,
    MemoryOpenTo(aSubmission.m_memory, known.m_memoryLimit),
    aSubmission.m_memory,
    now);
}

void
JobRequestHandler::RefuseUnlessStored(Submission aSubmission,
                                      const char* aReason,
                                      int aStatus,
                                      const std::string& aDetail)
{
  // An earlier attempt may have stored the job, or its commit may be open. That
  // commit may end before the response to this read, which may not show it.
  const bool wasOpen = m_openIds.contains(aSubmission.m_call.m_id);
  std::string().swap(aSubmission.m_record);
  m_store.Get(
    aSubmission.m_entryKey,
    [this, aSubmission, aReason, aStatus, aDetail, wasOpen, alive = m_alive](
      const ReadResult& aResult) {
      if (!*alive) {
        return;
      }
      const JobCall& call = aSubmission.m_call;
      if (aResult.m_status == ReadStatus::Ok && !aResult.m_items.empty() &&
          !IsReplaceable(aResult.m_items.front(), call.m_entryTenant)) {
        AcceptStored(aSubmission, aResult.m_items.front(), "known");
      } else if (aResult.m_status != ReadStatus::Ok || wasOpen ||
                 m_openIds.contains(call.m_id)) {
        Refuse(call, "outcome_unknown", kOutcomeUnknown);
      } else {
        Refuse(call, aReason, aStatus, aDetail);
      }
    });
}

int
JobRequestHandler::ChooseShardOf(const std::string& aId, int aFallback)
{
  if (m_layout()->Count() == 1) {
    return aFallback;
  }
  // The choice uses the last views, so that no submission waits for a read.
  m_shardStatus.Refresh(kViewMaxAge, [](bool) {});
  return ChooseShard(m_shardStatus.Views(), aId, aFallback);
}

void
JobRequestHandler::Enqueue(Submission aSubmission)
{
  m_openIds.insert(aSubmission.m_call.m_id);
  m_submissions.push_back(std::move(aSubmission));
}

void
JobRequestHandler::FlushSubmissions()
{
  while (m_openCommits < kMaxOpenCommits && !m_submissions.empty()) {
    StoreTransaction transaction;
    std::vector<Submission> batch;
    std::size_t bytes = 0;
    while (transaction.m_conditions.size() + transaction.m_puts.size() +
               kMaxEntriesPerJob <=
             StoreTransaction::kMaxEntries &&
           !m_submissions.empty()) {
      Submission& next = m_submissions.front();
      const bool isAlreadyInBatch =
        std::ranges::any_of(batch, [&](const Submission& aOther) {
          return aOther.m_call.m_id == next.m_call.m_id;
        });
      const bool isTooLarge =
        !batch.empty() && bytes + next.m_record.size() > kMaxCommitBytes;
      if (isAlreadyInBatch || isTooLarge) {
        break;
      }
      bytes += next.m_record.size();
      transaction.m_conditions.push_back(
        { next.m_entryKey, next.m_replacedRevision });
      transaction.m_puts.push_back({ next.m_entryKey, next.m_entry, 0 });
      transaction.m_puts.push_back(
        { keys::ShardKeys(next.m_shard).Job(next.m_call.m_id),
          next.m_record,
          0 });
      batch.push_back(std::move(next));
      m_submissions.pop_front();
    }
    ++m_openCommits;
    m_store.Commit(transaction,
                   [this, batch = std::move(batch), alive = m_alive](
                     const CommitResult& aResult) mutable {
                     if (*alive) {
                       OnCommitted(std::move(batch), aResult);
                     }
                   });
  }
}

void
JobRequestHandler::OnCommitted(std::vector<Submission> aBatch,
                               const CommitResult& aResult)
{
  --m_openCommits;
  for (Submission& submission : aBatch) {
    switch (aResult.m_status) {
      case CommitStatus::Applied:
        Close(submission);
        Accept(submission, "stored");
        break;
      case CommitStatus::Conflict:
        OnConflict(std::move(submission), aResult);
        break;
      case CommitStatus::LeaseGone:
      case CommitStatus::NotApplied:
        Close(submission);
        Refuse(submission.m_call, "store_unavailable", kUnavailable);
        break;
      case CommitStatus::Unknown:
        std::string().swap(submission.m_record);
        m_metrics.Count("bramleystall_job_retries_total",
                        { { "reason", "acceptance_unknown" } });
        ReadBack(
          submission.m_entryKey,
          submission.m_call,
          [this, submission](const StoreItem& aItem) {
            AcceptStored(submission, aItem, "read_back");
          },
          [this, submission] { Close(submission); });
        break;
    }
  }
  FlushSubmissions();
}

void
JobRequestHandler::OnConflict(Submission aSubmission,
                              const CommitResult& aResult)
{
  const std::int64_t revision = aResult.CurrentRevision(aSubmission.m_entryKey);
  if (revision == aSubmission.m_replacedRevision || revision == 0) {
    // Another job of the commit had the conflict, or the tombstone that this
    // one replaces has been removed.
    aSubmission.m_replacedRevision = revision;
    m_submissions.push_back(std::move(aSubmission));
    return;
  }
  Close(aSubmission);
  AcceptConflicting(aSubmission,
                    *std::ranges::find(aResult.m_current,
                                       aSubmission.m_entryKey,
                                       &StoreItem::m_key));
}

void
JobRequestHandler::Close(const Submission& aSubmission)
{
  const auto open = m_openIds.find(aSubmission.m_call.m_id);
  if (open != m_openIds.end()) {
    m_openIds.erase(open);
  }
}

void
JobRequestHandler::AcceptStored(const Submission& aSubmission,
                                const StoreItem& aEntry,
                                const char* aHow)
{
  const auto entry =
    DecodeStoredEntry(aSubmission.m_call, aEntry, kOutcomeUnknown);
  if (!entry) {
    return;
  }
  if (entry->IsTombstone()) {
    ReplaceTombstone(aSubmission, *entry, aEntry.m_revision);
    return;
  }
  if (!aSubmission.m_call.m_caller.MayAccess(*entry)) {
    Refuse(aSubmission.m_call, "id_of_other_tenant", kIdConflict);
    return;
  }
  Accept(aSubmission, aHow);
}

void
JobRequestHandler::AcceptConflicting(const Submission& aSubmission,
                                     const StoreItem& aEntry)
{
  if (!aEntry.m_value.empty()) {
    AcceptStored(aSubmission, aEntry, "known");
    return;
  }
  // The conflict shows that there is an entry, but not whose it is.
  ReadBack(aSubmission.m_entryKey,
           aSubmission.m_call,
           [this, aSubmission](const StoreItem& aItem) {
             AcceptStored(aSubmission, aItem, "known");
           });
}

void
JobRequestHandler::Accept(const Submission& aSubmission, const char* aHow)
{
  const std::string& tenant = aSubmission.m_call.m_caller.Tenant();
  m_metrics.Count("bramleystall_jobs_accepted_total",
                  WithTenant(m_metrics, { { "how", aHow } }, tenant));
  LogInfo(LogPart::Server,
          absl::StrCat("job accepted; job=",
                       aSubmission.m_call.m_id,
                       " how=",
                       aHow,
                       TenantField(tenant)));
  aSubmission.m_call.m_respond({ .m_status = kOk, .m_body = "{}" });
}

void
JobRequestHandler::ReplaceTombstone(Submission aSubmission,
                                    const JobEntry& aTombstone,
                                    std::int64_t aRevision)
{
  if (aTombstone.IsCancelledBy(aSubmission.m_call.m_entryTenant)) {
    Refuse(aSubmission.m_call,
           "id_cancelled",
           kIdConflict,
           "the id was cancelled before a job with it was stored; submit the "
           "job with another id");
    return;
  }
  if (aSubmission.m_record.empty()) {
    // The record is dropped once its write has got no response.
    Refuse(aSubmission.m_call, "outcome_unknown", kOutcomeUnknown);
    return;
  }
  aSubmission.m_replacedRevision = aRevision;
  Enqueue(std::move(aSubmission));
  FlushSubmissions();
}

}
