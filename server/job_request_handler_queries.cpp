// The part of the handler that reads stored jobs and responds about them. See
// job_request_handler.h.

#include "server/job_request_handler.h"

#include "core/json_fields.h"
#include "core/log.h"
#include "core/metrics.h"
#include "jobs/job.h"
#include "scheduler/job_keys.h"
#include "server/http_statuses.h"
#include "tenants/tenant_labels.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <optional>
#include <utility>

namespace bramleystall {

namespace {

using nlohmann::json;

/** Time for which read counts are reused. A count in a response may be at most
 * 2 s old, and the scheduler writes the counts every 0.8 s. */
constexpr absl::Duration kPendingMaxAge = absl::Milliseconds(400);

}

void
JobRequestHandler::ReadKey(const std::string& aKey,
                           const JobCall& aCall,
                           std::function<void(const StoreItem* aItem)> aOnRead)
{
  m_store.Get(aKey,
              [this, aCall, onRead = std::move(aOnRead), alive = m_alive](
                const ReadResult& aResult) {
                if (!*alive) {
                  return;
                }
                if (aResult.m_status != ReadStatus::Ok) {
                  Refuse(aCall, "store_unavailable", kUnavailable);
                  return;
                }
                onRead(aResult.m_items.empty() ? nullptr
                                               : &aResult.m_items.front());
              });
}

void
JobRequestHandler::ReadBack(const std::string& aKey,
                            const JobCall& aCall,
                            std::function<void(const StoreItem&)> aOnStored,
                            std::function<void()> aOnRead)
{
  m_store.Get(aKey,
              [this,
               aCall,
               onStored = std::move(aOnStored),
               onRead = std::move(aOnRead),
               alive = m_alive](const ReadResult& aResult) {
                if (!*alive) {
                  return;
                }
                if (onRead) {
                  onRead();
                }
                if (aResult.m_status == ReadStatus::Ok &&
                    !aResult.m_items.empty()) {
                  onStored(aResult.m_items.front());
                  return;
                }
                // The store may still apply the write, so the outcome is
                // unknown. The caller may repeat the request with the same id.
                Refuse(aCall, "outcome_unknown", kOutcomeUnknown);
              });
}

void
JobRequestHandler::RespondWithState(const JobCall& aCall)
{
  const auto respond = [this, aCall](JobState aState) {
    aCall.m_respond({ .m_status = kOk,
                      .m_body = m_codec.m_encodeState(
                        std::string(NameOf(kJobStateNames, aState))) });
  };
  FindEntry(
    aCall, [this, aCall, respond](const JobEntry& aEntry, std::int64_t) {
      if (aEntry.m_finalState) {
        respond(*aEntry.m_finalState);
        return;
      }
      RespondWithProgress(aCall, aEntry.m_shard, [this, aCall, respond] {
        // The job may have ended after its entry was read.
        FindEntry(aCall, [respond](const JobEntry& aLatest, std::int64_t) {
          respond(aLatest.m_finalState.value_or(JobState::Queued));
        });
      });
    });
}

void
JobRequestHandler::RespondWithProgress(const JobCall& aCall,
                                       int aShard,
                                       std::function<void()> aOnNone)
{
  ReadKey(keys::ShardKeys(aShard).Progress(aCall.m_id),
          aCall,
          [this, aCall, onNone = std::move(aOnNone)](const StoreItem* aItem) {
            if (aItem == nullptr) {
              onNone();
              return;
            }
            const json body = json::parse(aItem->m_value, nullptr, false);
            const std::string state = StringField(body, "state");
            if (state.empty()) {
              LogError(
                LogPart::Server,
                absl::StrCat("cannot parse the stored progress of a job; job=",
                             aCall.m_id));
              Refuse(aCall, "unreadable_progress", kUnavailable);
              return;
            }
            aCall.m_respond(
              { .m_status = kOk, .m_body = m_codec.m_encodeState(state) });
          });
}

std::optional<JobEntry>
JobRequestHandler::DecodeStoredEntry(const JobCall& aCall,
                                     const StoreItem& aItem,
                                     int aStatus)
{
  auto entry = DecodeJobEntry(aItem.m_value);
  if (!entry) {
    LogError(
      LogPart::Server,
      absl::StrCat("cannot parse the stored entry of a job; job=", aCall.m_id));
    Refuse(aCall, "unreadable_entry", aStatus);
  }
  return entry;
}

void
JobRequestHandler::ReadEntry(
  const JobCall& aCall,
  std::function<void(const JobEntry* aEntry, std::int64_t aRevision)> aOnRead)
{
  ReadKey(EntryKey(aCall.m_id),
          aCall,
          [this, aCall, onRead = std::move(aOnRead)](const StoreItem* aItem) {
            if (aItem == nullptr) {
              onRead(nullptr, 0);
              return;
            }
            if (const auto entry =
                  DecodeStoredEntry(aCall, *aItem, kUnavailable)) {
              onRead(&*entry, aItem->m_revision);
            }
          });
}

void
JobRequestHandler::FindEntry(
  const JobCall& aCall,
  std::function<void(const JobEntry& aEntry, std::int64_t aRevision)> aOnFound)
{
  ReadEntry(aCall,
            [this, aCall, onFound = std::move(aOnFound)](
              const JobEntry* aEntry, std::int64_t aRevision) {
              if (aEntry == nullptr || aEntry->IsTombstone()) {
                Refuse(aCall, "unknown_job", kGone);
              } else if (!aCall.m_caller.MayAccess(*aEntry)) {
                Refuse(aCall, "job_of_other_tenant", kGone);
              } else {
                onFound(*aEntry, aRevision);
              }
            });
}

void
JobRequestHandler::RespondWithPendingCount(const std::string& aQueue,
                                           const JobCall& aCall)
{
  m_shardStatus.Refresh(kPendingMaxAge, [this, aQueue, aCall](bool aIsRead) {
    if (!aIsRead) {
      Refuse(aCall, "store_unavailable", kUnavailable);
      return;
    }
    aCall.m_respond(
      { .m_status = kOk,
        .m_body = m_codec.m_encodePending(m_shardStatus.PendingIn(aQueue)) });
  });
}

}
