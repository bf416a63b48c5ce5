#include "server/job_request_handler.h"

#include "core/clock.h"
#include "core/error.h"
#include "core/json_fields.h"
#include "core/log.h"
#include "core/metrics.h"
#include "jobs/job.h"
#include "jobs/job_codec.h"
#include "net/event_loop.h"
#include "scheduler/shard_layout.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <utility>

namespace bramleystall {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kGone = 410;
constexpr int kContentTooLarge = 413;
constexpr int kUnavailable = 503;
constexpr int kOutcomeUnknown = 504;

constexpr std::size_t kIdLength = 16;
/** Transaction entries of a job: the condition that it has no entry yet, the
 * entry and the record. */
constexpr std::size_t kMaxEntriesPerJob = 3;
/** Concurrent commits; jobs that arrive meanwhile share the next commit. */
constexpr int kMaxOpenCommits = 2;
/** Age of the views of the shards at which a submission refreshes them. */
constexpr absl::Duration kViewMaxAge = absl::Milliseconds(800);
/** Memory of this daemon's submissions, in bytes and in the time below, from
 * which on it reads how much memory the shards have left. */
constexpr std::int64_t kMaxUnreadMemory = 256 * 1024;
constexpr absl::Duration kMemoryViewMaxAge = absl::Seconds(1);
/** Time for which read counts are reused. A count in a response may be at most
 * 2 s old, and the scheduler writes the counts every 0.8 s. */
constexpr absl::Duration kPendingMaxAge = absl::Milliseconds(400);

bool
IsJobId(const std::string& aText)
{
  return aText.size() == kIdLength &&
         std::ranges::all_of(aText, [](unsigned char aChar) {
           return std::isxdigit(aChar) != 0;
         });
}

}

JobRequestHandler::JobRequestHandler(EventLoop& aLoop,
                                     KeyValueStore& aStore,
                                     Metrics& aMetrics,
                                     CallerCodec aCodec,
                                     ConfigurationSource aConfiguration,
                                     LayoutSource aLayout)
  : m_loop(aLoop)
  , m_store(aStore)
  , m_metrics(aMetrics)
  , m_codec(std::move(aCodec))
  , m_configuration(std::move(aConfiguration))
  , m_layout(std::move(aLayout))
  , m_shardStatus(aLoop, aStore)
  , m_admission(aLoop, aMetrics, m_shardStatus)
{
}

JobRequestHandler::~JobRequestHandler()
{
  *m_alive = false;
}

void
JobRequestHandler::Handle(const ListenerRequest& aRequest,
                          const HttpListener::Responder& aRespond)
{
  const JobConfiguration* configuration = m_configuration();
  if (configuration == nullptr) {
    Refuse("", "no_configuration", kUnavailable, aRespond);
    return;
  }
  if (m_layout() == nullptr) {
    Refuse("", "no_layout", kUnavailable, aRespond);
    return;
  }
  const QueueSpec* queue =
    configuration->Match(aRequest.m_host, aRequest.m_path);
  if (queue == nullptr) {
    Refuse("", "unknown_queue", kNotFound, aRespond);
    return;
  }
  const std::string id = aRequest.m_path.substr(queue->m_prefix.size());
  if (id.empty() && aRequest.m_method == "GET") {
    RespondWithPendingCount(queue->m_name, aRespond);
    return;
  }
  if (!IsJobId(id)) {
    Refuse(id, "bad_job_id", kBadRequest, aRespond);
    return;
  }
  if (aRequest.m_method == "POST") {
    if (configuration->m_maxBodyBytes > 0 &&
        aRequest.m_body.size() > configuration->m_maxBodyBytes) {
      Refuse(id, "body_too_large", kContentTooLarge, aRespond);
      return;
    }
    Submit(*queue, id, aRequest.m_body, aRespond);
  } else if (aRequest.m_method == "GET") {
    RespondWithState(id, aRespond);
  } else if (aRequest.m_method == "DELETE") {
    Cancel(id, aRespond);
  } else {
    Refuse(id, "bad_method", kMethodNotAllowed, aRespond);
  }
}

std::string
JobRequestHandler::EntryKey(const std::string& aId) const
{
  return keys::ShardKeys(m_layout()->OfJob(aId)).Entry(aId);
}

