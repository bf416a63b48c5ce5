#pragma once

#include "core/log_throttle.h"
#include "jobs/job_configuration.h"
#include "jobs/job_entry.h"
#include "jobs/job_record.h"
#include "net/http_listener.h"
#include "scheduler/job_keys.h"
#include "scheduler/shard_memory.h"
#include "scheduler/shard_status_reader.h"
#include "server/job_call.h"
#include "server/tombstone_writer.h"
#include "store/key_value_store.h"

#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bramleystall {

class EventLoop;
class Metrics;
class ShardLayout;

/** Decodes request bodies of callers and encodes response bodies. */
struct CallerCodec
{
  /** Throws Error (InvalidInput) when the body is not a valid job. */
  std::function<JobRecord(const std::string& aId, const std::string& aBody)>
    m_decodeJob;
  std::function<std::string(const std::string& aState)> m_encodeState;
  std::function<std::string(std::int64_t aCount)> m_encodePending;
};

/**
 * Handles the HTTP requests of callers that submit, query and cancel jobs. It
 * keeps no job state in memory: a job is accepted once its record is stored,
 * and each response about a job is read from the store. Runs on the event loop.
 */
class JobRequestHandler
{
public:
  /** The configuration in effect, or null before the first one. */
  using ConfigurationSource = std::function<const JobConfiguration*()>;
  /** The layout that assigns the fleet to shards, or null while it is
   * unknown. */
  using LayoutSource = std::function<const ShardLayout*()>;

  JobRequestHandler(EventLoop& aLoop,
                    KeyValueStore& aStore,
                    Metrics& aMetrics,
                    CallerCodec aCodec,
                    ConfigurationSource aConfiguration,
                    LayoutSource aLayout);
  ~JobRequestHandler();
  JobRequestHandler(const JobRequestHandler&) = delete;
  JobRequestHandler& operator=(const JobRequestHandler&) = delete;

  void Handle(const ListenerRequest& aRequest,
              const HttpListener::Responder& aRespond);

private:
  struct Submission
  {
    JobCall m_call;
    std::string m_record;
    /** Shard that stores the job's record and schedules the job. */
    int m_shard = 0;
    /** Key and value of the job's entry in the directory. */
    std::string m_entryKey;
    std::string m_entry;
    /** See LargestMemory. */
    std::int64_t m_memory = 0;
    /** Revision of the tombstone that the entry replaces; 0 for none. */
    std::int64_t m_replacedRevision = 0;
  };