void
JobRequestHandler::Refuse(const std::string& aId,
                          const char* aReason,
                          int aStatus,
                          const HttpListener::Responder& aRespond,
                          int aRetryAfterS)
{
  m_metrics.Count("bramleystall_job_refusals_total", { { "reason", aReason } });
  LogInfo(
    LogPart::Server,
    absl::StrCat(
      "request refused; job=", aId, " reason=", aReason, " status=", aStatus));
  ListenerResponse response;
  response.m_status = aStatus;
  response.m_body = json{ { "error", aReason } }.dump();
  response.m_retryAfterS = aStatus == kUnavailable ? aRetryAfterS : 0;
  aRespond(std::move(response));
}

void
JobRequestHandler::Submit(const QueueSpec& aQueue,
                          const std::string& aId,
                          const std::string& aBody,
                          const HttpListener::Responder& aRespond)
{
  try {
    JobRecord record = m_codec.m_decodeJob(aId, aBody);
    record.m_queue = aQueue.m_name;
    record.m_pool = aQueue.m_pool;
    record.m_priority = aQueue.m_priority;
    record.m_maxAttempts = aQueue.m_maxAttempts;
    record.m_acceptedAtMs = ToMillis(absl::Now());
    const bool isLongRunning =
      std::ranges::any_of(record.m_steps, [](const StepSpec& aStep) {
        return aStep.m_isLongRunning;
      });
    record.m_entryShard = m_layout()->OfJob(aId);
    const int shard = isLongRunning ? m_layout()->OfPool(aQueue.m_pool)
                                    : ChooseShardOf(aId, record.m_entryShard);
    Submission submission{
      aId,      EncodeJobRecord(record),
      shard,    EntryKey(aId),
      aRespond, static_cast<std::int64_t>(LargestMemory(record))
    };
    if (const auto refusal =
          m_admission.Check(record, aQueue, shard, *m_configuration())) {
      RefuseUnlessStored(submission, record.m_tenant, *refusal);
      return;
    }
    StoreSubmission(std::move(submission));
  } catch (const Error& error) {
    LogInfo(
      LogPart::Server,
      absl::StrCat(
        "cannot decode the submitted job; job=", aId, " error=", error.what()));
    Refuse(aId, "bad_submission", kBadRequest, aRespond);
  }
}

bool
JobRequestHandler::HasMemoryFor(const Submission& aSubmission)
{
  const absl::Time now = m_loop.Now();
  if (m_shardMemory.TakenSince(now - kMemoryViewMaxAge) > kMaxUnreadMemory) {
    m_shardStatus.Refresh(kViewMaxAge, [](bool) {});
  }
  const auto view = m_shardStatus.Views().find(aSubmission.m_shard);
  const std::int64_t published =
    view == m_shardStatus.Views().end() ? 0 : view->second.m_memory;
  return m_shardMemory.Take(
    aSubmission.m_shard, published, aSubmission.m_memory, now);
}

void
JobRequestHandler::RefuseUnlessStored(const Submission& aSubmission)
{
  m_shardStatus.Refresh(kViewMaxAge, [](bool) {});
  // An earlier attempt may have stored the job.
  ReadKey(aSubmission.m_entryKey,
          aSubmission.m_id,
          aSubmission.m_respond,
          [this, aSubmission](const StoreItem* aItem) {
            if (aItem != nullptr) {
              Accept(aSubmission, "known");
              return;
            }
            Refuse(aSubmission.m_id,
                   "shard_memory_full",
                   kUnavailable,
                   aSubmission.m_respond);
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
JobRequestHandler::FlushSubmissions()
{
  while (m_openCommits < kMaxOpenCommits && !m_submissions.empty()) {
    StoreTransaction transaction;
    std::vector<Submission> batch;
    while (transaction.m_conditions.size() + transaction.m_puts.size() +
               kMaxEntriesPerJob <=
             StoreTransaction::kMaxEntries &&
           !m_submissions.empty()) {
      Submission& next = m_submissions.front();
      const bool isAlreadyInBatch =
        std::ranges::any_of(batch, [&](const Submission& aOther) {
          return aOther.m_id == next.m_id;
        });
      if (isAlreadyInBatch) {
        break;
      }
      transaction.m_conditions.push_back({ next.m_entryKey, 0 });
      transaction.m_puts.push_back(
        { next.m_entryKey, EncodeJobEntry({ .m_shard = next.m_shard }), 0 });
      transaction.m_puts.push_back(
        { keys::ShardKeys(next.m_shard).Job(next.m_id), next.m_record, 0 });
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
        Accept(submission, "stored");
        break;
      case CommitStatus::Conflict: {
        const bool isStored = std::ranges::any_of(
          aResult.m_current, [&submission](const StoreItem& aItem) {
            return aItem.m_key == submission.m_entryKey && aItem.m_revision > 0;
          });
        if (isStored) {
          Accept(submission, "known");
        } else {
          m_submissions.push_back(std::move(submission));
        }
        break;
      }
      case CommitStatus::LeaseGone:
      case CommitStatus::NotApplied:
        Refuse(submission.m_id,
               "store_unavailable",
               kUnavailable,
               submission.m_respond);
        break;
      case CommitStatus::Unknown:
        m_metrics.Count("bramleystall_job_retries_total",
                        { { "reason", "acceptance_unknown" } });
        ReadBack(submission.m_entryKey,
                 submission.m_id,
                 submission.m_respond,
                 [this, submission] { Accept(submission, "read_back"); });
        break;
    }
  }
  FlushSubmissions();
}

void
JobRequestHandler::ReadBack(const std::string& aKey,
                            const std::string& aId,
                            const HttpListener::Responder& aRespond,
                            std::function<void()> aOnStored)
{
  m_store.Get(
    aKey,
    [this, aId, aRespond, onStored = std::move(aOnStored), alive = m_alive](
      const ReadResult& aResult) {
      if (!*alive) {
        return;
      }
      if (aResult.m_status == ReadStatus::Ok && !aResult.m_items.empty()) {
        onStored();
        return;
      }
      // The store may still apply the write, so the outcome is unknown. The
      // caller may repeat the request with the same id.
      Refuse(aId, "outcome_unknown", kOutcomeUnknown, aRespond);
    });
}

void
JobRequestHandler::Accept(const Submission& aSubmission, const char* aHow)
{
  m_metrics.Count("bramleystall_jobs_accepted_total", { { "how", aHow } });
  LogInfo(LogPart::Server,
          absl::StrCat("job accepted; job=", aSubmission.m_id, " how=", aHow));
  aSubmission.m_respond({ .m_status = kOk, .m_body = "{}" });
}

void
JobRequestHandler::ReadKey(const std::string& aKey,
                           const std::string& aId,
                           const HttpListener::Responder& aRespond,
                           std::function<void(const StoreItem* aItem)> aOnRead)
{
  m_store.Get(
    aKey,
    [this, aId, aRespond, onRead = std::move(aOnRead), alive = m_alive](
      const ReadResult& aResult) {
      if (!*alive) {
        return;
      }
      if (aResult.m_status != ReadStatus::Ok) {
        Refuse(aId, "store_unavailable", kUnavailable, aRespond);
        return;
      }
      onRead(aResult.m_items.empty() ? nullptr : &aResult.m_items.front());
    });
}

void
JobRequestHandler::RespondWithState(const std::string& aId,
                                    const HttpListener::Responder& aRespond)
{
  const auto respond = [this, aRespond](JobState aState) {
    aRespond({ .m_status = kOk,
               .m_body = m_codec.m_encodeState(
                 std::string(NameOf(kJobStateNames, aState))) });
  };
  FindEntry(
    aId,
    aRespond,
    [this, aId, aRespond, respond](const JobEntry& aEntry, std::int64_t) {
      if (aEntry.m_finalState) {
        respond(*aEntry.m_finalState);
        return;
      }
      RespondWithProgress(
        aId, aEntry.m_shard, aRespond, [this, aId, aRespond, respond] {
          // The job may have ended after its entry was read.
          FindEntry(
            aId, aRespond, [respond](const JobEntry& aLatest, std::int64_t) {
              respond(aLatest.m_finalState.value_or(JobState::Queued));
            });
        });
    });
}

void
JobRequestHandler::RespondWithProgress(const std::string& aId,
                                       int aShard,
                                       const HttpListener::Responder& aRespond,
                                       std::function<void()> aOnNone)
{
  ReadKey(
    keys::ShardKeys(aShard).Progress(aId),
    aId,
    aRespond,
    [this, aId, aRespond, onNone = std::move(aOnNone)](const StoreItem* aItem) {
      if (aItem == nullptr) {
        onNone();
        return;
      }
      const json body = json::parse(aItem->m_value, nullptr, false);
      const std::string state = StringField(body, "state");
      if (state.empty()) {
        LogError(
          LogPart::Server,
          absl::StrCat("cannot parse the stored progress of a job; job=", aId));
        Refuse(aId, "unreadable_progress", kUnavailable, aRespond);
        return;
      }
      aRespond({ .m_status = kOk, .m_body = m_codec.m_encodeState(state) });
    });
}

void
JobRequestHandler::FindEntry(
  const std::string& aId,
  const HttpListener::Responder& aRespond,
  std::function<void(const JobEntry& aEntry, std::int64_t aRevision)> aOnFound)
{
  ReadKey(EntryKey(aId),
          aId,
          aRespond,
          [this, aId, aRespond, onFound = std::move(aOnFound)](
            const StoreItem* aItem) {
            if (aItem == nullptr) {
              Refuse(aId, "unknown_job", kGone, aRespond);
              return;
            }
            const auto entry = DecodeJobEntry(aItem->m_value);
            if (!entry) {
              LogError(LogPart::Server,
                       absl::StrCat(
                         "cannot parse the stored entry of a job; job=", aId));
              Refuse(aId, "unreadable_entry", kUnavailable, aRespond);
              return;
            }
            onFound(*entry, aItem->m_revision);
          });
}

void
JobRequestHandler::Cancel(const std::string& aId,
                          const HttpListener::Responder& aRespond)
{
  FindEntry(
    aId,
    aRespond,
    [this, aId, aRespond](const JobEntry& aEntry, std::int64_t aRevision) {
      if (aEntry.m_finalState) {
        // Nothing is left to cancel; the job keeps its state.
        aRespond({ .m_status = kOk, .m_body = "{}" });
        return;
      }
      WriteCancel(aId, aEntry.m_shard, aRevision, aRespond);
    });
}

void
JobRequestHandler::WriteCancel(const std::string& aId,
                               int aShard,
                               std::int64_t aEntryRevision,
                               const HttpListener::Responder& aRespond)
{
  StoreTransaction transaction;
  transaction.m_conditions = { { EntryKey(aId), aEntryRevision } };
  transaction.m_puts = { { keys::ShardKeys(aShard).Cancel(aId), "{}", 0 } };
  m_store.Commit(
    transaction,
    [this, aId, aShard, aRespond, alive = m_alive](
      const CommitResult& aResult) {
      if (!*alive) {
        return;
      }
      switch (aResult.m_status) {
        case CommitStatus::Applied:
          ConfirmCancel(aId, aRespond);
          break;
        case CommitStatus::Conflict:
          // The entry of a live job changes only when the job ends.
          Cancel(aId, aRespond);
          break;
        case CommitStatus::LeaseGone:
        case CommitStatus::NotApplied:
          Refuse(aId, "store_unavailable", kUnavailable, aRespond);
          break;
        case CommitStatus::Unknown:
          ReadBack(keys::ShardKeys(aShard).Cancel(aId),
                   aId,
                   aRespond,
                   [this, aId, aRespond] { ConfirmCancel(aId, aRespond); });
          break;
      }
    });
}

void
JobRequestHandler::ConfirmCancel(const std::string& aId,
                                 const HttpListener::Responder& aRespond)
{
  LogInfo(LogPart::Server, absl::StrCat("job cancelled; job=", aId));
  m_metrics.Count("bramleystall_jobs_cancelled_total");
  aRespond({ .m_status = kOk, .m_body = "{}" });
}

void
JobRequestHandler::RespondWithPendingCount(
  const std::string& aQueue,
  const HttpListener::Responder& aRespond)
{
  m_shardStatus.Refresh(kPendingMaxAge, [this, aQueue, aRespond](bool aIsRead) {
    if (!aIsRead) {
      Refuse("", "store_unavailable", kUnavailable, aRespond);
      return;
    }
    aRespond(
      { .m_status = kOk,
        .m_body = m_codec.m_encodePending(m_shardStatus.PendingIn(aQueue)) });
  });
}

}