  void Submit(const JobConfiguration& aConfiguration,
              const QueueSpec& aQueue,
              const JobCall& aCall,
              const std::string& aBody);
  /** Chooses the shard of a job whose tasks end. */
  int ChooseShardOf(const std::string& aId, int aFallback);
  /** Whether the shard has memory for the job, which then counts as taken. */
  bool HasMemoryFor(const Submission& aSubmission);
  /** Refuses a job that cannot be accepted now, unless it is stored already.
   * The outcome is unknown (504) if the entry cannot be read, or if the job is
   * not stored but a submission of it is open. */
  void RefuseUnlessStored(Submission aSubmission,
                          const char* aReason,
                          int aStatus,
                          const std::string& aDetail = "");
  /** Queues a submission for the next commit; see FlushSubmissions. */
  void Enqueue(Submission aSubmission);
  void FlushSubmissions();
  void OnCommitted(std::vector<Submission> aBatch, const CommitResult& aResult);
  void OnConflict(Submission aSubmission, const CommitResult& aResult);
  /** Removes a submission whose outcome is determined from the open ones. */
  void Close(const Submission& aSubmission);
  /**
   * Resolves a write without a response: calls back with the key that it sets
   * when that is there. Otherwise refuses the request itself, with an unknown
   * outcome. In both cases calls aOnRead first, if set.
   */
  void ReadBack(const std::string& aKey,
                const JobCall& aCall,
                std::function<void(const StoreItem& aItem)> aOnStored,
                std::function<void()> aOnRead = {});
  /** Accepts a job whose entry is stored, unless its id belongs to another
   * tenant's job. If the entry is a tombstone, refuses the job or replaces the
   * tombstone. */
  void AcceptStored(const Submission& aSubmission,
                    const StoreItem& aEntry,
                    const char* aHow);
  /** AcceptStored for an entry that a conflict showed, which is read if the
   * response did not carry its value. */
  void AcceptConflicting(const Submission& aSubmission,
                         const StoreItem& aEntry);
  void Accept(const Submission& aSubmission, const char* aHow);
  /** Refuses a submission if its tenant has cancelled the id. Otherwise stores
   * it in place of the tombstone with the revision. */
  void ReplaceTombstone(Submission aSubmission,
                        const JobEntry& aTombstone,
                        std::int64_t aRevision);
  /** Reads a key of a job; calls back with null when there is none. Refuses the
   * request itself when the store is unavailable. */
  void ReadKey(const std::string& aKey,
               const JobCall& aCall,
               std::function<void(const StoreItem* aItem)> aOnRead);
  void RespondWithState(const JobCall& aCall);
  /** Responds with the stored progress of a job that has a record; calls
   * aOnNone instead when there is no progress. */
  void RespondWithProgress(const JobCall& aCall,
                           int aShard,
                           std::function<void()> aOnNone);
  /** Decodes the entry of a job. If it is malformed, logs this and refuses the
   * request itself with the status. */
  std::optional<JobEntry> DecodeStoredEntry(const JobCall& aCall,
                                            const StoreItem& aItem,
                                            int aStatus);
  /** Reads the entry of a job; calls back with null and revision 0 when there
   * is none. Refuses the request itself when it is malformed or the store is
   * unavailable. */
  void ReadEntry(const JobCall& aCall,
                 std::function<void(const JobEntry* aEntry,
                                    std::int64_t aRevision)> aOnRead);
  /**
   * Reads the entry of a job. Refuses the request itself when there is none,
   * the job belongs to another tenant, or the store is unavailable.
   */
  void FindEntry(const JobCall& aCall,
                 std::function<void(const JobEntry& aEntry,
                                    std::int64_t aRevision)> aOnFound);
  void Cancel(const JobCall& aCall);
  /**
   * Cancels an id that has no job. A submission without response may still be
   * stored, so this stores a tombstone for the caller's tenant before the
   * response. It replaces the tombstone with the revision, if there is one.
   */
  void CancelWithoutJob(const JobCall& aCall,
                        const JobEntry* aTombstone,
                        std::int64_t aRevision);
  void OnTombstoneWritten(const JobCall& aCall, CommitStatus aStatus);
  void WriteCancel(const JobCall& aCall,
                   int aShard,
                   std::int64_t aEntryRevision);
  void ConfirmCancel(const JobCall& aCall);
  void RespondWithPendingCount(const std::string& aQueue, const JobCall& aCall);
  std::string EntryKey(const std::string& aId) const;
  /** Refuses a request of a caller that may use the queue. Limits the log lines
   * about anonymous callers. */
  void Refuse(const JobCall& aCall,
              const char* aReason,
              int aStatus,
              const std::string& aDetail = "");
  /** Refuses a request before its key was checked or because of the key. Limits
   * the log lines. */
  void RefuseUnidentified(const char* aReason,
                          int aStatus,
                          const HttpListener::Responder& aRespond);
  /** Counts a refusal for the reason. If a log line is due, returns the number
   * of refusals that it stands for. */
  std::optional<std::uint64_t> CountRefusal(const char* aReason);
  /** Logs a refusal for the reason without the request, at most once in
   * kRefusalLogInterval. */
  void LogRefusals(const char* aReason, int aStatus);
  void SendRefusal(const char* aReason,
                   int aStatus,
                   const std::string& aDetail,
                   const HttpListener::Responder& aRespond);

  EventLoop& m_loop;
  KeyValueStore& m_store;
  Metrics& m_metrics;
  CallerCodec m_codec;
  ConfigurationSource m_configuration;
  LayoutSource m_layout;
  std::deque<Submission> m_submissions;
  /** Ids of the submissions that are queued, in an open commit or being read
   * back; one for each submission. */
  std::multiset<std::string> m_openIds;
  int m_openCommits = 0;
  TombstoneWriter m_tombstones;
  ShardStatusReader m_shardStatus;
  ShardMemory m_shardMemory;
  /** By reason. */
  std::map<std::string, LogThrottle> m_refusalLogs;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
